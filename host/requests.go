package host

import (
	"context"
	"log/slog"
	"time"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/controlplane"
	"pimentospread/dataplane"
	"pimentospread/packet"
	"pimentospread/request"
	"pimentospread/ring"
	"pimentospread/scheduling"
)

// requestTick is the interval between timer events of the request processor.
const requestTick = 20 * time.Millisecond

// requestBatch is the largest number of requests that are handled before other events.
const requestBatch = 64

// countInterval is the interval between updates of the request metrics.
const countInterval = time.Second

// requestProcessor is the duty that admits requests, assigns them to targets and
// replies to the callers.
type requestProcessor struct {
	// workerIndex is the index of the worker in its reports and in the trace.
	workerIndex int
	clock       pimentospread.Clock
	dispatcher  *scheduling.Dispatcher
	requests    *ring.PriorityRing[request.Request]
	answers     *ring.Ring[request.Answer]
	inbound     *ring.Ring[pimentospread.Inbound]
	reports     *ring.Ring[pimentospread.LoadReport]
	views       *ring.Ring[*dataplane.View]
	control     *controlplane.Controller
	progress    *ring.Ring[progress]
	attempts    *ring.Ring[targetMessage]
	replies     *ring.Ring[outgoingPacket]
	// closing has an item when the grace period of a shutdown has expired; the
	// unfinished requests are then ended.
	closing  *ring.Ring[struct{}]
	ended    *ring.Ring[dataplane.CompletedRequest]
	peers    pimentospread.PeerNetwork
	encoder  *replyEncoder
	outcomes *outcomeCounters
	drops    dropCounters
	actions  dataplane.RequestActions
	view     *dataplane.View
	// idle is the last state that was reported to the shutdown.
	idle          bool
	inputRecorder inputRecorder
}

func (r *requestProcessor) run(ctx context.Context) error {
	ticker := time.NewTicker(requestTick)
	defer ticker.Stop()
	count := time.NewTicker(countInterval)
	defer count.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.requests.Ready():
			r.takeRequests(ctx)
		case a := <-r.answers.Items():
			now := r.clock.Now()
			r.inputRecorder.answer(ctx, now, a)
			r.dispatcher.HandleAnswer(now, a, &r.actions)
		case m := <-r.inbound.Items():
			now := r.clock.Now()
			r.inputRecorder.inbound(ctx, now, m)
			r.dispatcher.HandlePeerMessage(now, m, &r.actions)
		case l := <-r.reports.Items():
			now := r.clock.Now()
			r.inputRecorder.report(ctx, now, l)
			r.dispatcher.HandleLoadReport(now, l)
		case v := <-r.views.Items():
			r.configure(ctx, v)
		case <-count.C:
			r.outcomes.update(r.dispatcher.Stats())
		case <-r.closing.Items():
			now := r.clock.Now()
			r.inputRecorder.closing(ctx, now)
			r.dispatcher.Close(now, &r.actions)
		case <-ticker.C:
			now := r.clock.Now()
			r.inputRecorder.tick(ctx, now)
			r.dispatcher.Tick(now, &r.actions)
		}
		r.applyActions(ctx)
		r.report(ctx)
	}
}

// takeRequests handles a batch of new requests. Answers and timer events are handled
// between batches, so that slots are released even during a flood of requests.
func (r *requestProcessor) takeRequests(ctx context.Context) {
	for range requestBatch {
		q, ok := r.requests.Take()
		if !ok {
			return
		}
		now := r.clock.Now()
		r.inputRecorder.request(ctx, now, q)
		r.dispatcher.HandleRequest(now, q, &r.actions)
	}
	r.requests.Notify()
}

func (r *requestProcessor) configure(ctx context.Context, v *dataplane.View) {
	now := r.clock.Now()
	r.inputRecorder.view(ctx, now, v)
	startsLeaving := v.Leaving && (r.view == nil || !r.view.Leaving)
	r.view = v
	r.dispatcher.Configure(now, v, &r.actions)
	if startsLeaving {
		r.dispatcher.StartLeaving(now, &r.actions)
	}
	_ = r.control.ReportLoaded(ctx, controlplane.ViewLoaded{Worker: r.workerIndex, Sequence: v.Sequence, Prepared: v.Generation()})
}

func (r *requestProcessor) applyActions(ctx context.Context) {
	a := &r.actions
	r.inputRecorder.attempts(ctx, r.clock.Now(), a.Attempts)
	for i := range a.Attempts {
		_ = r.attempts.Put(ctx, targetMessage{attempt: &a.Attempts[i]}.clone())
	}
	for i := range a.Cancellations {
		_ = r.attempts.Put(ctx, targetMessage{cancel: &a.Cancellations[i]}.clone())
	}
	for _, p := range a.Replies {
		if d, ok := r.encoder.encode(p); ok {
			_ = r.replies.Put(ctx, d)
		}
	}
	for _, m := range a.PeerMessages {
		_ = r.peers.Send(ctx, m)
	}
	for _, e := range a.Completed {
		_ = r.ended.Put(ctx, e)
	}
	r.drops.add(a.Drops)
	a.Clear()
}

// report notifies the shutdown of a leaving host when its requests in progress are
// done or new ones arrive.
func (r *requestProcessor) report(ctx context.Context) {
	if r.view == nil || !r.view.Leaving {
		return
	}
	idle := r.dispatcher.Idle()
	if idle == r.idle {
		return
	}
	r.idle = idle
	_ = r.progress.Put(ctx, progress{worker: r.workerIndex, done: idle})
}

// targetMessage is a message to the request address of a target. Either attempt or
// cancel is set.
type targetMessage struct {
	attempt *request.Attempt
	cancel  *request.Cancel
}

// clone copies the attempt or cancel, because the memory of the actions is reused.
func (m targetMessage) clone() targetMessage {
	if m.attempt != nil {
		a := *m.attempt
		m.attempt = &a
	}
	if m.cancel != nil {
		c := *m.cancel
		m.cancel = &c
	}
	return m
}

// attemptSender is the duty that encodes attempts and cancels and sends them to targets.
type attemptSender struct {
	log     *slog.Logger
	socket  pimentospread.Fabric
	out     *ring.Ring[targetMessage]
	encoder *coap.Encoder
	failed  pimentospread.Counter
}

func (s *attemptSender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.out.Items():
			if err := s.send(m); err != nil {
				s.failed.Add(1)
				s.log.Debug("attempt not sent", "error", err)
			}
		}
	}
}

func (s *attemptSender) send(m targetMessage) error {
	if m.cancel != nil {
		data, err := s.encoder.EncodeCancel(*m.cancel)
		if err != nil {
			return err
		}
		return s.socket.Send(data, m.cancel.Address)
	}
	data, err := s.encoder.EncodeAttempt(*m.attempt)
	if err != nil {
		return err
	}
	return s.socket.Send(data, m.attempt.Address)
}

// answerReceiver is the duty that receives and decodes the answers of targets.
type answerReceiver struct {
	socket  pimentospread.Fabric
	answers *ring.Ring[request.Answer]
	metrics pimentospread.Metrics
	log     *slog.Logger
}

func (r *answerReceiver) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.socket.Receive(buffer)
		if isClosed(err) {
			return nil
		}
		if err != nil {
			// After a message to the closed port of a stopped target, the kernel returns
			// an error on the next receive.
			r.log.Debug("answer not received", "error", err)
			continue
		}
		answer, err := coap.DecodeAnswer(buffer[:n], from)
		if err != nil {
			r.metrics.Counter(`pimentospread_malformed_total{what="answer",cause="` + causeLabel(err) + `"}`).Add(1)
			continue
		}
		_ = r.answers.Put(ctx, answer)
	}
}

// replyEncoder encodes replies to callers. It is not safe for concurrent use.
type replyEncoder struct {
	coap   *coap.Encoder
	packet *packet.Encoder
	log    *slog.Logger
}

func (r *replyEncoder) encode(reply request.Reply) (outgoingPacket, bool) {
	data, err := r.coap.EncodeReply(reply)
	if err != nil {
		r.log.Debug("reply not encoded", "peer", reply.Origin.Caller, "error", err)
		return outgoingPacket{}, false
	}
	inner, err := r.packet.UDP(reply.Origin.Service, reply.Origin.Caller, data)
	if err != nil {
		r.log.Debug("reply not encoded", "peer", reply.Origin.Caller, "error", err)
		return outgoingPacket{}, false
	}
	// The encoder may reuse its buffer before the packet is sent.
	return outgoingPacket{packet: append([]byte(nil), inner...)}, true
}
