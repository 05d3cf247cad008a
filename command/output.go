package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"pimentospread"
)

const (
	outputText = "text"
	outputJSON = "json"
	outputHTML = "html"
)

// print prints the value as JSON, or as the text that write produces, depending on
// the output flag. Tabs in the text align columns.
func (s commands) print(c *cli.Command, value any, write func(w io.Writer)) error {
	if c.String(flagOutput) == outputJSON {
		e := json.NewEncoder(s.deps.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	t := tabwriter.NewWriter(s.deps.Stdout, 0, 0, 2, ' ', 0)
	write(t)
	return t.Flush()
}

// read returns the content of the file, or of standard input if path is "-".
func (s commands) read(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.deps.Stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "file cannot be read"), "read", path)
	}
	return data, nil
}

func printFaults(w io.Writer, faults []pimentospread.Fault) {
	for _, f := range faults {
		_, _ = fmt.Fprintln(w, f)
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
