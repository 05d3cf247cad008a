package owner_test

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/standin/owner"
)

// Guards against a handler that hangs when the owning duty has ended or is flooded.
func TestAskEndsWithoutAnOwner(t *testing.T) {
	o := owner.New[int](1)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	question := func(n int) int { return n }
	if _, err := owner.Do(ctx, o, question); !errorx.IsOfType(err, pimentospread.ErrTimeout) {
		t.Errorf("no owner: got %v", err)
	}
	if _, err := owner.Do(ctx, o, question); !errorx.IsOfType(err, pimentospread.ErrRefused) {
		t.Errorf("full ring: got %v", err)
	}
}
