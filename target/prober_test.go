package target_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/target"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1_700_000_000, 0) }

// TestProbe guards against a report with Healthy true for a target that reports or
// shows that it is not healthy.
func TestProbe(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   pimentospread.LoadReport
		failed bool
	}{
		"healthy":        {status: 200, body: `{"Healthy":true,"Running":2,"Connections":9}`, want: pimentospread.LoadReport{Healthy: true, Running: 2, Connections: 9}},
		"draining":       {status: 200, body: `{"Healthy":true,"Draining":true,"Cold":true}`, want: pimentospread.LoadReport{Healthy: true, Draining: true, Cold: true}},
		"unavailable":    {status: 503, body: `{"Healthy":true,"Draining":true}`, want: pimentospread.LoadReport{Draining: true}},
		"empty report":   {status: 200, body: `{}`},
		"truncated body": {status: 200, body: `{"Healthy":`, failed: true},
		"server error":   {status: 500, body: `{"Healthy":true}`, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/health" {
					t.Errorf("request has path %q, want /health", r.URL.Path)
				}
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			report, err := target.NewProber(target.Deps{Clock: fixedClock{}}).Probe(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()))
			if failed := err != nil; failed != test.failed {
				t.Fatalf("got error %v, want an error: %t", err, test.failed)
			}
			if !test.failed {
				test.want.At = fixedClock{}.Now()
			}
			if diff := cmp.Diff(test.want, report); diff != "" {
				t.Errorf("report differs (-want +got):\n%s", diff)
			}
		})
	}
}
