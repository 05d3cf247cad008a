package pool_test

import (
	"errors"
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests and the number of checks, unless a
// seed is given, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "30")); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
