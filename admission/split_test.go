package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pimentospread"
)

func owners(s Service, live []pimentospread.HostID, turn int64) map[slot][]pimentospread.HostID {
	all, p := map[slot][]pimentospread.HostID{}, newSplit(s.Targets, live)
	for _, h := range live {
		for _, o := range p.owned(h, turn) {
			all[o] = append(all[o], h)
		}
	}
	return all
}

// Guards against hosts that derive different splits, leave a slot unused, use
// one slot twice or own more than others, at a time or over all turns.
func TestSplitIsBalancedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testService(rapid.IntRange(1, 20).Draw(t, "targets"), 0)
		total := 0
		for i := range s.Targets {
			s.Targets[i].Slots = pimentospread.Slots(rapid.IntRange(1, 4).Draw(t, "slots"))
			total += int(s.Targets[i].Slots)
		}
		live := hostIDs(rapid.IntRange(1, 16).Draw(t, "hosts"))
		first := newSplit(s.Targets, live)
		s.Targets = rapid.Permutation(s.Targets).Draw(t, "target order")
		second := newSplit(s.Targets, rapid.Permutation(live).Draw(t, "host order"))
		begin, overTurns := rapid.Int64Range(0, 1e9).Draw(t, "turn"), map[pimentospread.HostID]int{}
		for turn := begin; turn < begin+int64(len(live)); turn++ {
			low, high := total, 0
			for _, h := range live {
				mine := first.owned(h, turn)
				if !slices.Equal(mine, second.owned(h, turn)) {
					t.Fatalf("host %s owns %v or %v, depending on the order of the input", h, mine, second.owned(h, turn))
				}
				low, high = min(low, len(mine)), max(high, len(mine))
				overTurns[h] += len(mine)
			}
			if high-low > 1 {
				t.Fatalf("hosts own %d to %d slots", low, high)
			}
			used := owners(s, live, turn)
			for o, hosts := range used {
				if len(hosts) != 1 || len(used) != total {
					t.Fatalf("slot %v is owned by %v; %d of %d slots are owned", o, hosts, len(used), total)
				}
			}
		}
		for h, n := range overTurns {
			if n != total {
				t.Fatalf("host %s owns %d slots over as many turns as hosts, want %d", h, n, total)
			}
		}
	})
}

// Guards against a split that changes hands widely when one host dies or
// joins. The bound is one slot for each other host on average over the hosts.
func TestSplitMovesLittle(t *testing.T) {
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
		t.Logf("%s: a death moves %.2f slots between the others on average", shape.name, float64(moved)/float64(shape.hosts))
		if bound := shape.hosts * (shape.hosts - 1); moved > bound {
			t.Errorf("%s: %d slots move between other hosts over all deaths, want at most %d", shape.name, moved, bound)
		}
	}
}
