package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/host"
	"pimentospread/platform"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/settings"
)

// startHost runs a host of the VXLAN front on the store until the end of the test and
// returns its log.
func (s userStore) startHost(name string) *logBuffer {
	s.t.Helper()
	decoded, faults, err := settings.Decode([]byte(fmt.Sprintf(`{"Host":%q,"Cell":"trust","FailureDomain":"near","FabricAddress":"127.0.0.1:9","PlatformURL":%q}`, name, s.url)))
	if err != nil || len(faults) > 0 {
		s.t.Fatal(faults, err)
	}
	log := &logBuffer{}
	h, err := host.New(host.Deps{Settings: decoded, Clock: pimentospread.SystemClock{}, LogOutput: log})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			s.t.Errorf("host %s: Run returned %v", name, err)
		}
	})
	return log
}

// publisher returns a publisher that uses the store from outside of the hosts.
func (s userStore) publisher() *publish.Publisher {
	s.t.Helper()
	base, err := url.Parse(s.url)
	if err != nil {
		s.t.Fatal(err)
	}
	ids := 0
	return publish.New(publish.Deps{
		Platform: platform.NewClient(platform.Deps{BaseURL: base}), Clock: pimentospread.SystemClock{}, Cell: "trust",
		NewID:   func() pimentospread.PublishID { ids++; return pimentospread.PublishID(fmt.Sprint("p-", ids)) },
		NewSeed: func() uint64 { return 7 },
		InForce: func(context.Context) (publish.InForce, error) { return publish.InForce{}, nil },
	})
}

// Guards against a release that was in force and that no host writes again after the
// platform's store was restored from a copy without it.
func TestReleaseLostByARestoredStoreIsWrittenAgain(t *testing.T) {
	s := userStore{t, serve(t)}
	text, err := os.ReadFile("../../examples/trust.json")
	if err != nil {
		t.Fatal(err)
	}
	var set release.Set
	if err := json.Unmarshal(text, &set); err != nil {
		t.Fatal(err)
	}
	p := s.publisher()
	if _, err := p.Publish(t.Context(), publish.Change{Objects: &set, Publisher: "one"}); err != nil {
		t.Fatal(err)
	}
	log := s.startHost("h-1")
	log.await(t, `"active":true`)
	drain := publish.Change{Target: &publish.TargetChange{Pool: "cert-office", Target: "cert-office-01", State: "Draining"}}
	lost, err := p.Publish(t.Context(), drain)
	if err != nil {
		t.Fatal(err)
	}
	log.await(t, `"generation":2`)
	// The archive of the first release and the second release are the last writes.
	s.restore(2)
	log.await(t, `release that the platform had lost was written again`)
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		current, version, err := p.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if current.PublishID == lost.PublishID && version.Era() == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the platform has release %s of era %d, want %s of era 2", current.PublishID, version.Era(), lost.PublishID)
		}
	}
	if status, _ := call(t, s.url, step{method: http.MethodGet, path: "/v1/objects/ReleaseArchive/trust.1"}); status != http.StatusOK {
		t.Errorf("archive of the release that was replaced: status %d, want 200", status)
	}
}
