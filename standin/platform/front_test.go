package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/settings"
	"pimentospread/tokenfront"
)

// testTimeout is how long a test waits for an expected event. It is far above what a busy
// machine needs; passing tests never wait that long.
const testTimeout = 30 * time.Second

// logBuffer collects the log of a host.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

// count returns how often the log contains the text.
func (b *logBuffer) count(text string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Count(b.text.String(), text)
}

// await waits until the log contains the text.
func (b *logBuffer) await(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if b.count(text) > 0 {
			return
		}
	}
	t.Fatalf("timed out waiting for %s in the log", text)
}

// userStore is a store of the users' platform. The tests write it as operators and targets do.
type userStore struct {
	t   *testing.T
	url string
}

// write creates or replaces an object.
func (s userStore) write(kind, name, spec string) {
	s.t.Helper()
	s.call(step{method: http.MethodPut, path: "/v1/objects/" + kind + "/" + name, body: fmt.Sprintf(`{"meta":{"name":%q},"spec":%s}`, name, spec)})
}

// configure writes a version of the configuration.
func (s userStore) configure(version int) {
	s.t.Helper()
	s.write("config", "main", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/","route_type":"idempotent",`+
		`"timeout_ms":800,"target_latency_ms":120,"service":"desk"}],"limits":{"idle_timeout_ms":15000}}`, version))
}

// register writes the registration of the target with the number.
func (s userStore) register(number int, state string) {
	s.t.Helper()
	s.write("servers", fmt.Sprintf("i-%d", number), fmt.Sprintf(`{"service":"desk","address":"127.0.0.1:%d","zone":"near","version":"v1","slots":2,`+
		`"state":%q,"warmup_left_ms":0,"sequence":1,"born":5}`, 20000+number, state))
}

// restore makes the store lose its last writes.
func (s userStore) restore(writes int) {
	s.t.Helper()
	s.call(step{method: http.MethodPost, path: "/admin/restore", body: fmt.Sprintf(`{"Writes":%d}`, writes)})
}

func (s userStore) call(c step) {
	s.t.Helper()
	if status, body := call(s.t, s.url, c); status != http.StatusOK {
		s.t.Fatalf("%s %s: got %d %s", c.method, c.path, status, body)
	}
}

// startFront runs a host on the store until the end of the test and returns its log.
func (s userStore) startFront(name string) *logBuffer {
	s.t.Helper()
	decoded, faults, err := settings.Decode([]byte(fmt.Sprintf(`{"Encapsulation":"token","Host":%q,"FailureDomain":"near","PlatformURL":%q}`, name, s.url)))
	if err != nil || len(faults) > 0 {
		s.t.Fatal(faults, err)
	}
	log := &logBuffer{}
	front, err := tokenfront.New(tokenfront.Deps{Settings: decoded, Clock: pimentospread.SystemClock{}, Output: log})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- front.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			s.t.Errorf("front %s: Run returned %v", name, err)
		}
	})
	return log
}

// Guards against a host that ignores every change after the platform's store was restored,
// because the revisions of the store are lower than before. A target that left then went
// on getting new flows.
func TestDrainAfterTheStoreWasRestored(t *testing.T) {
	s := userStore{t, serve(t)}
	s.configure(1)
	s.register(1, "ready")
	s.register(2, "ready")
	log := s.startFront("h-1")
	log.await(t, `"msg":"host ready"`)
	const lost = 20
	for i := range lost {
		s.configure(i + 2)
	}
	s.register(3, "ready")
	log.await(t, `"target":"i-3"`)
	s.restore(lost + 1)
	s.configure(lost + 1)
	s.register(3, "ready")
	s.register(2, "draining")
	log.await(t, `"msg":"target draining"`)
}

// Guards against a host that other hosts do not find any more, because a restored store has
// lost its entry and no operator or target writes it again.
func TestEntryLostByARestoredStoreIsWrittenAgain(t *testing.T) {
	s := userStore{t, serve(t)}
	s.configure(1)
	s.register(1, "ready")
	first := s.startFront("h-1")
	first.await(t, `"msg":"host ready"`)
	first.await(t, `"hosts":1,`)
	second := s.startFront("h-2")
	first.await(t, `"hosts":2,`)
	second.await(t, `"hosts":2,`)
	// The entry of the second host is the last write.
	s.restore(1)
	if status, _ := call(t, s.url, step{method: http.MethodGet, path: "/v1/objects/EntryHost/h-2"}); status != http.StatusNotFound {
		t.Fatalf("entry of the second host after the restore: status %d, want 404", status)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, _ := call(t, s.url, step{method: http.MethodGet, path: "/v1/objects/EntryHost/h-2"}); status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the entry of the second host")
		}
	}
}
