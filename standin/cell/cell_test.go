package cell_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/settings"
	"pimentospread/standin/cell"
)

func run(t *testing.T, arguments ...string) error {
	t.Helper()
	root := &cli.Command{Name: "standin", Writer: io.Discard, ErrWriter: io.Discard, Commands: []*cli.Command{cell.SettingsCommand(), cell.RosterCommand()}}
	return root.Run(t.Context(), append([]string{"standin"}, arguments...))
}

// Guards against hosts that share a port or a name, or that do not share the token.
func TestSettingsOfACell(t *testing.T) {
	folder := t.TempDir()
	if err := run(t, "settings", "--directory", folder, "--cell", "c", "--count", "3", "--domain", "a", "--domain", "b", "--platform", "http://127.0.0.1:1", "--fabric", "127.0.0.1:2"); err != nil {
		t.Fatal(err)
	}
	domains := map[pimentospread.HostID]pimentospread.FailureDomain{}
	tokens := map[string]bool{}
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		data, err := os.ReadFile(filepath.Join(folder, name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		s, faults, err := settings.Decode(data)
		if err != nil || len(faults) > 0 || s.PeerAddress.Port() != 0 || s.AdminToken == "" {
			t.Errorf("%s: %v %v, peer address %s", name, faults, err, s.PeerAddress)
		}
		domains[s.Host], tokens[s.AdminToken] = s.FailureDomain, true
	}
	want := map[pimentospread.HostID]pimentospread.FailureDomain{"host-1": "a", "host-2": "b", "host-3": "a"}
	if diff := cmp.Diff(want, domains); diff != "" || len(tokens) != 1 {
		t.Errorf("%d tokens, domains: %s", len(tokens), diff)
	}
}

// Guards against a roster that names other addresses than those that a host listens on.
func TestRosterFromLogs(t *testing.T) {
	log := filepath.Join(t.TempDir(), "host.err")
	lines := `{"msg":"other"}` + "\n" + `{"msg":"host started","host":"h","failure_domain":"a","data":"127.0.0.1:3","peer":"127.0.0.1:4","admin":"127.0.0.1:5"}` + "\n"
	if err := os.WriteFile(log, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	var put pimentospread.Object
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && r.URL.Path == "/objects/Roster/c" && r.Header.Get("If-Match") == "0" {
			_ = json.NewDecoder(r.Body).Decode(&put)
		}
	}))
	defer server.Close()
	if err := run(t, "roster", "--cell", "c", "--platform", server.URL, "--log", log); err != nil {
		t.Fatal(err)
	}
	got, err := member.DecodeRoster(put)
	if err != nil || len(got.Hosts) != 1 {
		t.Fatalf("roster %+v: %v", got, err)
	}
	h := got.Hosts[0]
	if h.ID != "h" || h.FailureDomain != "a" || h.DataAddress.Port() != 3 || h.PeerAddress.Port() != 4 || h.AdminAddress.Port() != 5 {
		t.Errorf("host %+v", h)
	}
	if err := run(t, "roster", "--cell", "c", "--platform", server.URL, "--log", os.DevNull, "--wait", "0s"); err == nil {
		t.Error("a host that has not started is in the roster")
	}
}
