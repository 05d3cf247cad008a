package loopback_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/urfave/cli/v3"

	"pimentospread/standin/loopback"
)

// Guards against a show command that returns the wrong field, from which scripts
// read the ports of processes, and against calls to another machine.
func TestShowAndCall(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.json")
	if err := os.WriteFile(file, []byte(`{"Hosts":[{"Port":1},{"Port":2,"Name":"b"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		arguments []string
		want      string
	}{
		"string":        {[]string{"show", file, "Hosts.1.Name"}, "b\n"},
		"number":        {[]string{"show", file, "Hosts.1.Port"}, "2\n"},
		"object":        {[]string{"show", file, "Hosts.0"}, "{\"Port\":1}\n"},
		"missing item":  {[]string{"show", file, "Hosts.2.Name"}, ""},
		"missing field": {[]string{"show", file, "Hosts.0.Name"}, ""},
		"other machine": {[]string{"call", "http://192.0.2.1:80/"}, ""},
		"host name":     {[]string{"call", "http://example.invalid/"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			root := &cli.Command{Name: "standin", Writer: &out, ErrWriter: io.Discard, Commands: []*cli.Command{loopback.CallCommand(), loopback.ShowCommand()}}
			err := root.Run(t.Context(), append([]string{"standin"}, tt.arguments...))
			if out.String() != tt.want || (err == nil) != (tt.want != "") {
				t.Errorf("got output %q and error %v, want the value or, without one, an error", out.String(), err)
			}
		})
	}
}
