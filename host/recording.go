package host

import (
	"context"
	"encoding/json"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/request"
	"pimentospread/trace"
)

// recording adds the inputs of one decider to the trace. Without a recorder it does nothing.
type recording struct {
	recorder *trace.Recorder
	host     pimentospread.HostID
	decider  trace.Decider
	// generation is that of the last view.
	generation pimentospread.Generation
}

// start records the start of the host, from which a replay makes its deciders.
func (r *recording) start(ctx context.Context, now time.Time, s trace.Start) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Start: &s})
	}
}

func (r *recording) add(ctx context.Context, now time.Time, e trace.Event) {
	e.At, e.Host, e.Decider = now, r.host, r.decider
	r.recorder.Record(ctx, e)
}

func (r *recording) packet(ctx context.Context, now time.Time, p flowPacket) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Packet: &p.packet})
	}
}

func (r *recording) inbound(ctx context.Context, now time.Time, in pimentospread.Inbound) {
	if r.recorder == nil {
		return
	}
	body, err := json.Marshal(in.Message)
	if err != nil {
		return
	}
	r.add(ctx, now, trace.Event{Peer: &trace.Peer{
		From: in.From, Incarnation: in.Incarnation, Kind: in.Message.MessageKind(), Body: body,
	}})
}

func (r *recording) view(ctx context.Context, now time.Time, v *dataplane.View) {
	if r.recorder == nil {
		return
	}
	r.add(ctx, now, trace.Event{View: trace.ViewOf(v, r.generation)})
	r.generation = v.Generation()
}

func (r *recording) request(ctx context.Context, now time.Time, q request.Request) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Request: &q})
	}
}

func (r *recording) attempts(ctx context.Context, now time.Time, attempts []request.Attempt) {
	if r.recorder == nil {
		return
	}
	for _, a := range attempts {
		r.add(ctx, now, trace.Event{Attempt: &trace.Attempt{ID: a.ID, Request: a.Request}})
	}
}

func (r *recording) answer(ctx context.Context, now time.Time, a request.Answer) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Answer: &a})
	}
}

func (r *recording) report(ctx context.Context, now time.Time, l pimentospread.LoadReport) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Report: &trace.Report{LoadReport: l, Target: l.Target, At: l.At}})
	}
}

func (r *recording) closing(ctx context.Context, now time.Time) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Close: &struct{}{}})
	}
}

func (r *recording) tick(ctx context.Context, now time.Time) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Tick: &struct{}{}})
	}
}
