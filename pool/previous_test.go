package pool_test

import (
	"net/netip"
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

// Guards against a table that loses the flow addresses, or the members that
// stand in for a target that is down, when it takes the choices of an old one.
func TestWithPreviousKeepsTargets(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:21000")
	p := pool.Pool{
		Name:    "p",
		Targets: []pool.Target{{ID: 1, FlowAddress: address}, {ID: 2, FlowAddress: address}},
		Epochs:  []pool.Epoch{{Members: []pimentospread.TargetID{1, 2}}},
	}
	table := pool.NewTable(p, 1)
	next := table.WithPrevious(table)
	for _, g := range p.Targets {
		if got, ok := next.Address(g.ID); !ok || got != address {
			t.Errorf("address of target %d: got %v %v, want %v", g.ID, got, ok, address)
		}
	}
	if got := next.Without(0, map[pimentospread.TargetID]bool{1: true}); got != 2 {
		t.Errorf("without target 1: got %d, want 2", got)
	}
}
