package ring_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/ring"
)

// Guards against a full ring that drops the wrong item or does not count the drop.
func TestFullRing(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		policy  ring.Policy
		last    *errorx.Type
		want    []int
		refused uint64
	}{
		"refuse":                      {ring.Refuse, pimentospread.ErrRefused, []int{1, 2}, 2},
		"drop oldest":                 {ring.DropOldest, nil, []int{3, 4}, 2},
		"wait until the context ends": {ring.Block, pimentospread.ErrClosed, []int{1, 2}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := ring.New[int](2, tt.policy)
			var err error
			for i := range 4 {
				err = r.Put(ended, i+1)
			}
			if tt.last == nil && err != nil || tt.last != nil && !errorx.IsOfType(err, tt.last) {
				t.Errorf("the last Put returned %v", err)
			}
			var got []int
			for r.Len() > 0 {
				got = append(got, <-r.Items())
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
			if r.Refused() != tt.refused {
				t.Errorf("%d refusals counted, want %d", r.Refused(), tt.refused)
			}
		})
	}
}

// Guards against a producer that stays blocked after the consumer has made room.
func TestBlockedPutContinues(t *testing.T) {
	r := ring.New[int](1, ring.Block)
	done := make(chan error)
	go func() {
		for i := range 3 {
			if err := r.Put(t.Context(), i); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	for i := range 3 {
		if got := <-r.Items(); got != i {
			t.Errorf("received %d, want %d", got, i)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if r.Refused() != 0 {
		t.Errorf("%d refusals counted, want 0", r.Refused())
	}
}

// Guards against a burst of low-priority items that takes capacity from, or is
// served before, items of a higher priority.
func TestPriorityRingServesHighestPriorityFirst(t *testing.T) {
	type item struct{ Priority, Number int }
	c := ring.NewPriorityRing[item](3, 2)
	for i := range 5 {
		_ = c.Put(t.Context(), 2, item{2, i})
	}
	for _, i := range []item{{0, 0}, {1, 0}, {0, 1}, {-1, 5}, {9, 6}} {
		_ = c.Put(t.Context(), i.Priority, i)
	}
	<-c.Ready()
	var got []item
	for i, ok := c.Take(); ok; i, ok = c.Take() {
		got = append(got, i)
	}
	if diff := cmp.Diff([]item{{0, 0}, {0, 1}, {1, 0}, {2, 0}, {2, 1}}, got); diff != "" {
		t.Error(diff)
	}
	// Out-of-range priorities count as the last one, which refuses 3 of its own items and these 2.
	refused := []uint64{c.Refused(0), c.Refused(1), c.Refused(2)}
	if diff := cmp.Diff([]uint64{0, 0, 5}, refused); diff != "" {
		t.Error(diff)
	}
}

// Guards against items that stay queued when the consumer stops before the rings are empty.
func TestNotifySignalsRemainingItems(t *testing.T) {
	c := ring.NewPriorityRing[int](1, 4)
	for i := range 2 {
		if err := c.Put(context.Background(), 0, i); err != nil {
			t.Fatal(err)
		}
	}
	<-c.Ready()
	if _, ok := c.Take(); !ok {
		t.Fatal("Take returned no item, want the first one")
	}
	c.Notify()
	select {
	case <-c.Ready():
	default:
		t.Error("Ready does not receive although an item is left")
	}
}
