package target_test

import (
	"net/netip"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/standin/target"
)

// Guards against example sets that fail validation, or whose sizes differ from
// section 1 of the design page.
func TestExampleSetsAreValid(t *testing.T) {
	tests := map[string][]int{"trust": {14, 2, 4, 2}, "office": {14, 3, 4, 3}}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("../../examples/" + name + ".json")
			if err != nil {
				t.Fatal(err)
			}
			s, err := release.DecodeSet(data)
			if err != nil {
				t.Fatal(err)
			}
			if faults := s.Check(); len(faults) > 0 {
				t.Errorf("example set has faults: %v", faults)
			}
			var got []int
			for _, p := range s.TargetPools {
				got = append(got, len(p.Targets), int(p.Targets[0].Slots))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a set that directs traffic to the ports of the example instead of
// those of running targets.
func TestAssignAddressesNeedsEveryTarget(t *testing.T) {
	s := release.Set{TargetPools: []pool.Pool{{Targets: []pool.Target{{Name: "a", Slots: 2}}}}}
	if err := target.AssignAddresses(&s, nil); err == nil {
		t.Error("set with a target that is not running: got no error")
	}
	at := netip.MustParseAddrPort("127.0.0.1:1")
	running := []pool.Target{{Name: "a", FlowAddress: at, RequestAddress: at, HealthAddress: at}}
	if err := target.AssignAddresses(&s, running); err != nil || s.TargetPools[0].Targets[0].HealthAddress != at || s.TargetPools[0].Targets[0].Slots != 2 {
		t.Errorf("got target %+v and error %v, want the address of the running target and 2 slots", s.TargetPools[0].Targets[0], err)
	}
}
