package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat = 770 * time.Millisecond
	// firstRetransmission doubles with each one up to maxRetransmission.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
)

// endpoint is a stand-in for an endpoint of a service.
type endpoint struct {
	id       string
	instance uint64
	service  string
	zone     string
	slots    int
	work     time.Duration
	conn     *net.UDPConn
	store    *store
	record   *record
	holders  *holders
	// clientPort is the port to which packets for clients are sent.
	clientPort uint16
	// lose reports whether a packet to a client is lost. It is nil if none is.
	lose func(p packet) bool
	// drop reports whether a packet to the endpoint is lost. It is nil if none is.
	drop  func(p packet) bool
	mutex sync.Mutex
	flows map[netip.AddrPort]*endpointFlow
	born  int64
	// occupied holds an item for each busy slot.
	occupied chan struct{}
	state    string
}

// endpointFlow is the endpoint's end of a flow.
type endpointFlow struct {
	client, service netip.AddrPort
	echo            uint32
	// next is the sequence number that the client sends next.
	next uint32
	// seq is the sequence number that the endpoint sends next, and acked is what the client
	// has acknowledged.
	seq, acked uint32
	open       bool
	// unacknowledged counts the packets since the last acknowledgement.
	unacknowledged int
	// pending is the packet that the client has not acknowledged.
	pending *packet
	closed  bool
}

// identity is the id of an endpoint and the Unix millisecond of its start.
type identity struct {
	instance uint64
	born     int64
}

// id returns the id under which the endpoint registers.
func (i identity) id() string { return fmt.Sprintf("i-%010x", i.instance) }

func newEndpoint(i identity, service, zone string, address netip.Addr, s *stage) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: i.id(), instance: i.instance, service: service, zone: zone,
		slots: 2, work: 20 * time.Millisecond, conn: conn, store: s.store, record: s.record, holders: s.holders, flows: map[netip.AddrPort]*endpointFlow{},
		born: i.born, state: "ready",
	}
	e.occupied = make(chan struct{}, e.slots)
	return e, nil
}

// run registers the endpoint and serves until the context ends.
func (e *endpoint) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	go e.register(ctx)
	buffer := make([]byte, 2048)
	for {
		n, err := e.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < instanceBytes {
			continue
		}
		p, ok := decode(buffer[instanceBytes:n])
		lost := ok && e.drop != nil && e.drop(p)
		if id := binary.BigEndian.Uint64(buffer); ok && !lost && (id == 0 || id == e.instance) {
			e.receive(ctx, p)
		}
	}
}

// register writes the entry of the endpoint at regular intervals.
func (e *endpoint) register(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		e.mutex.Lock()
		state := e.state
		e.mutex.Unlock()
		spec, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.conn.LocalAddr().String(), "zone": e.zone, "version": "v1", "slots": e.slots,
			"state": state, "warmup_left_ms": 0, "sequence": 1, "born": e.born,
		})
		e.store.put("servers", e.id, spec)
		sleep(ctx, heartbeat)
	}
}

func (e *endpoint) receive(ctx context.Context, p packet) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f := e.flows[p.from]
	switch {
	case p.is(flagSYN):
		e.open(ctx, p, f)
	case f == nil || !f.open && p.ack != f.seq:
		if !p.is(flagRST) {
			e.record.add("%s holds no such flow of %s (seq %08x ack %08x, %d bytes): sends a reset", e.id, p.from, p.seq, p.ack, len(p.data))
			e.holders.reset(p.from, e.id)
			e.send(packet{from: p.to, to: p.from, echo: p.echo, flags: flagRST, seq: p.ack})
		}
	case p.is(flagRST):
		delete(e.flows, p.from)
	default:
		e.continueFlow(ctx, p, f)
	}
}

// open answers a SYN, and sends the answer again until the client acknowledges it.
func (e *endpoint) open(ctx context.Context, p packet, f *endpointFlow) {
	if f == nil || f.next != p.seq+1 {
		f = &endpointFlow{client: p.from, service: p.to, next: p.seq + 1, seq: uint32(time.Now().UnixNano())}
		f.acked = f.seq
		e.flows[p.from] = f
		e.record.add("%s gets the SYN of %s", e.id, p.from)
		f.echo = p.echo
		e.transmit(ctx, f, packet{flags: flagSYN | flagACK, seq: f.seq}, 1)
		return
	}
	f.echo = p.echo
	if !f.open && f.pending != nil {
		e.sendAgain(f)
	}
}

func (e *endpoint) continueFlow(ctx context.Context, p packet, f *endpointFlow) {
	f.echo = p.echo
	if !f.open {
		f.open = true
		e.holders.opened(p.from, e.id)
		e.record.add("flow of %s is open at %s", p.from, e.id)
	}
	if f.pending != nil && int32(p.ack-f.seq) >= 0 {
		f.acked, f.pending = p.ack, nil
	}
	if len(p.data) > 0 {
		f.unacknowledged++
		if p.seq == f.next {
			f.next += uint32(len(p.data))
			go e.serve(ctx, f, string(p.data))
		} else {
			// What was received before is acknowledged at once.
			f.unacknowledged = 2
		}
	}
	if p.is(flagFIN) {
		delete(e.flows, p.from)
		f.closed = true
		e.send(packet{from: f.service, to: f.client, echo: f.echo, flags: flagFIN | flagACK, seq: f.seq, ack: p.seq + 1})
		return
	}
	if f.unacknowledged >= 2 {
		f.unacknowledged = 0
		e.send(packet{from: f.service, to: f.client, echo: f.echo, flags: flagACK, seq: f.seq, ack: f.next})
	}
}

// serve runs a request in a slot and answers it.
func (e *endpoint) serve(ctx context.Context, f *endpointFlow, request string) {
	e.occupied <- struct{}{}
	e.record.add("%s runs request %s", e.id, request)
	sleep(ctx, e.work)
	<-e.occupied
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !f.closed && ctx.Err() == nil {
		data := []byte("200 " + request)
		e.transmit(ctx, f, packet{flags: flagACK, seq: f.seq, data: data}, uint32(len(data)))
	}
}

// transmit sends a packet of the given length in sequence numbers until the client
// acknowledges it. The caller holds the mutex.
func (e *endpoint) transmit(ctx context.Context, f *endpointFlow, p packet, length uint32) {
	f.seq += length
	f.pending = &p
	e.sendAgain(f)
	go func() {
		for wait, n := firstRetransmission, 0; n < maxRetransmissions; n++ {
			sleep(ctx, wait)
			wait = min(2*wait, maxRetransmission)
			e.mutex.Lock()
			if f.pending != &p || f.closed || ctx.Err() != nil {
				e.mutex.Unlock()
				return
			}
			e.sendAgain(f)
			e.mutex.Unlock()
		}
	}()
}

// sendAgain sends the pending packet of a flow with its current echo and acknowledgement.
func (e *endpoint) sendAgain(f *endpointFlow) {
	p := *f.pending
	p.from, p.to, p.echo, p.ack = f.service, f.client, f.echo, f.next
	e.send(p)
}

// send sends the packet directly to the client.
func (e *endpoint) send(p packet) {
	p.sum = endpointSum
	if e.lose != nil && e.lose(p) {
		return
	}
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.to.Addr(), e.clientPort))
}
