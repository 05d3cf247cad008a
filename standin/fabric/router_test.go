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

// Guards against a fabric that sends all packets of a flow to the same host, or
// packets to a host that is not ready.
func TestRouteDistributesOverReadyHosts(t *testing.T) {
	r := fabric.NewRouter(fabric.Deps{Seed: 1, Counts: &fabric.Counts{}})
	fromCaller := frame(t, packet.Header{}, caller, service)
	fromTarget := frame(t, packet.Header{Service: 1, Source: 2}, service, caller)
	if got := r.Route(nil, outerCaller, fromCaller); len(got) != 0 {
		t.Errorf("without hosts: got destinations %v, want none", got)
	}
	known := map[netip.AddrPort]bool{hostA: true, hostB: true}
	r.SetHosts(fabric.Hosts{Known: known, Ready: []netip.AddrPort{hostA, hostB}})
	seen := map[netip.AddrPort]bool{}
	for range 32 {
		for _, a := range append(r.Route(nil, outerCaller, fromCaller), r.Route(nil, target, fromTarget)...) {
			seen[a] = true
		}
	}
	if diff := cmp.Diff(known, seen); diff != "" {
		t.Error(diff)
	}
	r.SetHosts(fabric.Hosts{Known: known, Ready: []netip.AddrPort{hostB}})
	for range 32 {
		if got := r.Route(nil, outerCaller, fromCaller); len(got) != 1 || got[0] != hostB {
			t.Fatalf("got destinations %v, want only the ready host", got)
		}
	}
	// A host that is no longer ready still sends packets to callers.
	if got := r.Route(nil, hostA, frame(t, packet.Header{}, service, caller)); len(got) != 1 || got[0] != outerCaller {
		t.Errorf("packet of a host: got destinations %v, want %v", got, outerCaller)
	}
}

// Guards against a fabric that ignores the configured loss and duplication.
func TestRouteLossAndDuplication(t *testing.T) {
	hosts := fabric.Hosts{Ready: []netip.AddrPort{hostA}}
	fromCaller := frame(t, packet.Header{}, caller, service)
	for want, d := range map[int]fabric.Deps{0: {Loss: 1}, 1: {}, 2: {Duplicate: 1}} {
		d.Counts = &fabric.Counts{}
		r := fabric.NewRouter(d)
		r.SetHosts(hosts)
		if got := r.Route(nil, outerCaller, fromCaller); len(got) != want {
			t.Errorf("%+v: got %d copies, want %d", d, len(got), want)
		}
	}
}

// Guards against a fabric that also drops packets of new flows, or the resets that
// hosts send to the callers of forgotten flows.
func TestForgetDropsPacketsOfTargets(t *testing.T) {
	counts := &fabric.Counts{}
	r := fabric.NewRouter(fabric.Deps{Seed: 1, Counts: counts})
	r.SetHosts(fabric.Hosts{Known: map[netip.AddrPort]bool{hostA: true}, Ready: []netip.AddrPort{hostA}})
	r.Route(nil, outerCaller, frame(t, packet.Header{}, caller, service))
	if got := r.Forget(1); got != 1 {
		t.Fatalf("forgot %d flows, want 1", got)
	}
	fromTarget := packet.Header{Service: 1, Source: 2}
	if got := r.Route(nil, target, frame(t, fromTarget, service, caller)); len(got) != 0 {
		t.Errorf("packet to a forgotten flow: got destinations %v, want none", got)
	}
	if got := r.Route(nil, hostA, frame(t, packet.Header{}, service, caller)); len(got) != 1 || got[0] != outerCaller {
		t.Errorf("reset of a host: got destinations %v, want %v", got, outerCaller)
	}
	next := netip.AddrPortFrom(caller.Addr(), caller.Port()+1)
	r.Route(nil, outerCaller, frame(t, packet.Header{}, next, service))
	if got := r.Route(nil, target, frame(t, fromTarget, service, next)); len(got) != 1 {
		t.Errorf("packet to a new flow: got destinations %v, want one", got)
	}
}
