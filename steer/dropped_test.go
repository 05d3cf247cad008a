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

// Guards against a host that lags behind others and resets a flow because it has dropped its
// route, although a later configuration has the route again and another host opened the flow
// by it. Flows that belong to a dropped route are still reset.
func TestFlowsOfADroppedRoute(t *testing.T) {
	a := registration("i-1", localDomain)
	const ms = time.Millisecond
	open := steer.Packet{Key: key(1), Token: a.Token(), Sequence: 1, Acknowledgement: 1, Length: 100}
	tests := map[string]struct {
		// before is set if the host carries the flow before it drops the route.
		before bool
		// confirmed is when the view is confirmed that has dropped the route, relative to the
		// first packet after that.
		confirmed time.Duration
		// again is set if the host has the later configuration when the packet is sent again.
		again bool
		// causes are those of the first packet after the route was dropped, and of its copies after 200
		// and 600 ms.
		causes []steer.Cause
	}{
		"the host carried the flow before": {
			before: true, confirmed: -500 * ms, causes: []steer.Cause{steer.CauseRouteDropped, steer.CauseRouteDropped, steer.CauseRouteDropped},
		},
		"the view is older than the flow may be": {
			confirmed: -500 * ms, causes: []steer.Cause{steer.CauseRouteUnconfirmed, steer.CauseRouteUnconfirmed, steer.CauseRouteUnconfirmed},
		},
		"the view is confirmed after the first packet": {
			confirmed: 400 * ms, causes: []steer.Cause{steer.CauseRouteUnconfirmed, steer.CauseRouteUnconfirmed, steer.CauseRouteDropped},
		},
		"the view is confirmed by an answer that was on its way": {
			confirmed: 100 * ms, causes: []steer.Cause{steer.CauseRouteUnconfirmed, steer.CauseRouteUnconfirmed, steer.CauseRouteUnconfirmed},
		},
		"the host gets the later configuration": {
			confirmed: 400 * ms, again: true, causes: []steer.Cause{steer.CauseRouteUnconfirmed, steer.CauseRouteUnconfirmed, steer.CauseToken},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.configure(1, deskRoute())
			f.register(start, a)
			if tc.before {
				f.steerer.Steer(start, open)
			}
			f.configure(2)
			first := start.Add(5 * time.Second)
			f.viewConfirmedAt(first.Add(min(tc.confirmed, 0)))
			var got []steer.Cause
			for _, at := range []time.Duration{0, 200 * ms, 600 * ms} {
				if at == 600*ms {
					if tc.again {
						f.configure(3, deskRoute())
					}
					f.viewConfirmedAt(first.Add(tc.confirmed))
				}
				got = append(got, f.steerer.Steer(first.Add(at), open).Cause)
			}
			if diff := cmp.Diff(tc.causes, got); diff != "" {
				t.Errorf("causes (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against memory that grows with the flows of dropped routes, against resets of flows
// that are beyond the limit, and against a limit that old flows use up for good.
func TestUnconfirmedFlowsAreLimited(t *testing.T) {
	f := newFixture()
	a := registration("i-1", localDomain)
	f.configure(1, deskRoute())
	f.register(start, a)
	f.configure(2)
	// resets sends a packet of each of 60,000 flows and returns how many are reset.
	resets := func(now time.Time, caller string) int {
		n := 0
		for port := range uint16(60000) {
			k := pimentospread.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr(caller), port), Service: service}
			if f.steerer.Steer(now, steer.Packet{Key: k, Token: a.Token()}).Kind == steer.Reset {
				n++
			}
		}
		return n
	}
	for i, caller := range []string{"100.64.0.1", "100.64.0.2"} {
		now := start.Add(time.Duration(i+1) * time.Minute)
		f.viewConfirmedAt(now.Add(-time.Second))
		if got := resets(now, caller); got != 0 {
			t.Errorf("%d flows were reset by an older view, want none", got)
		}
		if i == 0 {
			continue // These flows stay recorded.
		}
		f.viewConfirmedAt(now.Add(time.Second))
		if got := resets(now.Add(time.Second), caller); got == 0 || got > 5000 {
			t.Errorf("%d of 60000 flows were reset, want those within the limit", got)
		}
	}
}

// Guards against resets of flows whose route no later configuration has removed, at a host
// that gets each configuration late, for any order of changes and packets.
func TestLateHostResetsNoFlowOfALaterVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		a := registration("i-1", localDomain)
		f.register(start, a)
		now, version, routed := start, pimentospread.ConfigurationVersion(1), true
		// removals are the times at which the route was removed.
		var removals []time.Time
		f.configure(1, deskRoute())
		late := version
		opened := map[uint16]time.Time{}
		port := uint16(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"change", "open", "open", "packet", "packet", "packet", "sync", "confirm"}).Draw(t, "step") {
			case "change":
				version, routed = version+1, !routed
				if !routed {
					removals = append(removals, now)
				}
			case "open":
				if routed {
					port++
					opened[port] = now
				}
			case "sync":
				late = version
				var routes []pimentospread.Route
				if routed {
					routes = append(routes, deskRoute())
				}
				f.table.Put(pimentospread.Configuration{Version: late, Routes: routes})
				f.viewConfirmedAt(now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * time.Millisecond))
			case "confirm":
				if late == version {
					// An answer of a slow platform arrives 240 ms after the state that it confirms.
					f.viewConfirmedAt(now.Add(240 * time.Millisecond))
				}
			default:
				p := uint16(rapid.IntRange(1, 12).Draw(t, "port"))
				since, ok := opened[p]
				if !ok {
					continue
				}
				got := f.steerer.Steer(now, steer.Packet{Key: key(p), Token: a.Token(), Sequence: 1, Acknowledgement: 1})
				removed := false
				for _, at := range removals {
					removed = removed || at.After(since)
				}
				if got.Kind == steer.Reset && !removed {
					t.Fatalf("flow of port %d, opened %s ago, was reset (%s), although its route is in force since", p, now.Sub(since), got.Cause)
				}
			}
		}
	})
}
