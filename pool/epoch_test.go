package pool_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/pool"
)

const idle = 2 * time.Hour

func targets(ids ...pimentospread.TargetID) []pool.Target {
	var list []pool.Target
	for _, id := range ids {
		list = append(list, pool.Target{ID: id, State: pool.Active, Weight: 1})
	}
	return list
}

// TestNextEpochs guards against epochs that accumulate, and against epochs that are
// dropped while they have flows.
func TestNextEpochs(t *testing.T) {
	start := time.Unix(1_000_000, 0).UTC()
	first := pool.Pool{Targets: targets(1, 2, 3)}
	first.Epochs = pool.NextEpochs(nil, first, start, idle)
	draining := pool.Pool{Targets: targets(1, 2, 3)}
	draining.Targets[0].State = pool.Draining
	draining.Epochs = pool.NextEpochs(&first, draining, start, idle)
	type epoch struct {
		Members []pimentospread.TargetID
		Ended   bool
	}
	cases := map[string]struct {
		previous *pool.Pool
		next     []pool.Target
		after    time.Duration
		want     []epoch
	}{
		"first release":                 {nil, targets(3, 1), 0, []epoch{{Members: []pimentospread.TargetID{1, 3}}}},
		"no change":                     {&first, targets(1, 2, 3), time.Hour, []epoch{{Members: []pimentospread.TargetID{1, 2, 3}}}},
		"added target":                  {&first, targets(1, 2, 3, 4), 0, []epoch{{Members: []pimentospread.TargetID{1, 2, 3}}, {Members: []pimentospread.TargetID{1, 2, 3, 4}}}},
		"drain beyond the idle timeout": {&draining, draining.Targets, idle, []epoch{{Members: []pimentospread.TargetID{1, 2, 3}, Ended: true}, {Members: []pimentospread.TargetID{2, 3}}}},
		"drained target removed":        {&draining, targets(2, 3), time.Hour, []epoch{{Members: []pimentospread.TargetID{2, 3}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []epoch
			for _, e := range pool.NextEpochs(c.previous, pool.Pool{Targets: c.next}, start.Add(c.after), idle) {
				got = append(got, epoch{e.Members, e.Ended})
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("epochs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDefaultStaysWhileItsEpochLives guards against a change that moves the default
// of a flow whose epoch has not ended and whose target still exists, which would
// break the flow. It also guards against a bucket that may have records and does not
// count as changed.
func TestDefaultStaysWhileItsEpochLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		p := pool.Pool{Targets: targets(1, 2, 3)}
		// The number of buckets is low, so that adding a target increases it.
		p.Epochs = []pool.Epoch{{Members: []pimentospread.TargetID{1, 2, 3}, Buckets: 1024}}
		table := pool.NewTable(p, 7)
		nextID := pimentospread.TargetID(4)
		for range rapid.IntRange(1, 5).Draw(t, "releases") {
			n := pool.Pool{Targets: append([]pool.Target{}, p.Targets...)}
			i := rapid.IntRange(0, len(n.Targets)-1).Draw(t, "target")
			switch rapid.SampledFrom([]string{"join", "drain", "remove", "weigh"}).Draw(t, "change") {
			case "join":
				n.Targets = append(n.Targets, targets(nextID)...)
				nextID++
			case "drain":
				n.Targets[i].State = pool.Draining
			case "remove":
				if len(n.Targets) > 1 {
					n.Targets = append(n.Targets[:i], n.Targets[i+1:]...)
				}
			case "weigh":
				n.Targets[i].Weight = pimentospread.Weight(rapid.IntRange(1, 9).Draw(t, "weight"))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "minutes")) * time.Minute)
			n.Epochs = pool.NextEpochs(&p, n, now, idle)
			after := pool.NewTable(n, 7)
			ended := n.Epochs[0].Ended
			for f := range uint64(300) {
				id := pimentospread.FlowID(f * 0x9e3779b97f4a7c15)
				old, now := table.Lookup(id), after.Lookup(id)
				_, exists := after.Target(old.Default)
				if exists && now.Default != old.Default && (!ended || !now.Changed) {
					t.Fatalf("default of flow %x moved from target %d to %d", id, old.Default, now.Default)
				}
				if g, ok := after.Target(now.Current); ok && g.State == pool.Draining {
					t.Fatalf("new flow %x goes to draining target %d", id, now.Current)
				}
			}
			p, table = n, after
		}
	})
}
