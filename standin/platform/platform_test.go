package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/standin/owner"
	"pimentospread/standin/platform"
)

type step struct {
	method, path, match, body string
	status                    int
	// contains must be part of the response.
	contains string
}

// Guards against a stand-in that accepts calls which the platform rejects, such as
// a second write with the same expected version.
func TestObjectAPI(t *testing.T) {
	const object = "/objects/Release/cell"
	tests := map[string][]step{
		"conditional updates": {
			{"GET", object, "", "", 404, "does not exist"},
			{"PUT", object, "0", `{"Value":{"a":1}}`, 200, `"Version":1`},
			{"PUT", object, "0", `{"Value":{"a":2}}`, 412, "has version 1, not 0"},
			{"PUT", object, "1", `{"Value":{"a":3}}`, 200, `"Version":2`},
			{"GET", object, "", "", 200, `"Value":{"a":3}`},
			{"PUT", object, "", `{"Value":1}`, 428, "If-Match"},
			{"PUT", object, "2", `{}`, 400, "Value"},
			{"PUT", object, "2", `{"Value":"` + strings.Repeat("x", 1<<20) + `"}`, 413, ""},
		},
		"watch": {
			{"PUT", object, "0", `{"Value":1}`, 200, ""},
			{"PUT", "/objects/Release/other", "0", `{"Value":2}`, 200, ""},
			{"GET", "/objects/Release?After=0&Wait=1s&Name=cell", "", "", 200, `"Value":1`},
			{"GET", "/objects/Release?After=1&Wait=1s", "", "", 200, `"Value":2`},
			{"GET", "/objects/Release?After=2&Wait=1ms", "", "", 204, ""},
			{"GET", "/objects/Release?After=2&Wait=9h", "", "", 400, "Wait"},
		},
		"outage": {
			{"PUT", "/admin/faults", "", `{"Outage":true}`, 200, ""},
			{"GET", object, "", "", 503, "outage"},
			{"PUT", "/admin/faults", "", `{}`, 200, ""},
			{"GET", object, "", "", 404, ""},
			{"GET", "/admin/calls", "", "", 200, `{"Get":1,"Put":0,"Watch":0,"Refused":1,"StandIn":0}`},
		},
		"lost answer": {
			{"PUT", "/admin/faults", "", `{"LoseAnswers":1}`, 200, ""},
			{"PUT", object, "0", `{"Value":1}`, 0, ""},
			{"GET", object, "", "", 200, `"Version":1`},
			{"PUT", object, "1", `{"Value":2}`, 200, ""},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			url := serve(t)
			for _, s := range steps {
				status, body := call(t, url, s)
				if status != s.status || !strings.Contains(body, s.contains) {
					t.Errorf("%s %s: got %d %s, want %d with %q", s.method, s.path, status, body, s.status, s.contains)
				}
			}
		})
	}
}

func call(t *testing.T, base string, s step) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), s.method, base+s.path, strings.NewReader(s.body))
	if err != nil {
		t.Fatal(err)
	}
	q.GetBody = nil
	if s.match != "" {
		q.Header.Set("If-Match", s.match)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	var body strings.Builder
	if err := a.Write(&body); err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, body.String()
}

// Guards against configured faults that do not take effect.
func TestFaultsOfTheUsersPlatform(t *testing.T) {
	const kind = "/v1/objects/notes"
	tests := map[string][]step{
		"a late write executes without an answer": {
			{"PUT", "/admin/faults", "", `{"LateWrites":1,"LateBy":"20ms"}`, 200, ""},
			{"POST", kind, "", `{"meta":{"name":"a"},"spec":1}`, 0, ""},
			{"GET", kind + "?watch=0&wait_ms=30000", "", "", 200, `"name":"a"`},
		},
		"a late write with another revision has no effect": {
			{"POST", kind, "", `{"meta":{"name":"a"},"spec":1}`, 200, ""},
			{"PUT", "/admin/faults", "", `{"LateWrites":1,"LateBy":"20ms"}`, 200, ""},
			{"DELETE", kind + "/a?revision=9", "", "", 0, ""},
			{"GET", kind + "?watch=1&wait_ms=100", "", "", 200, `"events":[]`},
			{"GET", kind + "/a", "", "", 200, `"revision":1`},
		},
		"late events arrive": {
			{"POST", kind, "", `{"meta":{"name":"a"},"spec":1}`, 200, ""},
			{"PUT", "/admin/faults", "", `{"Lag":"20ms"}`, 200, ""},
			{"GET", kind + "?watch=0&wait_ms=1000", "", "", 200, `"name":"a"`},
		},
		"a delete of another revision is refused": {
			{"POST", kind, "", `{"meta":{"name":"a"},"spec":1}`, 200, ""},
			{"DELETE", kind + "/a?revision=7", "", "", 409, "has revision 1, not 7"},
			{"DELETE", kind + "/a?revision=1", "", "", 200, ""},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			url := serve(t)
			for _, s := range steps {
				status, body := call(t, url, s)
				if status != s.status || !strings.Contains(body, s.contains) {
					t.Errorf("%s %s: got %d %s, want %d with %q", s.method, s.path, status, body, s.status, s.contains)
				}
			}
		})
	}
}

// Guards against rate limits that are not enforced.
func TestRateLimits(t *testing.T) {
	url := serve(t)
	call(t, url, step{method: "PUT", path: "/admin/faults", body: `{"ReadsPerSecond":2,"WritesPerSecond":1}`})
	refused := 0
	for range 50 {
		if status, _ := call(t, url, step{method: "GET", path: "/v1/objects/notes"}); status == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused == 0 {
		t.Error("none of 50 reads was refused with a limit of 2 reads a second")
	}
}

// serve starts a stand-in with an empty store and returns its URL.
func serve(t *testing.T) string {
	t.Helper()
	store := owner.New[*platform.Store](16)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = store.Run(ctx, platform.NewStore())
	}()
	server := httptest.NewServer(platform.NewHandler(store))
	t.Cleanup(func() {
		server.Close()
		stop()
		<-ended
	})
	return server.URL
}

// Guards against a watch that misses the write for which it waits.
func TestWatchEndsWithTheNextWrite(t *testing.T) {
	url := serve(t)
	answer := make(chan string, 1)
	go func() {
		_, body := call(t, url, step{method: "GET", path: "/objects/Roster?After=0&Wait=50s&Name=cell"})
		answer <- body
	}()
	call(t, url, step{method: "PUT", path: "/objects/Roster/cell", match: "0", body: `{"Value":{"Hosts":[]}}`})
	_, object, _ := strings.Cut(<-answer, "\r\n\r\n")
	var got map[string]any
	if err := json.Unmarshal([]byte(object), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"Kind": "Roster", "Name": "cell", "Version": 1.0, "Value": map[string]any{"Hosts": []any{}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
