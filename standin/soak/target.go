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

// state is what a target says of itself.
type state string

const (
	stateReady    state = "ready"
	stateDraining state = "draining"
)

// target is a stand-in of a target: a socket that opens flows and answers requests.
type target struct {
	name     string
	instance uint64
	service  string
	zone     string
	born     int64
	conn     *net.UDPConn
	judge    *judge
	flows    map[netip.AddrPort]*held
}

// held is a flow at its target.
type held struct {
	seq, next uint32
	open      bool
	answer    packet
}

func newTarget(number int, address netip.Addr, service, zone string, j *judge) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, fmt.Errorf("listen for target %d: %w", number, err)
	}
	return &target{
		name: fmt.Sprintf("i-%x", number), instance: uint64(number), service: service, zone: zone,
		born: time.Now().UnixMilli(), conn: conn, judge: j, flows: map[netip.AddrPort]*held{},
	}, nil
}

func (t *target) registration(s state, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		t.service, t.conn.LocalAddr(), t.zone, s, sequence, t.born)
}

// run serves until the context ends, as a target that crashes then does.
func (t *target) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil || n < prefix {
			continue
		}
		p, ok := decode(buffer[prefix:n])
		if id := binary.BigEndian.Uint64(buffer); !ok || id != 0 && id != t.instance {
			// A target ignores what is meant for another one.
			continue
		}
		t.take(p)
	}
}

func (t *target) take(p packet) {
	switch f := t.flows[p.source]; {
	case p.is(synFlag):
		t.open(p, f)
	case f == nil || !f.open && p.ack != f.seq+1:
		t.judge.foreign(t, p)
		t.send(packet{source: p.destination, destination: p.source, echo: p.echo, flags: rstFlag, seq: p.ack, sum: sum})
	default:
		t.follow(p, f)
	}
}

func (t *target) open(p packet, f *held) {
	t.judge.opening(t, p)
	if f == nil {
		f = &held{seq: uint32(time.Now().UnixNano()), next: p.seq + 1}
		t.flows[p.source] = f
	}
	t.send(packet{source: p.destination, destination: p.source, echo: p.echo, flags: synFlag | ackFlag, seq: f.seq, ack: p.seq + 1, sum: sum})
}

func (t *target) follow(p packet, f *held) {
	if !f.open {
		f.open = true
		f.seq++
		t.judge.opened(t, p.source)
	}
	switch {
	case p.is(finFlag):
		t.judge.closed(p.source)
		delete(t.flows, p.source)
		t.send(packet{source: p.destination, destination: p.source, echo: p.echo, flags: finFlag | ackFlag, seq: f.seq, ack: p.seq + 1, sum: sum})
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		t.judge.ran(t, string(p.data))
		f.answer = packet{source: p.destination, destination: p.source, echo: p.echo, flags: ackFlag, seq: f.seq, ack: f.next, sum: sum, data: p.data}
		f.seq += uint32(len(p.data))
		t.send(f.answer)
	case len(p.data) > 0 && len(f.answer.data) > 0:
		// The answer was lost; the request does not run again.
		t.send(f.answer)
	}
}

// send answers the caller directly.
func (t *target) send(p packet) {
	to := netip.AddrPortFrom(p.destination.Addr(), dataPort)
	if _, err := t.conn.WriteToUDPAddrPort(p.encode(nil), to); err != nil && !errors.Is(err, net.ErrClosed) {
		t.judge.trouble("target %s cannot answer: %v", t.name, err)
	}
}
