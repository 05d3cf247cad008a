package fabric_test

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/packet"
	"pimentospread/standin/fabric"
)

var (
	outerCaller = netip.MustParseAddrPort("127.0.0.1:1000")
	hostA       = netip.MustParseAddrPort("127.0.0.1:2001")
	hostB       = netip.MustParseAddrPort("127.0.0.1:2002")
	target      = netip.MustParseAddrPort("127.0.0.1:3000")
	caller      = netip.MustParseAddrPort("198.18.0.1:10000")
	service     = netip.MustParseAddrPort("192.0.2.10:443")
)

func frame(t *testing.T, h packet.Header, from, to netip.AddrPort) []byte {
	t.Helper()
	e := packet.NewEncoder()
	inner, err := e.TCP(packet.Segment{From: from, To: to, Flags: packet.Flags{SYN: true}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := e.Encapsulate(h, inner)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a fabric that shows only one host to a flow, or that hands
// packets to a host that is not ready.
func TestRouteSpraysOverReadyHosts(t *testing.T) {
	s := fabric.NewRouter(fabric.Deps{Seed: 1, Counts: &fabric.Counts{}})
	up := frame(t, packet.Header{}, caller, service)
	down := frame(t, packet.Header{Service: 1, Source: 2}, service, caller)
	if got := s.Route(nil, outerCaller, up); len(got) != 0 {
		t.Errorf("without hosts: got %v", got)
	}
	known := map[netip.AddrPort]bool{hostA: true, hostB: true}
	s.SetHosts(fabric.Hosts{Known: known, Ready: []netip.AddrPort{hostA, hostB}})
	seen := map[netip.AddrPort]bool{}
	for range 32 {
		for _, a := range append(s.Route(nil, outerCaller, up), s.Route(nil, target, down)...) {
			seen[a] = true
		}
	}
	if diff := cmp.Diff(known, seen); diff != "" {
		t.Error(diff)
	}
	s.SetHosts(fabric.Hosts{Known: known, Ready: []netip.AddrPort{hostB}})
	for range 32 {
		if got := s.Route(nil, outerCaller, up); len(got) != 1 || got[0] != hostB {
			t.Fatalf("got %v, want only the ready host", got)
		}
	}
	// A host that is leaving still sends to callers.
	if got := s.Route(nil, hostA, frame(t, packet.Header{}, service, caller)); len(got) != 1 || got[0] != outerCaller {
		t.Errorf("packet of a host: got %v, want %v", got, outerCaller)
	}
}

// Guards against loss and duplication that do not happen although they were asked for.
func TestRouteLosesAndDuplicates(t *testing.T) {
	hosts := fabric.Hosts{Ready: []netip.AddrPort{hostA}}
	up := frame(t, packet.Header{}, caller, service)
	for want, d := range map[int]fabric.Deps{0: {Loss: 1}, 1: {}, 2: {Duplicate: 1}} {
		d.Counts = &fabric.Counts{}
		s := fabric.NewRouter(d)
		s.SetHosts(hosts)
		if got := s.Route(nil, outerCaller, up); len(got) != want {
			t.Errorf("%+v: got %d copies, want %d", d, len(got), want)
		}
	}
}

// Guards against a fabric that forgets new flows as well, or that keeps the
// resets of hosts from the callers of forgotten flows.
func TestForgetDropsAnswersOfTargets(t *testing.T) {
	counts := &fabric.Counts{}
	s := fabric.NewRouter(fabric.Deps{Seed: 1, Counts: counts})
	s.SetHosts(fabric.Hosts{Known: map[netip.AddrPort]bool{hostA: true}, Ready: []netip.AddrPort{hostA}})
	s.Route(nil, outerCaller, frame(t, packet.Header{}, caller, service))
	if got := s.Forget(1); got != 1 {
		t.Fatalf("forgot %d flows, want 1", got)
	}
	down := packet.Header{Service: 1, Source: 2}
	if got := s.Route(nil, target, frame(t, down, service, caller)); len(got) != 0 {
		t.Errorf("answer to a forgotten flow: got %v", got)
	}
	if got := s.Route(nil, hostA, frame(t, packet.Header{}, service, caller)); len(got) != 1 || got[0] != outerCaller {
		t.Errorf("reset of a host: got %v, want %v", got, outerCaller)
	}
	next := netip.AddrPortFrom(caller.Addr(), caller.Port()+1)
	s.Route(nil, outerCaller, frame(t, packet.Header{}, next, service))
	if got := s.Route(nil, target, frame(t, down, service, next)); len(got) != 1 {
		t.Errorf("answer to a new flow: got %v", got)
	}
}
