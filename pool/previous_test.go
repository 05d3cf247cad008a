package pool_test

import (
	"net/netip"
	"testing"

	"pimentospread"
	"pimentospread/pool"
)

// TestWithPreviousFollowsActiveTable guards against a host that skips a release and
// sends new flows according to a release that it has never activated.
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
			t.Fatalf("flow %d: previous target is %d, want %d as in the active table", flow, got, want)
		}
	}
	p.Targets = p.Targets[1:]
	if c := pool.NewTable(p, 1).WithPrevious(active).Lookup(0); c.Previous == 1 {
		t.Error("previous target is 1, which was removed from the pool")
	}
}

// TestWithPreviousKeepsTheRestOfTheTable guards against a copy without the addresses
// of the targets, with which hosts drop every packet after the second release.
func TestWithPreviousKeepsTheRestOfTheTable(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:4789")
	p := pool.Pool{Name: "p", Targets: []pool.Target{{ID: 1, FlowAddress: address}, {ID: 2, FlowAddress: address}}}
	p.Epochs = []pool.Epoch{{Members: []pimentospread.TargetID{1, 2}}}
	table := pool.NewTable(p, 1).WithPrevious(pool.NewTable(p, 1))
	if got, ok := table.Address(1); !ok || got != address {
		t.Errorf("address of target 1 is %s, want %s", got, address)
	}
	if got := table.TargetExcluding(7, map[pimentospread.TargetID]bool{1: true}); got != 2 {
		t.Errorf("target is %d with target 1 excluded, want 2", got)
	}
}
