package routing_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/routing"
)

func route(name string, port uint16, service string) pimentospread.Route {
	return pimentospread.Route{
		Name: pimentospread.RouteName(name), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port),
		Services: []pimentospread.WeightedService{{Service: pimentospread.ServiceName(service), Weight: 1}},
	}
}

func configuration(version pimentospread.ConfigurationVersion, routes ...pimentospread.Route) pimentospread.Configuration {
	return pimentospread.Configuration{Version: version, Routes: routes, IdleTimeout: time.Second}
}

// Guards against going back to an older configuration, and against treating the
// flows of a dropped route as flows of a route that has not arrived yet.
func TestPut(t *testing.T) {
	a, b := route("a", 1, "desk"), route("b", 2, "office")
	table := routing.New()
	steps := []struct {
		put      pimentospread.Configuration
		accepted bool
		routes   int
		dropped  []netip.AddrPort
	}{
		{configuration(4, a, b), true, 2, nil},
		{configuration(4, a), false, 2, nil},
		{configuration(3), false, 2, nil},
		{configuration(9, a), true, 1, []netip.AddrPort{b.Address}},
		{configuration(10, a), true, 1, []netip.AddrPort{b.Address}},
		{configuration(12, b), true, 1, []netip.AddrPort{a.Address}},
	}
	for i, s := range steps {
		if accepted := table.Put(s.put); accepted != s.accepted {
			t.Errorf("step %d: Put returned %t, want %t", i, accepted, s.accepted)
		}
		var dropped []netip.AddrPort
		for d := range table.Dropped() {
			dropped = append(dropped, d)
		}
		if diff := cmp.Diff(s.dropped, dropped, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || len(table.Routes()) != s.routes {
			t.Errorf("step %d: %d routes, dropped addresses (-want +got): %s", i, len(table.Routes()), diff)
		}
	}
}

// Guards against a host that applies deltas and ends with other routes than the operator configured.
func TestDeltaResultsInTheConfiguration(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) pimentospread.Configuration {
		var c pimentospread.Configuration
		for i := range 6 {
			if rapid.Bool().Draw(t, "present") {
				c.Routes = append(c.Routes, route(fmt.Sprint(i), uint16(i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service")))
			}
		}
		return c
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := draw.Draw(t, "from"), draw.Draw(t, "to")
		from.Version, to.Version = 3, 8
		got, ok := routing.Diff(from, to).Apply(from)
		if !ok {
			t.Fatal("the delta cannot be applied to the configuration that it starts from")
		}
		byName := cmpopts.SortSlices(func(a, b pimentospread.Route) bool { return a.Name < b.Name })
		if diff := cmp.Diff(to, got, byName, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Fatal(diff)
		}
		if _, ok := routing.Diff(from, to).Apply(to); ok {
			t.Fatal("the delta was applied to another version than the one it starts from")
		}
	})
}
