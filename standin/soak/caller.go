package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// dataPort is the port of hosts and callers; each of them has its own address.
	dataPort = 18172
	// openTimeout is how long a caller tries to open a flow. It repeats the SYN after
	// 0.2 and 0.6 s.
	openTimeout = 1400 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer. It retransmits the
	// request in the meantime.
	answerTimeout = 8 * time.Second
)

// callers runs the flows of all callers over one socket. Packets are assigned to
// flows by their destination port.
type callers struct {
	conn    *net.UDPConn
	checker *checker
	// hosts returns the data addresses of the hosts in rotation.
	hosts func() []netip.AddrPort
	// register starts the delivery of packets for a port to an inbox.
	register chan registration
	// unregister ends the delivery of packets for a port.
	unregister chan uint16
	// requests is the number of the last request of the run.
	requests atomic.Uint64
}

// registration directs the packets for a port to an inbox.
type registration struct {
	port  uint16
	inbox chan packet
}

func newCallers(address netip.Addr, c *checker, hosts func() []netip.AddrPort) (*callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, dataPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return &callers{conn: conn, checker: c, hosts: hosts, register: make(chan registration), unregister: make(chan uint16)}, nil
}

// run delivers received packets to the flows until the context ends.
func (c *callers) run(ctx context.Context) error {
	packets := make(chan packet, 1024)
	defer func() { _ = c.conn.Close() }()
	go c.read(packets)
	flows := map[uint16]chan packet{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.register:
			flows[r.port] = r.inbox
		case port := <-c.unregister:
			delete(flows, port)
		case p := <-packets:
			select {
			case flows[p.destination.Port()] <- p:
			default: // the flow has ended, or its inbox is full
			}
		}
	}
}

func (c *callers) read(packets chan<- packet) {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p, ok := decode(buffer[:n]); err == nil && ok {
			packets <- p
		}
	}
}

// send sends the packet to a host that a hash selects among the hosts in
// rotation, as the fabric does.
func (c *callers) send(p packet) {
	hosts := c.hosts()
	if len(hosts) == 0 {
		return
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, p.source, p.destination)
	p.checksum = endpointChecksum
	// Sending to a host that does not run returns an error only on a later call; the
	// packet is lost.
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(nil), hosts[int(h.Sum32())%len(hosts)])
}

// flow is the caller's end of a flow.
type flow struct {
	callers  *callers
	caller   netip.AddrPort
	service  netip.AddrPort
	inbox    chan packet
	echo     uint32
	seq, ack uint32
}

// errReset reports that a flow was reset.
var errReset = errors.New("reset")

// runFlow opens a flow, sends requests with pauses between them and closes the flow.
func (c *callers) runFlow(ctx context.Context, port uint16, service netip.AddrPort, requests int, pause time.Duration) error {
	own := netip.AddrPortFrom(c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), port)
	f := &flow{callers: c, caller: own, service: service, inbox: make(chan packet, 64), seq: rand.Uint32()}
	c.register <- registration{port: port, inbox: f.inbox}
	defer func() {
		select {
		case c.unregister <- port:
		case <-ctx.Done():
		}
	}()
	c.checker.flowStarted(own, service)
	if err := f.open(ctx); err != nil {
		return err
	}
	for range requests {
		if err := f.request(ctx, fmt.Sprintf("%s/%d", own, c.requests.Add(1))); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	f.callers.checker.flowClosing(own)
	f.send(finFlag|ackFlag, nil)
	return nil
}

func (f *flow) send(flags byte, data []byte) {
	f.callers.send(packet{source: f.caller, destination: f.service, echo: f.echo, flags: flags, seq: f.seq, ack: f.ack, data: data})
}

// open sends the SYN and its copies until a target answers or openTimeout passes.
func (f *flow) open(ctx context.Context) error {
	end := time.After(openTimeout)
	copies := []<-chan time.Time{time.After(0), time.After(200 * time.Millisecond), time.After(600 * time.Millisecond)}
	for sent := 0; ; {
		var next <-chan time.Time
		if sent < len(copies) {
			next = copies[sent]
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return errors.New("no target answered the SYN")
		case <-next:
			f.callers.send(packet{source: f.caller, destination: f.service, flags: synFlag, seq: f.seq, ack: uint32(sent)})
			sent++
		case p := <-f.inbox:
			if p.is(rstFlag) {
				return errReset
			}
			if p.is(synFlag) && p.is(ackFlag) {
				f.echo, f.ack, f.seq = p.echo, p.seq+1, f.seq+1
				f.send(ackFlag, nil)
				return nil
			}
		}
	}
}

// request sends the request and retransmits it until its answer arrives.
func (f *flow) request(ctx context.Context, id string) error {
	data, expected := []byte(id), f.ack
	end := time.After(answerTimeout)
	wait := 200 * time.Millisecond
	again := time.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return errors.New("no answer to the request")
		case <-again:
			f.send(ackFlag, data)
			again = time.After(wait)
			wait = min(2*wait, 1600*time.Millisecond)
		case p := <-f.inbox:
			f.echo = p.echo
			switch {
			case p.is(rstFlag):
				f.callers.checker.checkReset(f.caller, p)
				return errReset
			case len(p.data) > 0 && p.seq == expected:
				if string(p.data) != id {
					f.callers.checker.addViolation("mixed", "request %s got the answer of %s", id, p.data)
				}
				f.seq += uint32(len(data))
				f.ack += uint32(len(p.data))
				return nil
			}
		}
	}
}
