package host

import (
	"context"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/release"
	"pimentospread/ring"
	"pimentospread/slo"
)

// releaseQuestion waits for a release above a generation.
type releaseQuestion struct {
	ctx   context.Context //nolint:containedctx // the question ends with the caller's context
	after pimentospread.Generation
	reply *ring.Ring[*release.Release]
}

// burnQuestion asks for the burn of this host.
type burnQuestion struct {
	reply *ring.Ring[slo.HostReport]
}

// reporter is the duty that answers questions of the administration API about
// the release in force and the burn, and passes views on to the receiver.
type reporter struct {
	clock     pimentospread.Clock
	number    int
	control   *controlplane.Controller
	views     *ring.Ring[*dataplane.View]
	receiver  *ring.Ring[*dataplane.View]
	questions *ring.Ring[releaseQuestion]
	view      *dataplane.View
	waiting   []releaseQuestion
	ended     *ring.Ring[dataplane.CompletedRequest]
	burns     *ring.Ring[burnQuestion]
	burn      *slo.Recorder
}

func (r *reporter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-r.views.Items():
			r.configure(ctx, v)
		case e := <-r.ended.Items():
			r.burn.Record(r.clock.Now(), e.Service, e.Class, e.Caller, e.InTime)
		case q := <-r.burns.Items():
			_ = q.reply.Put(ctx, r.burn.Report(r.clock.Now()))
		case q := <-r.questions.Items():
			r.waiting = append(r.waiting, q)
		}
		r.answer()
	}
}

func (r *reporter) configure(ctx context.Context, v *dataplane.View) {
	r.view = v
	_ = r.receiver.Put(ctx, v)
	services := make([]slo.Service, 0, len(v.Services))
	for id, s := range v.Services {
		services = append(services, slo.Service{ID: id, Name: s.Service.Name, Classes: s.Policy.Classes})
	}
	r.burn.Configure(r.clock.Now(), services)
	_ = r.control.ReportLoaded(ctx, controlplane.ViewLoaded{Worker: r.number, Sequence: v.Sequence, Prepared: v.Generation()})
}

// hostBurn returns the burn of this host.
func (r *reporter) hostBurn(ctx context.Context) (slo.HostReport, error) {
	q := burnQuestion{reply: ring.New[slo.HostReport](1, ring.DropOldest)}
	if err := r.burns.Put(ctx, q); err != nil {
		return slo.HostReport{}, err
	}
	select {
	case b := <-q.reply.Items():
		return b, nil
	case <-ctx.Done():
		return slo.HostReport{}, pimentospread.At(pimentospread.ErrTimeout.New("the report duty did not answer"), "burn", "")
	}
}

// answer serves the questions whose release has come and drops those whose asker has gone.
func (r *reporter) answer() {
	kept := r.waiting[:0]
	for _, q := range r.waiting {
		switch {
		case q.ctx.Err() != nil:
		case r.view.Generation() > q.after:
			_ = q.reply.Put(q.ctx, r.view.Release)
		default:
			kept = append(kept, q)
		}
	}
	r.waiting = kept
}

// release returns the host's release once its generation is above after. With
// after zero it does not wait.
func (r *reporter) release(ctx context.Context, after pimentospread.Generation) (*release.Release, error) {
	if after == 0 {
		if v := r.control.LatestView(); v.Release != nil {
			return v.Release, nil
		}
		return nil, pimentospread.At(pimentospread.ErrNotFound.New("no release is in force at this host"), "get release", "")
	}
	q := releaseQuestion{ctx: ctx, after: after, reply: ring.New[*release.Release](1, ring.DropOldest)}
	if err := r.questions.Put(ctx, q); err != nil {
		return nil, err
	}
	select {
	case v := <-q.reply.Items():
		return v, nil
	case <-ctx.Done():
		return nil, pimentospread.At(pimentospread.ErrTimeout.New("generation %d is still in force", after), "watch release", "")
	}
}
