package owner_test

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/standin/owner"
)

// Guards against a handler that hangs after the owning duty has ended, or while the
// queue is full.
func TestDoFailsWithoutRunningOwner(t *testing.T) {
	q := owner.New[int](1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	task := func(n int) int { return n }
	if _, err := owner.Do(ctx, q, task); !errorx.IsOfType(err, pimentospread.ErrTimeout) {
		t.Errorf("no running owner: got error %v, want ErrTimeout", err)
	}
	if _, err := owner.Do(ctx, q, task); !errorx.IsOfType(err, pimentospread.ErrRefused) {
		t.Errorf("full queue: got error %v, want ErrRefused", err)
	}
}
