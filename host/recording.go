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

// inputRecorder records the inputs of one worker in the trace. It does nothing if
// its recorder is nil.
type inputRecorder struct {
	recorder *trace.Recorder
	host     pimentospread.HostID
	worker   trace.Worker
	// generation is the generation of the last recorded view.
	generation pimentospread.Generation
}

// start records the start parameters of the host, from which a replay constructs its workers.
func (r *inputRecorder) start(ctx context.Context, now time.Time, s trace.Start) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Start: &s})
	}
}

func (r *inputRecorder) add(ctx context.Context, now time.Time, e trace.Event) {
	e.At, e.Host, e.Worker = now, r.host, r.worker
	r.recorder.Record(ctx, e)
}

func (r *inputRecorder) packet(ctx context.Context, now time.Time, p flowPacket) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Packet: &p.packet})
	}
}

func (r *inputRecorder) inbound(ctx context.Context, now time.Time, in pimentospread.Inbound) {
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

func (r *inputRecorder) view(ctx context.Context, now time.Time, v *dataplane.View) {
	if r.recorder == nil {
		return
	}
	r.add(ctx, now, trace.Event{View: trace.NewView(v, r.generation)})
	r.generation = v.Generation()
}

func (r *inputRecorder) request(ctx context.Context, now time.Time, q request.Request) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Request: &q})
	}
}

func (r *inputRecorder) attempts(ctx context.Context, now time.Time, attempts []request.Attempt) {
	if r.recorder == nil {
		return
	}
	for _, a := range attempts {
		r.add(ctx, now, trace.Event{Attempt: &trace.Attempt{ID: a.ID, Request: a.Request}})
	}
}

func (r *inputRecorder) answer(ctx context.Context, now time.Time, a request.Answer) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Answer: &a})
	}
}

func (r *inputRecorder) report(ctx context.Context, now time.Time, l pimentospread.LoadReport) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Report: &trace.Report{LoadReport: l, Target: l.Target, At: l.At}})
	}
}

func (r *inputRecorder) closing(ctx context.Context, now time.Time) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Close: &struct{}{}})
	}
}

func (r *inputRecorder) tick(ctx context.Context, now time.Time) {
	if r.recorder != nil {
		r.add(ctx, now, trace.Event{Tick: &struct{}{}})
	}
}
