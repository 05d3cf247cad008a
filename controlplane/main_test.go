package controlplane_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets defaults for the flags of the property tests, so that runs are
// reproducible and leave no files behind. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260401", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
