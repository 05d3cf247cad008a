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

// releaseQuery is a query that waits for a release with a generation above after.
type releaseQuery struct {
	ctx   context.Context //nolint:containedctx // the query ends with the caller's context
	after pimentospread.Generation
	reply *ring.Ring[*release.Release]
}

// burnQuery is a query for this host's part of the burn report.
type burnQuery struct {
	reply *ring.Ring[slo.HostReport]
}

// queryServer is the duty that answers queries of the administration API for the
// current release and the burn report. It also passes views to the receiver.
type queryServer struct {
	clock pimentospread.Clock
	// workerIndex is the index of the query server in its reports to the control duty, after those of the other workers.
	workerIndex    int
	control        *controlplane.Controller
	views          *ring.Ring[*dataplane.View]
	receiver       *ring.Ring[*dataplane.View]
	releaseQueries *ring.Ring[releaseQuery]
	view           *dataplane.View
	waiting        []releaseQuery
	ended          *ring.Ring[dataplane.CompletedRequest]
	burnQueries    *ring.Ring[burnQuery]
	burn           *slo.Recorder
}

func (r *queryServer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-r.views.Items():
			r.configure(ctx, v)
		case e := <-r.ended.Items():
			r.burn.Record(r.clock.Now(), e.Service, e.Class, e.Caller, e.InTime)
		case q := <-r.burnQueries.Items():
			_ = q.reply.Put(ctx, r.burn.Report(r.clock.Now()))
		case q := <-r.releaseQueries.Items():
			r.waiting = append(r.waiting, q)
		}
		r.answerWaiting()
	}
}

func (r *queryServer) configure(ctx context.Context, v *dataplane.View) {
	r.view = v
	_ = r.receiver.Put(ctx, v)
	services := make([]slo.Service, 0, len(v.Services))
	for id, s := range v.Services {
		services = append(services, slo.Service{ID: id, Name: s.Service.Name, Classes: s.Policy.Classes})
	}
	r.burn.Configure(r.clock.Now(), services)
	_ = r.control.ReportLoaded(ctx, controlplane.ViewLoaded{Worker: r.workerIndex, Sequence: v.Sequence, Prepared: v.Generation()})
}

// hostBurn returns this host's part of the burn report.
func (r *queryServer) hostBurn(ctx context.Context) (slo.HostReport, error) {
	q := burnQuery{reply: ring.New[slo.HostReport](1, ring.DropOldest)}
	if err := r.burnQueries.Put(ctx, q); err != nil {
		return slo.HostReport{}, err
	}
	select {
	case b := <-q.reply.Items():
		return b, nil
	case <-ctx.Done():
		return slo.HostReport{}, pimentospread.At(pimentospread.ErrTimeout.New("the report duty did not respond in time"), "burn", "")
	}
}

// answerWaiting answers the queries whose release is available and drops those whose
// context has ended.
func (r *queryServer) answerWaiting() {
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

// release waits until the host has a release with a generation above after and
// returns it. If after is zero, it returns the current release without waiting.
func (r *queryServer) release(ctx context.Context, after pimentospread.Generation) (*release.Release, error) {
	if after == 0 {
		if v := r.control.LatestView(); v.Release != nil {
			return v.Release, nil
		}
		return nil, pimentospread.At(pimentospread.ErrNotFound.New("no release is in force at this host"), "get release", "")
	}
	q := releaseQuery{ctx: ctx, after: after, reply: ring.New[*release.Release](1, ring.DropOldest)}
	if err := r.releaseQueries.Put(ctx, q); err != nil {
		return nil, err
	}
	select {
	case v := <-q.reply.Items():
		return v, nil
	case <-ctx.Done():
		return nil, pimentospread.At(pimentospread.ErrTimeout.New("generation %d is still in force", after), "watch release", "")
	}
}
