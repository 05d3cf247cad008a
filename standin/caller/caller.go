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
	// stepInterval is the time between two checks for packets that are due.
	stepInterval = 10 * time.Millisecond
	// receiveCapacity is the number of received datagrams that the ring holds for the run duty.
	receiveCapacity = 1 << 16
	// probeSpread is the time over which the last packets of the flows are distributed at the end of a run.
	probeSpread = 2 * time.Second
)

// Caller runs the plan of one caller process. The run duty owns all fields
// except the socket and the ring, which it shares with the receive duty.
type Caller struct {
	plan           Plan
	fabric         netip.AddrPort
	flows          *Flows
	requests       *Requests
	decoder        packet.Decoder
	frameEncoder   *packet.Encoder
	messageEncoder *coap.Encoder
	socket         *loopback.Socket
	received       *ring.Ring[loopback.Datagram]
}

// NewCaller opens a UDP socket and returns a caller that starts the plan at
// the given time and sends its packets to the given address of the fabric.
func NewCaller(ctx context.Context, p Plan, fabric netip.AddrPort, now time.Time) (*Caller, error) {
	socket, err := loopback.ListenUDP(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Caller{
		plan: p, fabric: fabric, flows: NewFlows(p, now), requests: NewRequests(p, now),
		frameEncoder: packet.NewEncoder(), messageEncoder: coap.NewEncoder(0), socket: socket,
		received: ring.New[loopback.Datagram](receiveCapacity, ring.DropOldest),
	}, nil
}

// receive is the duty that copies datagrams from the socket to the ring.
func (c *Caller) receive(ctx context.Context) error {
	return c.socket.ReceiveLoop(func(d loopback.Datagram) {
		d.Data = bytes.Clone(d.Data)
		// Put returns no error, because a full ring drops its oldest datagram.
		_ = c.received.Put(ctx, d)
	})(ctx)
}

// run is the duty that executes the plan. It returns when every flow and
// request has an outcome, or when the context ends.
func (c *Caller) run(ctx context.Context, started time.Time) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	end := started.Add(c.plan.Duration.Duration)
	probed := false
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.received.Items():
			c.handleDatagram(time.Now(), d.Data)
		case now := <-ticker.C:
			c.step(now, now.Before(end))
			if !probed && !now.Before(end) {
				c.flows.Probe(now, probeSpread)
				probed = true
			}
			if probed && c.flows.Finished() && c.requests.Pending() == 0 {
				return
			}
		}
	}
}

// step sends the packets that are due. It starts new requests only if startNew is set.
func (c *Caller) step(now time.Time, startNew bool) {
	c.sendSegments(c.flows.Step(now, nil))
	for _, t := range c.requests.Step(now, startNew, nil) {
		data, err := c.messageEncoder.EncodeRequest(t.Request, t.Service)
		if err != nil {
			continue // EncodeRequest accepts every request of a checked plan.
		}
		innerPacket, err := c.frameEncoder.UDP(t.From, t.To, data)
		if err != nil {
			continue
		}
		c.send(innerPacket)
	}
}

// handleDatagram passes a received frame to the flows or the requests and drops what cannot be decoded.
func (c *Caller) handleDatagram(now time.Time, data []byte) {
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
		innerPacket, err := c.frameEncoder.TCP(s)
		if err != nil {
			continue // TCP accepts every segment of a plan, because its addresses are IPv4.
		}
		c.send(innerPacket)
	}
}

func (c *Caller) send(innerPacket []byte) {
	frame, err := c.frameEncoder.Encapsulate(packet.Header{}, innerPacket)
	if err != nil {
		return
	}
	// An error counts as a lost packet, which is retransmitted.
	_ = c.socket.Send(frame, c.fabric)
}

// ledger returns the results of all flows and requests of the process.
func (c *Caller) ledger() ledger.Caller {
	return ledger.Caller{Flows: c.flows.Counts(), Requests: c.requests.Records()}
}

// parseFabricAddress parses the value of the --fabric flag.
func parseFabricAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "--fabric is not an address with a port"), "settings", "")
	}
	return address, nil
}
