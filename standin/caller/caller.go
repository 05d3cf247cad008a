package caller

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/packet"
	"pimentospread/ring"
	"pimentospread/standin/ledger"
	"pimentospread/standin/loopback"
)

const (
	// stepEvery is how often due packets are looked for.
	stepEvery = 10 * time.Millisecond
	// receiveRoom bounds the datagrams that wait for the duty.
	receiveRoom = 1 << 16
	// probeSpread is the time over which the flows are probed at the end.
	probeSpread = 2 * time.Second
)

// Caller is one process of callers. Its duty owns all fields but the socket and the ring.
type Caller struct {
	plan     Plan
	fabric   netip.AddrPort
	flows    *Flows
	requests *Requests
	decoder  packet.Decoder
	frames   *packet.Encoder
	messages *coap.Encoder
	socket   *loopback.Socket
	received *ring.Ring[loopback.Datagram]
}

// NewCaller opens the socket of a caller process.
func NewCaller(ctx context.Context, p Plan, fabric netip.AddrPort, now time.Time) (*Caller, error) {
	socket, err := loopback.ListenUDP(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Caller{
		plan: p, fabric: fabric, flows: NewFlows(p, now), requests: NewRequests(p, now),
		frames: packet.NewEncoder(), messages: coap.NewEncoder(0), socket: socket,
		received: ring.New[loopback.Datagram](receiveRoom, ring.DropOldest),
	}, nil
}

// receive is the duty that reads the socket.
func (c *Caller) receive(ctx context.Context) error {
	return c.socket.ReceiveLoop(func(r loopback.Datagram) {
		r.Data = bytes.Clone(r.Data)
		// The ring drops the oldest datagram when it is full and never fails.
		_ = c.received.Put(ctx, r)
	})(ctx)
}

// run is the duty that follows the plan. It returns when everything has an outcome, or when the context ends.
func (c *Caller) run(ctx context.Context, started time.Time) {
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	stop := started.Add(c.plan.Duration.Duration)
	probed := false
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.received.Items():
			c.take(time.Now(), r.Data)
		case now := <-tick.C:
			c.step(now, now.Before(stop))
			if !probed && !now.Before(stop) {
				c.flows.Probe(now, probeSpread)
				probed = true
			}
			if probed && c.flows.Finished() && c.requests.Pending() == 0 {
				return
			}
		}
	}
}

func (c *Caller) step(now time.Time, open bool) {
	c.sendSegments(c.flows.Step(now, nil))
	for _, t := range c.requests.Step(now, open, nil) {
		data, err := c.messages.EncodeRequest(t.Request, t.Service)
		if err != nil {
			continue // the plan has been checked
		}
		inner, err := c.frames.UDP(t.From, t.To, data)
		if err != nil {
			continue
		}
		c.send(inner)
	}
}

func (c *Caller) take(now time.Time, data []byte) {
	d, err := c.decoder.Decode(data)
	if err != nil {
		return
	}
	if d.Protocol == packet.TCP {
		c.sendSegments(c.flows.Receive(now, d, nil))
		return
	}
	if id, err := coap.DecodeAcknowledgement(d.Payload); err == nil {
		c.requests.Acknowledge(now, d.To, id)
		return
	}
	reply, err := coap.DecodeReply(d.Payload)
	if err != nil {
		return
	}
	c.requests.Receive(now, d.To, reply)
}

func (c *Caller) sendSegments(segments []packet.Segment) {
	for _, s := range segments {
		inner, err := c.frames.TCP(s)
		if err != nil {
			continue // the plan has only IPv4 addresses
		}
		c.send(inner)
	}
}

func (c *Caller) send(inner []byte) {
	frame, err := c.frames.Encapsulate(packet.Header{}, inner)
	if err != nil {
		return
	}
	// A lost packet is sent again, as in any network.
	_ = c.socket.Send(frame, c.fabric)
}

// note returns the ledger of the process.
func (c *Caller) note() ledger.Caller {
	return ledger.Caller{Flows: c.flows.Counts(), Requests: c.requests.Records()}
}

// parseFabric reads the address of the fabric.
func parseFabric(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "--fabric"), "settings", "")
	}
	return a, nil
}
