package soak

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// state is the state that a target registers with the platform.
type state string

const (
	stateReady    state = "ready"
	stateDraining state = "draining"
)

// target is a stand-in for a target: a socket that accepts flows and answers requests.
type target struct {
	name      string
	instance  uint64
	service   string
	zone      string
	startedAt int64
	// cold is set if the target registers as cold for coldTime.
	cold    bool
	conn    *net.UDPConn
	checker *checker
	flows   map[netip.AddrPort]*targetFlow
}

// targetFlow is the target's end of a flow.
type targetFlow struct {
	seq, next uint32
	open      bool
	answer    packet
}

func newTarget(number int, address netip.Addr, service, zone string, c *checker) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, fmt.Errorf("listen for target %d: %w", number, err)
	}
	return &target{
		name: fmt.Sprintf("i-%x", number), instance: uint64(number), service: service, zone: zone,
		startedAt: time.Now().UnixMilli(), conn: conn, checker: c, flows: map[netip.AddrPort]*targetFlow{},
	}, nil
}

// restart returns a new process of the target under its name and at its address. It holds
// no flow of the earlier process, whose socket it closes.
func (t *target) restart() (*target, error) {
	address := t.conn.LocalAddr().(*net.UDPAddr)
	_ = t.conn.Close()
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for target %s again: %w", t.name, err)
	}
	return &target{
		name: t.name, instance: t.instance, service: t.service, zone: t.zone,
		startedAt: time.Now().UnixMilli(), conn: conn, checker: t.checker, flows: map[netip.AddrPort]*targetFlow{},
	}, nil
}

// registration returns the registration of the target with the platform as JSON.
func (t *target) registration(s state, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"warmup_left_ms":%d,"sequence":%d,"born":%d}`,
		t.service, t.conn.LocalAddr(), t.zone, s, t.coldLeft().Milliseconds(), sequence, t.startedAt)
}

// coldLeft returns how much longer the target is cold.
func (t *target) coldLeft() time.Duration {
	if !t.cold {
		return 0
	}
	return max(coldTime-time.Since(time.UnixMilli(t.startedAt)), 0)
}

// run serves until the context ends. It then stops without deregistering, as a
// crashed target does.
func (t *target) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil || n < instanceSize {
			continue
		}
		p, ok := decode(buffer[instanceSize:n])
		if id := binary.BigEndian.Uint64(buffer); !ok || id != 0 && id != t.instance {
			// The packet is for another target.
			continue
		}
		t.receive(p)
	}
}

func (t *target) receive(p packet) {
	switch f := t.flows[p.source]; {
	case p.is(synFlag):
		t.open(p, f)
	case f == nil || !f.open && p.ack != f.seq+1:
		t.checker.checkStrayPacket(t, p)
		t.send(packet{source: p.destination, destination: p.source, echo: p.echo, flags: rstFlag, seq: p.ack, checksum: endpointChecksum})
	default:
		t.receiveInFlow(p, f)
	}
}

func (t *target) open(p packet, f *targetFlow) {
	t.checker.checkSYN(t, p)
	if f == nil || !f.open && f.next != p.seq+1 {
		// A late copy of a SYN leaves a half-open flow that the caller has given up.
		if f == nil && t.coldLeft() > 0 {
			t.checker.checkColdFlow(t)
		}
		f = &targetFlow{seq: uint32(time.Now().UnixNano()), next: p.seq + 1}
		t.flows[p.source] = f
	}
	t.send(packet{source: p.destination, destination: p.source, echo: p.echo, flags: synFlag | ackFlag, seq: f.seq, ack: p.seq + 1, checksum: endpointChecksum})
}

func (t *target) receiveInFlow(p packet, f *targetFlow) {
	if !f.open {
		f.open = true
		f.seq++
		t.checker.flowOpened(t, p.source)
	}
	switch {
	case p.is(finFlag):
		t.checker.flowClosed(p.source)
		delete(t.flows, p.source)
		t.send(packet{source: p.destination, destination: p.source, echo: p.echo, flags: finFlag | ackFlag, seq: f.seq, ack: p.seq + 1, checksum: endpointChecksum})
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		t.checker.requestRan(t, string(p.data))
		f.answer = packet{source: p.destination, destination: p.source, echo: p.echo, flags: ackFlag, seq: f.seq, ack: f.next, checksum: endpointChecksum, data: p.data}
		f.seq += uint32(len(p.data))
		t.send(f.answer)
	case len(p.data) > 0 && len(f.answer.data) > 0:
		// The answer was lost. It is sent again, and the request does not run twice.
		t.send(f.answer)
	}
}

// send sends the packet directly to the caller.
func (t *target) send(p packet) {
	to := netip.AddrPortFrom(p.destination.Addr(), dataPort)
	if _, err := t.conn.WriteToUDPAddrPort(p.encode(nil), to); err != nil && !errors.Is(err, net.ErrClosed) {
		t.checker.standInFailed("send an answer of target %s: %v", t.name, err)
	}
}
