package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a stand-in that keeps what a restored store has lost, that does not
// assign revisions again, or that answers watches from revisions it does not have.
func TestRestore(t *testing.T) {
	const kind = "/v1/objects/notes"
	steps := []step{
		{"POST", kind, "", `{"meta":{"name":"kept"},"spec":1}`, 200, `"revision":1`},
		{"POST", kind, "", `{"meta":{"name":"removed"},"spec":2}`, 200, `"revision":2`},
		{"PUT", kind + "/kept", "", `{"meta":{"name":"kept"},"spec":3}`, 200, `"revision":3`},
		{"POST", kind, "", `{"meta":{"name":"added"},"spec":4}`, 200, `"revision":4`},
		{"DELETE", kind + "/removed", "", "", 200, ""},
		{"POST", "/admin/restore", "", `{"Writes":3}`, 200, ""},
		{"GET", kind + "/kept", "", "", 200, `"spec":1`},
		{"GET", kind + "/removed", "", "", 200, `"spec":2`},
		{"GET", kind + "/added", "", "", 404, ""},
		{"GET", kind, "", "", 200, `"current_rev":2`},
		{"GET", kind + "?watch=3&wait_ms=0", "", "", 410, ""},
		{"GET", kind + "?watch=1&wait_ms=0", "", "", 200, `"current_rev":2`},
		{"POST", kind, "", `{"meta":{"name":"other"},"spec":5}`, 200, `"revision":3`},
		{"POST", "/admin/restore", "", `{"Writes":9}`, 200, ""},
		{"GET", kind, "", "", 200, `"items":[]`},
	}
	url := serve(t)
	for i, s := range steps {
		if status, body := call(t, url, s); status != s.status || !strings.Contains(body, s.contains) {
			t.Errorf("step %d, %s %s: got %d %s, want %d with %q", i, s.method, s.path, status, body, s.status, s.contains)
		}
	}
}

// Guards against answers without the era of the store, from which hosts detect a restore.
func TestAnswersHaveTheEra(t *testing.T) {
	url := serve(t)
	paths := []string{"/v1/objects/notes", "/v1/objects/notes/missing", "/v1/objects/notes?watch=0&wait_ms=0", "/v1/objects/notes?watch=7&wait_ms=0", "/objects/notes/missing"}
	var got []string
	for restores := range 2 {
		if restores > 0 {
			call(t, url, step{method: "POST", path: "/admin/restore", body: `{"Writes":1}`})
		}
		for _, path := range paths {
			got = append(got, path+" "+eraOf(t, url+path))
		}
		call(t, url, step{method: "PUT", path: "/admin/faults", body: `{"Outage":true}`})
		got = append(got, "outage "+eraOf(t, url+paths[0]))
		call(t, url, step{method: "PUT", path: "/admin/faults", body: `{}`})
	}
	var want []string
	for era := 1; era <= 2; era++ {
		for _, path := range paths {
			want = append(want, fmt.Sprint(path, " ", era))
		}
		want = append(want, fmt.Sprint("outage ", era))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("eras (-want +got):\n%s", diff)
	}
}

// eraOf returns the era in the answer to a GET.
func eraOf(t *testing.T, url string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	return a.Header.Get("Store-Era")
}
