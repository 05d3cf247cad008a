package tokenfront

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/settings"
)

// stalledOutput is a log output that nobody reads.
type stalledOutput struct{ release chan struct{} }

func (o stalledOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// Guards against a process that is still there at the end of its grace period and is
// killed, because nobody reads its log, the platform answers nothing and callers go on
// sending.
func TestShutdownEndsWithinTheGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	text := fmt.Sprintf(`{"Encapsulation":"token","Host":"h-1","FailureDomain":"near","PlatformURL":"http://127.0.0.1:1","ShutdownGrace":%q}`, grace)
	decoded, faults, err := settings.Decode([]byte(text))
	if err != nil || len(faults) > 0 {
		t.Fatal(faults, err)
	}
	output := stalledOutput{make(chan struct{})}
	defer close(output.release)
	p := newConfiguredPlatform()
	front, err := New(Deps{
		Settings: decoded, Source: settings.Source{Read: func() ([]byte, error) { return []byte(text), nil }},
		Clock: pimentospread.SystemClock{}, Output: output, PlatformStore: p,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = front.Run(ctx)
	}()
	f := &testFront{front: front}
	eventually(t, "readiness", f.ready)
	p.setUnavailable(true)
	stop()
	// No bound is tighter than testTimeout, because the machine may be busy.
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
			f.send(t, synPacket(4000, 443))
		}
	}
	t.Fatalf("the host did not end, want it to end %s after the signal", grace)
}

// Guards against the loss of packets that the fabric still sends to a host that
// shuts down.
func TestHostSteersDuringShutdown(t *testing.T) {
	t.Parallel()
	p := newConfiguredPlatform()
	target := newTarget(t, p, "i-7f")
	f := startFront(t, "h-1", p)
	eventually(t, "readiness", f.ready)
	f.stop()
	eventually(t, "the host to become not ready", func() bool { return !f.ready() })
	f.send(t, synPacket(4000, 443))
	target.receive(t)
}
