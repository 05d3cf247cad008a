package target

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/duty"
	"pimentospread/packet"
	"pimentospread/pool"
	"pimentospread/ring"
	"pimentospread/standin/ledger"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

const (
	// packetCapacity and attemptCapacity limit the datagrams that wait for the duty
	// of a target.
	packetCapacity  = 8192
	attemptCapacity = 1024
	// updateCheckInterval is the time between two checks for due updates.
	updateCheckInterval = 50 * time.Millisecond
)

// Options holds the options that all targets of a process share.
type Options struct {
	Service     pimentospread.ServiceName
	Fabric      netip.AddrPort
	Slots       pimentospread.Slots
	Connections pimentospread.Connections
	ServiceTime time.Duration
	// Interval is the time between two updates on a flow.
	Interval time.Duration
	// AnswerSize is the size of an answer in bytes.
	AnswerSize int
	// Grace is how long after the start of a drain new work may still arrive.
	Grace time.Duration
}

// Target is a stand-in for a target. Its duty owns all fields except the sockets
// and rings.
type Target struct {
	name          pimentospread.TargetName
	domain        pimentospread.FailureDomain
	options       Options
	flows         *Flows
	requests      *Requests
	switches      Switches
	assignment    Assignment
	drainedAt     time.Time
	record        ledger.Target
	decoder       packet.Decoder
	frames        *packet.Encoder
	messages      *coap.Encoder
	flowSocket    *loopback.Socket
	requestSocket *loopback.Socket
	health        *loopback.Server
	packets       *ring.Ring[loopback.Datagram]
	attempts      *ring.Ring[loopback.Datagram]
	assignments   *ring.Ring[Assignment]
	tasks         *owner.Queue[*Target]
}

// NewTarget returns a target with open sockets.
func NewTarget(ctx context.Context, name pimentospread.TargetName, domain pimentospread.FailureDomain, o Options) (*Target, error) {
	t := &Target{
		name: name, domain: domain, options: o,
		flows: NewFlows(o.Connections, o.Interval), requests: NewRequests(o),
		frames: packet.NewEncoder(), messages: coap.NewEncoder(0),
		packets:     ring.New[loopback.Datagram](packetCapacity, ring.DropOldest),
		attempts:    ring.New[loopback.Datagram](attemptCapacity, ring.DropOldest),
		assignments: ring.New[Assignment](1, ring.DropOldest),
		tasks:       owner.New[*Target](64),
	}
	var err error
	if t.flowSocket, err = loopback.ListenUDP(ctx, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if t.requestSocket, err = loopback.ListenUDP(ctx, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /health", t.serveHealth)
	t.health, err = loopback.ListenHTTP(ctx, "127.0.0.1:0", m)
	return t, err
}

// Describe returns the target as an operator enters it in an object set.
func (t *Target) Describe() pool.Target {
	return pool.Target{
		Name: t.name, FailureDomain: t.domain,
		FlowAddress: t.flowSocket.Address(), RequestAddress: t.requestSocket.Address(), HealthAddress: t.health.Address(),
		Slots: t.options.Slots, Connections: t.options.Connections,
	}
}

// Start starts the duties of the target.
func (t *Target) Start(g *duty.Group) {
	name := string(t.name)
	g.Go(name+" packets", t.flowSocket.ReceiveLoop(enqueue(g.Context(), t.packets)))
	g.Go(name+" attempts", t.requestSocket.ReceiveLoop(enqueue(g.Context(), t.attempts)))
	g.Go(name+" health", t.health.Serve)
	g.Go(name, t.run)
}

// enqueue returns a function that puts a copy of each datagram into the ring.
func enqueue(ctx context.Context, to *ring.Ring[loopback.Datagram]) func(loopback.Datagram) {
	return func(r loopback.Datagram) {
		r.Data = bytes.Clone(r.Data)
		// The ring drops the oldest datagram when it is full and never fails.
		_ = to.Put(ctx, r)
	}
}

// run is the duty that owns the target.
func (t *Target) run(ctx context.Context) error {
	updates := time.NewTicker(updateCheckInterval)
	defer updates.Stop()
	finish := time.NewTimer(time.Hour)
	defer finish.Stop()
	for {
		if next, ok := t.requests.NextEnd(); ok {
			finish.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return nil
		case p := <-t.packets.Items():
			t.receivePacket(time.Now(), p.Data)
		case a := <-t.attempts.Items():
			t.receiveAttempt(time.Now(), a)
		case assigned := <-t.assignments.Items():
			t.applyAssignment(assigned)
		case f := <-t.tasks.Tasks():
			f(t)
		case now := <-updates.C:
			t.sendSegments(t.flows.Updates(now, nil))
		case <-finish.C:
			t.sendAnswers(t.requests.Finish(time.Now(), nil))
		}
	}
}

// applyAssignment replaces the assignment, and starts or ends a drain accordingly. A
// drain that the switches started goes on.
func (t *Target) applyAssignment(a Assignment) {
	t.assignment = a
	if !a.DrainedAt.IsZero() && t.drainedAt.IsZero() {
		t.drainedAt = a.DrainedAt
	}
	if a.DrainedAt.IsZero() && !t.switches.Draining {
		t.drainedAt = time.Time{}
	}
}

// countLateWork counts new work that arrives after the grace period of a drain.
func (t *Target) countLateWork(now time.Time) {
	if !t.drainedAt.IsZero() && now.Sub(t.drainedAt) > t.options.Grace {
		t.record.Late++
	}
}

func (t *Target) receivePacket(now time.Time, data []byte) {
	if t.assignment.Target == 0 {
		return // without an assignment there are no IDs to compare with
	}
	d, err := t.decoder.Decode(data)
	if err != nil || d.Protocol != packet.TCP {
		t.record.Malformed++
		return
	}
	if d.Service != t.assignment.Service || d.Destination != t.assignment.Target {
		t.record.Misdelivered++
		return
	}
	opened := t.flows.Opened
	answers := t.flows.Receive(now, d, nil)
	if t.flows.Opened > opened {
		t.countLateWork(now)
	}
	t.sendSegments(answers)
}

func (t *Target) receiveAttempt(now time.Time, r loopback.Datagram) {
	if id, err := coap.DecodeCancel(r.Data); err == nil {
		t.sendAnswers(t.requests.Cancel(r.From, id, nil))
		return
	}
	a, err := coap.DecodeAttempt(r.Data, r.From)
	if err != nil {
		t.record.Malformed++
		return
	}
	answer, outcome := t.requests.Receive(now, a, t.switches)
	if outcome == Started {
		t.countLateWork(now)
	}
	if answer.To.IsValid() {
		t.sendAnswers([]Outgoing{answer})
	}
}

func (t *Target) sendSegments(segments []packet.Segment) {
	for _, s := range segments {
		inner, err := t.frames.TCP(s)
		if err != nil {
			continue // the addresses came from a packet of the same IP version
		}
		frame, err := t.frames.Encapsulate(packet.Header{Service: t.assignment.Service, Source: t.assignment.Target}, inner)
		if err != nil {
			continue
		}
		// The packet may get lost; the endpoints retransmit it as in any network.
		_ = t.flowSocket.Send(frame, t.options.Fabric)
	}
}

func (t *Target) sendAnswers(answers []Outgoing) {
	for _, a := range answers {
		data, err := t.messages.EncodeAnswer(a.Answer)
		if err != nil {
			continue // parts have a size that the codec accepts
		}
		_ = t.requestSocket.Send(data, a.To)
	}
}

// ledgerEntry returns the ledger of the target.
func (t *Target) ledgerEntry() ledger.Target {
	entry := t.record
	entry.Name, entry.Service = t.name, t.options.Service
	entry.Runs = append([]ledger.Run(nil), t.requests.runs...)
	entry.Flows, entry.OpenedFlows, entry.ResetsSent = t.flows.Len(), t.flows.Opened, t.flows.ResetsSent
	entry.Shed, entry.Repeated = t.requests.shed, t.requests.repeated
	entry.Draining = !t.drainedAt.IsZero()
	return entry
}
