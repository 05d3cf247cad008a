package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pimentospread"
)

// owners returns the hosts that own each slot in the turn.
func owners(s Service, live []pimentospread.HostID, turn int64) map[slot][]pimentospread.HostID {
	all, p := map[slot][]pimentospread.HostID{}, newSlotAssignment(s.Targets, live)
	for _, h := range live {
		for _, o := range p.owned(h, turn) {
			all[o] = append(all[o], h)
		}
	}
	return all
}

// TestSlotAssignmentIsBalancedAndComplete guards against hosts that derive different
// assignments, and against a slot without an owner or with two, and a host with more
// slots than others in one turn or over all turns.
func TestSlotAssignmentIsBalancedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testService(rapid.IntRange(1, 20).Draw(t, "targets"), 0)
		total := 0
		for i := range s.Targets {
			s.Targets[i].Slots = pimentospread.Slots(rapid.IntRange(1, 4).Draw(t, "slots"))
			total += int(s.Targets[i].Slots)
		}
		live := hostIDs(rapid.IntRange(1, 16).Draw(t, "hosts"))
		first := newSlotAssignment(s.Targets, live)
		s.Targets = rapid.Permutation(s.Targets).Draw(t, "target order")
		second := newSlotAssignment(s.Targets, rapid.Permutation(live).Draw(t, "host order"))
		begin, overTurns := rapid.Int64Range(0, 1e9).Draw(t, "turn"), map[pimentospread.HostID]int{}
		for turn := begin; turn < begin+int64(len(live)); turn++ {
			low, high := total, 0
			for _, h := range live {
				mine := first.owned(h, turn)
				if !slices.Equal(mine, second.owned(h, turn)) {
					t.Fatalf("host %s owns %v with one order of targets and hosts, %v with another", h, mine, second.owned(h, turn))
				}
				low, high = min(low, len(mine)), max(high, len(mine))
				overTurns[h] += len(mine)
			}
			if high-low > 1 {
				t.Fatalf("hosts own between %d and %d slots, want a difference of at most 1", low, high)
			}
			used := owners(s, live, turn)
			for o, hosts := range used {
				if len(hosts) != 1 || len(used) != total {
					t.Fatalf("slot %v is owned by %v, want one host; %d of %d slots have an owner", o, hosts, len(used), total)
				}
			}
		}
		for h, n := range overTurns {
			if n != total {
				t.Fatalf("host %s owns %d slots over a full rotation, want %d", h, n, total)
			}
		}
	})
}

// TestSlotAssignmentIsStable guards against an assignment in which many slots change
// owners when one host dies or joins. The bound is one slot per remaining host, on
// average over the hosts that die.
func TestSlotAssignmentIsStable(t *testing.T) {
	for _, shape := range poolShapes {
		s, live := testService(shape.targets, shape.slots), hostIDs(shape.hosts)
		before, moved := owners(s, live, 0), 0
		for i, dead := range live {
			for o, hosts := range owners(s, slices.Delete(slices.Clone(live), i, i+1), 0) {
				if before[o][0] != dead && before[o][0] != hosts[0] {
					moved++
				}
			}
		}
		t.Logf("%s: the death of a host moves %.2f slots between other hosts on average", shape.name, float64(moved)/float64(shape.hosts))
		if bound := shape.hosts * (shape.hosts - 1); moved > bound {
			t.Errorf("%s: the deaths of all hosts in turn move %d slots between other hosts, want at most %d", shape.name, moved, bound)
		}
	}
}
