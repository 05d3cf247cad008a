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

// Guards against settings with a fixed port or a duplicate name, and against hosts
// with different administration tokens.
func TestSettingsCommand(t *testing.T) {
	directory := t.TempDir()
	if err := run(t, "settings", "--directory", directory, "--cell", "c", "--count", "3", "--domain", "a", "--domain", "b", "--platform", "http://127.0.0.1:1", "--fabric", "127.0.0.1:2"); err != nil {
		t.Fatal(err)
	}
	domains := map[pimentospread.HostID]pimentospread.FailureDomain{}
	tokens := map[string]bool{}
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		data, err := os.ReadFile(filepath.Join(directory, name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		s, faults, err := settings.Decode(data)
		if err != nil || len(faults) > 0 || s.PeerAddress.Port() != 0 || s.AdminToken == "" {
			t.Errorf("%s: faults %v, error %v, peer address %s; want no fault, port 0 and an administration token", name, faults, err, s.PeerAddress)
		}
		domains[s.Host], tokens[s.AdminToken] = s.FailureDomain, true
	}
	want := map[pimentospread.HostID]pimentospread.FailureDomain{"host-1": "a", "host-2": "b", "host-3": "a"}
	if diff := cmp.Diff(want, domains); diff != "" || len(tokens) != 1 {
		t.Errorf("got %d tokens, want 1; failure domains: %s", len(tokens), diff)
	}
}

// Guards against a roster with addresses other than those on which a host listens.
func TestRosterCommand(t *testing.T) {
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
		t.Fatalf("got roster %+v and error %v, want one host", got, err)
	}
	h := got.Hosts[0]
	if h.ID != "h" || h.FailureDomain != "a" || h.DataAddress.Port() != 3 || h.PeerAddress.Port() != 4 || h.AdminAddress.Port() != 5 {
		t.Errorf("got host %+v, want the addresses of the log line", h)
	}
	if err := run(t, "roster", "--cell", "c", "--platform", server.URL, "--log", os.DevNull, "--wait", "0s"); err == nil {
		t.Error("log without the line of a started host: got no error")
	}
}
