package pool_test

import (
	"testing"

	"pimentospread"
	"pimentospread/pool"
)

// TestWithPreviousFollowsActiveTable guards against a host that skips a release
// and sends new flows by one that it has never activated.
func TestWithPreviousFollowsActiveTable(t *testing.T) {
	p := pool.Pool{Name: "p"}
	for id := pimentospread.TargetID(1); id <= 4; id++ {
		p.Targets = append(p.Targets, pool.Target{ID: id})
	}
	epochs := []pool.Epoch{
		{Members: []pimentospread.TargetID{1, 2}},
		{Members: []pimentospread.TargetID{1, 2, 3}},
		{Members: []pimentospread.TargetID{1, 2, 3, 4}},
	}
	p.Epochs = epochs[:1]
	active := pool.NewTable(p, 1)
	p.Epochs = epochs
	skipped := pool.NewTable(p, 1).WithPrevious(active)
	for f := range pimentospread.FlowID(10000) {
		flow := f << 32
		if got, want := skipped.Lookup(flow).Previous, active.Lookup(flow).Current; got != want {
			t.Fatalf("flow %d: previous target %d, the active table has %d", flow, got, want)
		}
	}
	p.Targets = p.Targets[1:]
	if c := pool.NewTable(p, 1).WithPrevious(active).Lookup(0); c.Previous == 1 {
		t.Error("previous target does not exist any more")
	}
}
