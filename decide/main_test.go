package decide

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, and their number,
// so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "80")); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
