package soak

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"pimentospread/standin/owner"
)

// Guards against a target that never answers a flow, because a late copy of the SYN of an
// earlier flow from the same port has left a half-open flow with another sequence number
// (seed 260614). Hosts then give up a target that runs.
func TestTargetReplacesAHalfOpenFlow(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	c := &checker{owner: owner.New[*observations](16), ctx: ctx}
	go func() { _ = c.owner.Run(ctx, newObservations(1, false)) }()
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	callerAddress := caller.LocalAddr().(*net.UDPAddr).AddrPort()
	target, err := newTarget(1, netip.MustParseAddr("127.0.0.1"), services[0], "zone-0", c)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.conn.Close() }()
	packetOf := func(flags byte, seq, ack uint32, data string) packet {
		return packet{source: callerAddress, destination: addresses[0], flags: flags, seq: seq, ack: ack, data: []byte(data)}
	}
	target.receive(packetOf(synFlag, 100, 0, ""))
	target.receive(packetOf(synFlag, 900, 0, ""))
	seq := target.flows[callerAddress].seq
	target.receive(packetOf(ackFlag, 901, seq+1, ""))
	target.receive(packetOf(ackFlag, 901, seq+1, "request"))
	if got := string(target.flows[callerAddress].answer.data); got != "request" {
		t.Errorf("answer %q, want that to the request", got)
	}
}
