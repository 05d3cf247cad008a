package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/operator"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/slo"
)

// memory implements pimentospread.Platform in memory.
type memory map[pimentospread.ObjectKey]pimentospread.Object

func (m memory) Get(_ context.Context, key pimentospread.ObjectKey) (pimentospread.Object, error) {
	o, ok := m[key]
	if !ok {
		return o, pimentospread.ErrNotFound.New("%s %q does not exist", key.Kind, key.Name)
	}
	return o, nil
}

func (m memory) Put(_ context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	if m[key].Version != expected {
		return 0, pimentospread.ErrConflict.New("other version")
	}
	m[key] = pimentospread.Object{ObjectKey: key, Version: expected + 1, Value: value}
	return expected + 1, nil
}

func (m memory) Watch(context.Context, pimentospread.ObjectKey, pimentospread.ObjectVersion) (pimentospread.Object, error) {
	return pimentospread.Object{}, pimentospread.ErrTimeout.New("no change")
}

const token = "a-token"

func newServer(change func(*operator.Deps)) *operator.Server {
	d := operator.Deps{
		Log: slog.New(slog.DiscardHandler), Token: token,
		Publisher: publish.New(publish.Deps{
			Platform: memory{}, Clock: pimentospread.SystemClock{}, Cell: "cell",
			NewID: func() pimentospread.PublishID { return "id" }, NewSeed: func() uint64 { return 1 },
			InForce: func(context.Context) (publish.InForce, error) { return publish.InForce{}, nil },
		}),
		Release: func(context.Context, pimentospread.Generation) (*release.Release, error) {
			return nil, pimentospread.At(pimentospread.ErrTimeout.New("no change"), "watch release", "peer-2")
		},
		Status: func(context.Context) (member.CellStatus, error) {
			return member.CellStatus{}, fmt.Errorf("disordered")
		},
		Burn:    func(context.Context) (slo.HostReport, error) { return slo.HostReport{}, nil },
		Metrics: func(w io.Writer) { _, _ = io.WriteString(w, "metric 1\n") },
		Ready:   func(context.Context) bool { return false },
	}
	if change != nil {
		change(&d)
	}
	return operator.NewServer(d)
}

// Guards against changes that are accepted without the right token, and against
// errors without their kind, step or peer.
func TestProblems(t *testing.T) {
	objects, err := os.ReadFile("../examples/trust.json")
	if err != nil {
		t.Fatal(err)
	}
	change := `{"Objects":` + string(objects) + `}`
	tests := map[string]struct {
		method, path, body, authorization string
		want                              operator.Problem
	}{
		"no token":             {"POST", "/v1/changes", change, "", operator.Problem{Title: "Forbidden", Status: 403, Detail: "a change needs the administration token", Kind: "refused", Step: "authorize", Peer: "192.0.2.1:1234"}},
		"wrong token":          {"POST", "/v1/changes", change, "Bearer a-tokem", operator.Problem{Title: "Forbidden", Status: 403, Detail: "a change needs the administration token", Kind: "refused", Step: "authorize", Peer: "192.0.2.1:1234"}},
		"token without scheme": {"POST", "/v1/changes", change, token, operator.Problem{Title: "Forbidden", Status: 403, Detail: "a change needs the administration token", Kind: "refused", Step: "authorize", Peer: "192.0.2.1:1234"}},
		"empty change":         {"POST", "/v1/changes", "{}", "Bearer " + token, operator.Problem{Title: "Unprocessable Entity", Status: 422, Detail: "the objects have 1 faults", Kind: "invalid", Step: "check", Faults: []pimentospread.Fault{{Problem: "the change is empty"}}}},
		"unknown fields":       {"POST", "/v1/changes", `{"Object":{},"Objects":{"Service":[]},"Rollback":"2"}`, "Bearer " + token, operator.Problem{Title: "Unprocessable Entity", Status: 422, Detail: "the objects have 3 faults", Kind: "invalid", Step: "check", Faults: []pimentospread.Fault{{Path: "Object", Problem: "is not a known field"}, {Path: "Objects.Service", Problem: "is not a known field"}, {Path: "Rollback", Problem: "string does not fit, must be a whole number of 64 bits"}}}},
		"lost race":            {"POST", "/v1/changes", `{"Rollback":1,"IfGeneration":7}`, "Bearer " + token, operator.Problem{Title: "Conflict", Status: 409, Detail: "lost the race: no release is in force", Kind: "conflict", Step: "publish", Peer: "platform"}},
		"invalid objects":      {"POST", "/v1/check", `{"Services":[{"Name":"a","Colour":1}]}`, "", operator.Problem{Title: "Unprocessable Entity", Status: 422, Detail: "the objects have 4 faults", Kind: "invalid", Step: "check", Faults: []pimentospread.Fault{{Path: "Services[0].Colour", Problem: "is not a known field"}, {Path: "Services[0].Addresses", Problem: "needs at least one address"}, {Path: "Services[0].Pool", Problem: `target pool "" does not exist`}, {Path: "Services[0].Policy", Problem: `policy "" does not exist`}}}},
		"watch timed out":      {"GET", "/v1/release?After=3", "", "", operator.Problem{Title: "Gateway Timeout", Status: 504, Detail: "no change", Kind: "timeout", Step: "watch release", Peer: "peer-2"}},
		"wait without unit":    {"GET", "/v1/release?Wait=5", "", "", operator.Problem{Title: "Unprocessable Entity", Status: 422, Detail: "Wait is not a duration with a unit: time: missing unit in duration \"5\"", Kind: "invalid", Step: "decode"}},
		"other error type":     {"GET", "/v1/status", "", "", operator.Problem{Title: "Internal Server Error", Status: 500, Detail: "disordered", Kind: "internal"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequestWithContext(t.Context(), tt.method, tt.path, strings.NewReader(tt.body))
			r.Header.Set("Authorization", tt.authorization)
			w := httptest.NewRecorder()
			newServer(nil).ServeHTTP(w, r)
			var got operator.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatalf("%s: %v", w.Body, err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
			if w.Code != tt.want.Status || w.Header().Get("Content-Type") != "application/problem+json" {
				t.Errorf("got status %d and content type %q, want the status of the problem and application/problem+json", w.Code, w.Header().Get("Content-Type"))
			}
		})
	}
}

// Guards against an operator's machine that runs out of memory because a host, or what
// answers in its place, sends without end.
func TestLongResponsesAreRefused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		page := bytes.Repeat([]byte(" "), 1<<20)
		for range 64 {
			if _, err := w.Write(page); err != nil {
				return
			}
		}
		_, _ = io.WriteString(w, `{}`)
	}))
	defer s.Close()
	if _, err := operator.NewClient(s.URL, "").Status(t.Context()); err == nil {
		t.Error("a response of 64 MiB was read whole, want an error")
	}
}

// Guards against a host that accepts changes because no token is set.
func TestChangesRefusedWithoutConfiguredToken(t *testing.T) {
	s := newServer(func(d *operator.Deps) { d.Token = "" })
	for _, authorization := range []string{"", "Bearer ", "Bearer x"} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/changes", bytes.NewBufferString("{}"))
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != http.StatusForbidden {
			t.Errorf("authorization %q: got status %d, want 403", authorization, w.Code)
		}
	}
}

// Guards against a host that receives packets from the fabric although it is not
// ready, and against missing metrics.
func TestHealthAndMetrics(t *testing.T) {
	for path, want := range map[string]string{"/livez": "200 ok\n", "/readyz": "503 not ready\n", "/metrics": "200 metric 1\n"} {
		w := httptest.NewRecorder()
		newServer(nil).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
		if got := fmt.Sprintf("%d %s", w.Code, w.Body); got != want {
			t.Errorf("%s: got %q, want %q", path, got, want)
		}
	}
}
