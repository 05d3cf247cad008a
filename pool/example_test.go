package pool_test

import (
	"fmt"
	"time"

	"pimentospread"
	"pimentospread/pool"
)

// A drain starts a new epoch. Flows of the draining target keep it as their
// default, and new flows in the same buckets go to other targets.
func ExampleTable_Lookup() {
	before := pool.Pool{Name: "auction-desk", Targets: []pool.Target{{ID: 1}, {ID: 2}}}
	before.Epochs = pool.NextEpochs(nil, before, time.Unix(0, 0), time.Hour)
	after := pool.Pool{Name: "auction-desk", Targets: []pool.Target{{ID: 1, State: pool.Draining}, {ID: 2}}}
	after.Epochs = pool.NextEpochs(&before, after, time.Unix(60, 0), time.Hour)
	table := pool.NewTable(after, 42)
	for f := range pimentospread.FlowID(100) {
		if c := table.Lookup(f << 32); c.Default == 1 {
			fmt.Println("default", c.Default, "current", c.Current, "changed", c.Changed)
			return
		}
	}
	// Output: default 1 current 2 changed true
}
