package release_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/service"
)

func validSet() release.Set {
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	return release.Set{
		Services: []service.Service{{
			Name: "auction-desk", Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.10:443")},
			Pool: "auction-desk", Policy: "trust",
		}},
		TargetPools: []pool.Pool{{Name: "auction-desk", Targets: []pool.Target{
			{Name: "a", FlowAddress: address(1), RequestAddress: address(2), HealthAddress: address(3), Slots: 2, Connections: 2000},
			{Name: "b", FlowAddress: address(4), RequestAddress: address(5), HealthAddress: address(6), Slots: 2, Connections: 2000},
		}}},
		Policies: []policy.Policy{{Name: "trust", Classes: []policy.Class{{
			Name: "bid", Urgency: 3, Weight: 1, QueueLength: 10,
			MaxWait: pimentospread.Duration{Duration: time.Second}, Objective: 0.99,
		}}}},
	}
}

func publication(id pimentospread.PublishID) release.Publication {
	return release.Publication{ID: id, At: time.Unix(1000, 0), Publisher: "test", Seed: 7}
}

// TestNextRejectsInvalidSets guards against publishing an inconsistent set, and
// against a check that reports only the first fault.
func TestNextRejectsInvalidSets(t *testing.T) {
	tests := map[string]struct {
		change func(s *release.Set)
		want   []string
	}{
		"unknown references": {
			change: func(s *release.Set) { s.Services[0].Pool, s.Services[0].Policy = "x", "y" },
			want: []string{
				`Services[0].Pool: target pool "x" does not exist`, `Services[0].Policy: policy "y" does not exist`,
			},
		},
		"overlapping addresses and a duplicate name": {
			change: func(s *release.Set) { s.Services = append(s.Services, s.Services[0]) },
			want: []string{
				`Services[1].Name: "auction-desk" appears twice`,
				`Services[1].Addresses[0]: 192.0.2.10:443 belongs to service "auction-desk" already`,
			},
		},
		"assigned IDs": {
			change: func(s *release.Set) { s.Services[0].ID, s.TargetPools[0].Targets[1].ID = 4, 5 },
			want: []string{
				"Services[0].ID: is assigned by publishing", "TargetPools[0].Targets[1].ID: is assigned by publishing",
			},
		},
		"no slots": {
			change: func(s *release.Set) { s.TargetPools[0].Targets[0].Slots = 0 },
			want:   []string{"TargetPools[0].Targets[0].Slots: must be above zero"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			set := validSet()
			tc.change(&set)
			_, faults := release.Next(nil, set, publication("p"))
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNextNeverReusesIDs guards against reusing the ID of a
// previous target for a target that moved to another address or was added again.
func TestNextNeverReusesIDs(t *testing.T) {
	first, faults := release.Next(nil, validSet(), publication("1"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	without := validSet()
	without.TargetPools[0].Targets = without.TargetPools[0].Targets[:1]
	second, _ := release.Next(&first, without, publication("2"))
	moved := validSet()
	moved.TargetPools[0].Targets[0].FlowAddress = netip.MustParseAddrPort("127.0.0.1:99")
	third, _ := release.Next(&second, moved, publication("3"))
	var got []pimentospread.TargetID
	for _, r := range []release.Release{first, second, third} {
		for _, g := range r.Set.TargetPools[0].Targets {
			got = append(got, g.ID)
		}
	}
	if diff := cmp.Diff([]pimentospread.TargetID{1, 2, 1, 3, 4}, got); diff != "" {
		t.Error(diff)
	}
	if third.Generation != 3 || third.Seed != first.Seed {
		t.Errorf("generation %d with seed %d, want generation 3 with the first seed", third.Generation, third.Seed)
	}
}

func ExampleDecodeSet() {
	_, err := release.DecodeSet([]byte(`{"Services":[{"Title":"x"}]}`))
	fmt.Println(err != nil)
	// Output: true
}
