package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/steer"
)

// routeTo returns a route of the test's address to the given services.
func routeTo(services ...pimentospread.WeightedService) pimentospread.Route {
	return pimentospread.Route{Name: "r", Address: service, Services: services}
}

// ofService returns the registration as one of another service.
func ofService(r pimentospread.Registration, name pimentospread.ServiceName) pimentospread.Registration {
	r.Service = name
	return r
}

// busy lets the target answer other callers, so that it is not suspected.
func (f *fixture) busy(now time.Time, token pimentospread.Token) {
	f.answer(now.Add(-2*time.Millisecond), uint16(now.UnixNano()/1_000_000%20000+20000), token, time.Millisecond)
}

// Guards against copies of a SYN that go to the target of the first one although the route
// has moved to another service or the target has departed. The target is full, so it answers
// other callers and is not suspected.
func TestCopiesOfASYNFollowTheRoute(t *testing.T) {
	old, another := registration("i-1", localDomain), registration("i-2", localDomain)
	next := ofService(registration("i-3", localDomain), "next")
	one := func(name pimentospread.ServiceName) pimentospread.Route {
		return routeTo(pimentospread.WeightedService{Service: name, Weight: 1})
	}
	tests := map[string]struct {
		change func(f *fixture, now time.Time)
		kind   steer.ActionKind
		cause  steer.Cause
		target pimentospread.RegistrationName
	}{
		"nothing changes": {func(*fixture, time.Time) {}, steer.Forward, steer.CauseSYNRetransmission, "i-1"},
		"the route moves to another service": {
			func(f *fixture, _ time.Time) { f.configure(2, one("next")) }, steer.Forward, steer.CauseLeastLoad, "i-3",
		},
		"another route of the address replaces it": {
			func(f *fixture, _ time.Time) {
				r := one("next")
				r.Name = "r-2"
				f.configure(2, r)
			}, steer.Forward, steer.CauseLeastLoad, "i-3",
		},
		"the route moves and moves back": {
			func(f *fixture, _ time.Time) { f.configure(2, one("next")); f.configure(3, one("desk")) }, steer.Forward, steer.CauseSYNRetransmission, "i-1",
		},
		"the weight moves to another service": {
			func(f *fixture, _ time.Time) {
				f.configure(2, routeTo(pimentospread.WeightedService{Service: "desk"}, pimentospread.WeightedService{Service: "next", Weight: 1}))
			}, steer.Forward, steer.CauseLeastLoad, "i-3",
		},
		"the route moves to a service without targets": {
			func(f *fixture, _ time.Time) { f.configure(2, one("none")) }, steer.Reset, steer.CauseNoTarget, "",
		},
		"the route is removed": {
			func(f *fixture, _ time.Time) { f.configure(2) }, steer.Reset, steer.CauseNoRoute, "",
		},
		"the target departs": {
			func(f *fixture, now time.Time) { f.register(now, another, next) }, steer.Forward, steer.CauseLeastLoad, "i-2",
		},
		"the target restarts under its name": {
			func(f *fixture, now time.Time) { f.register(now, restarted(old, 1), next) }, steer.Forward, steer.CauseLeastLoad, "i-1",
		},
		// A draining target accepts SYNs, and may already have answered the first one.
		"the target drains": {
			func(f *fixture, now time.Time) {
				drains := old
				drains.Draining = true
				f.register(now, drains, another, next)
			}, steer.Forward, steer.CauseSYNRetransmission, "i-1",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for _, copies := range []uint32{1, 2} {
				f := newFixture()
				f.configure(1, one("desk"))
				f.register(start, old, next)
				f.steerer.Steer(start, syn(1, 0))
				now := start.Add(retransmissionTimeout)
				if copies > 1 {
					f.busy(now, old.Token())
					f.steerer.Steer(now, syn(1, 1))
					now = start.Add(3 * retransmissionTimeout)
				}
				f.busy(now, old.Token())
				tc.change(f, now.Add(-time.Millisecond))
				got := f.steerer.Steer(now, syn(1, copies))
				if diff := cmp.Diff([]any{tc.kind, tc.cause, tc.target}, []any{got.Kind, got.Cause, got.Name}); diff != "" {
					t.Errorf("copy %d (-want +got): %s", copies, diff)
				}
			}
		})
	}
}

// Guards against SYNs at a service that the configuration in force does not name, for any
// order of SYNs, copies and changes of two routes.
func TestSYNsReachOnlyServicesOfTheRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		services := []pimentospread.ServiceName{"desk", "next", "other"}
		var list []pimentospread.Registration
		for i, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
			list = append(list, ofService(registration(name, localDomain), services[i%3]))
		}
		now := start
		f.register(now, list...)
		addresses := []netip.AddrPort{service, netip.MustParseAddrPort("198.18.0.2:443")}
		routes := map[netip.AddrPort]pimentospread.ServiceName{}
		version := pimentospread.ConfigurationVersion(0)
		copies := map[pimentospread.FlowKey]uint32{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			if version == 0 || rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				version++
				routes[address] = rapid.SampledFrom(services).Draw(t, "service")
				var all []pimentospread.Route
				for a, name := range routes {
					all = append(all, pimentospread.Route{Name: pimentospread.RouteName(a.String()), Address: a, Services: []pimentospread.WeightedService{{Service: name, Weight: 1}}})
				}
				f.configure(version, all...)
			}
			p := syn(uint16(rapid.IntRange(1, 8).Draw(t, "port")), 0)
			p.Key.Service = address
			p.Retransmissions = copies[p.Key]
			copies[p.Key] = (copies[p.Key] + 1) % 3
			a := f.steerer.Steer(now, p)
			want, routed := routes[address]
			if (a.Kind == steer.Forward) != routed {
				t.Fatalf("SYN for %s: got %s (%s), routed %t", address, a.Kind, a.Cause, routed)
			}
			for _, r := range list {
				if r.Name == a.Name && r.Service != want {
					t.Fatalf("copy %d of a SYN went to %s of service %q, version %d names %q", p.Retransmissions, a.Name, r.Service, version, want)
				}
			}
		}
	})
}
