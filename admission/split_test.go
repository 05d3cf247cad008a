package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pimentospread"
)

func owners(s Service, live []pimentospread.HostID, turn int64) map[slot][]pimentospread.HostID {
	all := map[slot][]pimentospread.HostID{}
	for h, slots := range split(s.Targets, live, turn) {
		for _, o := range slots {
			all[o] = append(all[o], h)
		}
	}
	return all
}

// Guards against hosts that derive different splits, leave a slot unused, use
// one slot twice or leave a host without a slot.
func TestSplitIsBalancedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testService(rapid.IntRange(1, 20).Draw(t, "targets"), 0)
		total := 0
		for i := range s.Targets {
			s.Targets[i].Slots = pimentospread.Slots(rapid.IntRange(1, 4).Draw(t, "slots"))
			total += int(s.Targets[i].Slots)
		}
		live := hostIDs(rapid.IntRange(1, 16).Draw(t, "hosts"))
		turn := rapid.Int64Range(0, 100).Draw(t, "turn")
		first := split(s.Targets, live, turn)
		s.Targets = rapid.Permutation(s.Targets).Draw(t, "target order")
		second := split(s.Targets, rapid.Permutation(live).Draw(t, "host order"), turn)
		low, high := total, 0
		for _, h := range live {
			if !slices.Equal(first[h], second[h]) {
				t.Fatalf("host %s owns %v or %v, depending on the order of the input", h, first[h], second[h])
			}
			low, high = min(low, len(first[h])), max(high, len(first[h]))
		}
		if low < 1 || high-low > 1 {
			t.Fatalf("hosts own %d to %d slots", low, high)
		}
		used := owners(s, live, turn)
		if len(used) != total {
			t.Fatalf("%d of %d slots are owned", len(used), total)
		}
		if total < len(live) {
			return
		}
		for o, hosts := range used {
			if len(hosts) != 1 {
				t.Fatalf("slot %v is owned by %v", o, hosts)
			}
		}
	})
}

// Guards against a split that changes hands widely when one host dies or
// joins. The bound is one slot for each other host on average over the hosts.
func TestSplitMovesLittle(t *testing.T) {
	for _, shape := range poolShapes {
		s, live := testService(shape.targets, shape.slots), hostIDs(8)
		before, moved := owners(s, live, 0), 0
		for i, dead := range live {
			for o, hosts := range owners(s, slices.Delete(slices.Clone(live), i, i+1), 0) {
				if before[o][0] != dead && before[o][0] != hosts[0] {
					moved++
				}
			}
		}
		t.Logf("%s: a death moves %.2f slots between the others on average", shape.name, float64(moved)/8)
		if moved > 8*7 {
			t.Errorf("%s: %d slots move between other hosts over 8 deaths, want at most 56", shape.name, moved)
		}
	}
}
