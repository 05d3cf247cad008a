package host

import (
	"context"
	"log/slog"
	"net/netip"

	"pimentospread"
	"pimentospread/packet"
	"pimentospread/ring"
)

// outgoingPacket is an inner packet that is queued for the data socket.
type outgoingPacket struct {
	header packet.Header
	packet []byte
	// reset is true if the TCP reset in response to packet is sent instead of packet.
	reset bool
	// to is the address of the target. If it is not valid, the packet is sent to the fabric.
	to netip.AddrPort
}

// sender is the duty that encapsulates packets and sends them.
type sender struct {
	log     *slog.Logger
	fabric  pimentospread.Fabric
	gateway netip.AddrPort
	out     *ring.Ring[outgoingPacket]
	encoder *packet.Encoder
	failed  pimentospread.Counter
}

func (s *sender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-s.out.Items():
			if err := s.send(d); err != nil {
				s.failed.Add(1)
				s.log.Debug("packet not sent", "peer", d.to, "error", err)
			}
		}
	}
}

func (s *sender) send(d outgoingPacket) error {
	inner := d.packet
	if d.reset {
		reset, err := s.encoder.Reset(d.packet)
		if err != nil {
			return err
		}
		inner = reset
	}
	data, err := s.encoder.Encapsulate(d.header, inner)
	if err != nil {
		return err
	}
	to := d.to
	if !to.IsValid() {
		to = s.gateway
	}
	return s.fabric.Send(data, to)
}
