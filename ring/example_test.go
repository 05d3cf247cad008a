package ring_test

import (
	"context"
	"fmt"

	"pimentospread/ring"
)

// A full ring applies its policy and counts the items that it drops.
func ExampleRing_Put() {
	ctx := context.Background()
	r := ring.New[string](1, ring.DropOldest)
	_ = r.Put(ctx, "first")
	_ = r.Put(ctx, "second")
	fmt.Println(<-r.Items(), r.Refused())
	// Output: second 1
}

// Items of one priority never use the capacity of another.
func ExamplePriorityRing_Take() {
	ctx := context.Background()
	c := ring.NewPriorityRing[string](2, 1)
	_ = c.Put(ctx, 1, "map")
	fmt.Println(c.Put(ctx, 1, "another map") != nil)
	_ = c.Put(ctx, 0, "report")
	next, _ := c.Take()
	fmt.Println(next)
	// Output:
	// true
	// report
}
