package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// openTimeout is how long a client waits for the answer to its SYN.
const openTimeout = 1400 * time.Millisecond

// client is a stand-in for the clients at one address.
type client struct {
	address netip.Addr
	conn    *net.UDPConn
	cluster *cluster
	record  *record
	mutex   sync.Mutex
	inboxes map[uint16]chan packet
	port    uint16
}

func newClient(address netip.Addr, c *cluster, r *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, c.ports.data)))
	if err != nil {
		return nil, err
	}
	return &client{address: address, conn: conn, cluster: c, record: r, inboxes: map[uint16]chan packet{}, port: 20000}, nil
}

// run passes received packets to the flows until the context ends.
func (c *client) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p, ok := decode(buffer[:n])
		if err != nil || !ok {
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[p.to.Port()]
		c.mutex.Unlock()
		select {
		case inbox <- p:
		default: // the flow has ended
		}
	}
}

// flow is the client's end of a flow.
type flow struct {
	client  *client
	own     netip.AddrPort
	service netip.AddrPort
	inbox   chan packet
	// echo is the last echo that was received on the flow.
	echo     uint32
	seq, ack uint32
	// unacknowledged counts the packets with data since the last acknowledgement.
	unacknowledged int
}

// Errors of a flow.
var (
	errReset    = errors.New("reset")
	errNoAnswer = errors.New("no answer")
)

// newFlow returns a flow from a port that was not used before.
func (c *client) newFlow(service netip.AddrPort) *flow {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.port++
	f := &flow{client: c, own: netip.AddrPortFrom(c.address, c.port), service: service, inbox: make(chan packet, 64), seq: rand.Uint32()}
	c.inboxes[c.port] = f.inbox
	return f
}

// end stops the delivery of packets.
func (f *flow) end() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	delete(f.client.inboxes, f.own.Port())
}

func (f *flow) send(flags byte, ack uint32, data []byte) {
	p := packet{from: f.own, to: f.service, echo: f.echo, flags: flags, seq: f.seq, ack: ack, sum: endpointSum, data: data}
	h := f.client.cluster.route(p)
	_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(h.address, f.client.cluster.ports.data))
}

// open sends the SYN and its copies until an endpoint answers.
func (f *flow) open(ctx context.Context) error {
	limit := time.After(openTimeout)
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	start := time.Now()
	for sent := 0; ; {
		var next <-chan time.Time
		if sent < len(copies) {
			next = time.After(time.Until(start.Add(copies[sent])))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit:
			return errNoAnswer
		case <-next:
			f.send(flagSYN, uint32(sent), nil)
			sent++
		case p := <-f.inbox:
			if p.is(flagRST) {
				return errReset
			}
			if p.is(flagSYN) && p.is(flagACK) && p.ack == f.seq+1 {
				f.seq++
				f.ack, f.echo = p.seq+1, p.echo
				f.send(flagACK, f.ack, nil)
				return nil
			}
		}
	}
}

// request sends a request and waits for its answer, until the deadline.
func (f *flow) request(ctx context.Context, id string) error {
	limit := time.After(deadlineOfFlow)
	wait := firstRetransmission
	f.send(flagACK, f.ack, []byte(id))
	again, sequence := time.After(wait), f.seq+uint32(len(id))
	acknowledged := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit:
			return errNoAnswer
		case <-again:
			if !acknowledged {
				f.send(flagACK, f.ack, []byte(id))
				wait = min(2*wait, maxRetransmission)
				again = time.After(wait)
			}
		case p := <-f.inbox:
			done, err := f.receive(p, sequence, &acknowledged)
			if err != nil || done {
				f.seq = sequence
				return err
			}
		}
	}
}

// receive handles a packet while a request waits for its answer. It reports whether the
// packet is the answer.
func (f *flow) receive(p packet, sequence uint32, acknowledged *bool) (bool, error) {
	switch {
	case p.is(flagRST):
		return false, f.resetBy(p)
	case p.is(flagSYN):
		f.echo = p.echo
		return false, nil
	}
	f.echo = p.echo
	*acknowledged = *acknowledged || int32(p.ack-sequence) >= 0
	if len(p.data) == 0 || p.seq != f.ack {
		return false, nil
	}
	f.ack += uint32(len(p.data))
	f.seq = sequence
	f.acknowledge()
	return true, nil
}

// resetBy returns the error for a reset. The system's own resets have the sum 0.
func (f *flow) resetBy(p packet) error {
	by := "an endpoint"
	if p.sum == 0 {
		by = "the system"
	}
	return fmt.Errorf("%w by %s", errReset, by)
}

// pause waits between two requests and follows what arrives on the flow meanwhile.
func (f *flow) pause(ctx context.Context, d time.Duration) error {
	limit := time.After(d)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit:
			return nil
		case p := <-f.inbox:
			if p.is(flagRST) {
				return f.resetBy(p)
			}
			f.echo = p.echo
			if len(p.data) > 0 {
				f.acknowledge()
			}
		}
	}
}

// acknowledge counts a packet with data and acknowledges every second one.
func (f *flow) acknowledge() {
	if f.unacknowledged++; f.unacknowledged >= 2 {
		f.unacknowledged = 0
		f.send(flagACK, f.ack, nil)
	}
}

// close closes the flow.
func (f *flow) close() {
	f.send(flagFIN|flagACK, f.ack, nil)
	f.end()
}
