package command_test

import (
	"log/slog"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/command"
	"pimentospread/keys"
)

// noMetrics implements pimentospread.Metrics and discards all values.
type noMetrics struct{}

func (noMetrics) Counter(string) pimentospread.Counter { return noMetrics{} }
func (noMetrics) Gauge(string, func() float64)         {}
func (noMetrics) Add(int)                              {}

// Guards against an administration API that accepts clients without the required
// certificate, and against commands that send the token to an unverified host.
func TestCommandsOverTLS(t *testing.T) {
	c, directory := newCell(t), t.TempDir()
	path := func(name string) string { return filepath.Join(directory, name) }
	created := run(t.Context(), "", "keys", "--directory", directory, "--cell", "cell", "--name", "host-1", "--operator", "alice")
	want := []string{"authority.key", "authority.pem", "host-1.key", "host-1.pem", "alice.key", "alice.pem"}
	if diff := cmp.Diff(want, strings.Fields(strings.ReplaceAll(created.Out, directory+"/", ""))); diff != "" {
		t.Fatalf("%s\n%s", diff, created.Errors)
	}
	store, err := keys.Open(keys.Deps{
		Use: "admin", Clock: pimentospread.SystemClock{}, Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler),
		Files: keys.Files{CertificatePath: path("host-1.pem"), KeyPath: path("host-1.key"), AuthorityPath: path("authority.pem")},
	})
	if err != nil {
		t.Fatal(err)
	}
	handler := c.server.Config.Handler
	c.server.Close()
	c.server = httptest.NewUnstartedServer(handler)
	c.server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn)
	c.server.TLS = store.AdminServer()
	c.server.StartTLS()
	t.Cleanup(c.server.Close)
	other := t.TempDir()
	run(t.Context(), "", "keys", "--directory", other)
	authority, own := []string{"--authority", path("authority.pem")}, []string{"--certificate", path("alice.pem"), "--key", path("alice.key")}
	tests := map[string]struct {
		flags []string
		code  int
	}{
		"with keys":                          {append(authority, own...), command.ExitOK},
		"no certificate":                     {authority, command.ExitFailed},
		"no authority":                       {own, command.ExitUsage},
		"another authority":                  {append([]string{"--authority", filepath.Join(other, "authority.pem")}, own...), command.ExitFailed},
		"authority file without certificate": {[]string{"--authority", path("alice.key")}, command.ExitInvalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := c.run(t.Context(), append([]string{"status"}, tt.flags...)...); got.Code != tt.code {
				t.Errorf("exit code %d, want %d: %s%s", got.Code, tt.code, got.Out, got.Errors)
			}
		})
	}
	// The other hosts of the cell are called with the same keys.
	if got := c.run(t.Context(), append(append([]string{"burn"}, authority...), own...)...); !strings.Contains(got.Errors, `the report is of host "host-1"`) {
		t.Errorf("burn did not call the other hosts with the keys: %s%s", got.Out, got.Errors)
	}
}

// Guards against a second run that replaces the authority and so invalidates the
// certificates in use.
func TestKeysKeepsExistingAuthority(t *testing.T) {
	directory := t.TempDir()
	for _, tt := range []struct {
		flags []string
		code  int
		files int
	}{
		{[]string{"--name", "a"}, command.ExitUsage, 0},
		{[]string{"--cell", "x", "--name", "authority"}, command.ExitUsage, 0},
		{[]string{"--address", "host-1"}, command.ExitUsage, 0},
		{[]string{"--cell", "x", "--name", "a"}, command.ExitOK, 4},
		{[]string{"--cell", "x", "--name", "a"}, command.ExitOK, 2},
	} {
		got := run(t.Context(), "", append([]string{"keys", "--directory", directory}, tt.flags...)...)
		if got.Code != tt.code || len(strings.Fields(got.Out)) != tt.files {
			t.Errorf("%v: exit code %d, want %d: %s%s", tt.flags, got.Code, tt.code, got.Out, got.Errors)
		}
	}
}
