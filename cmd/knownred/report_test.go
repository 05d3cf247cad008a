package main

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a run that passes although an unlisted test failed or a listed
// test did not run.
func TestFindings(t *testing.T) {
	const failA = `{"Action":"fail","Package":"p","Test":"TestA/sub"}{"Action":"fail","Package":"p","Test":"TestA"}{"Action":"fail","Package":"p"}`
	for name, c := range map[string]struct {
		events, list string
		want         []string
		ok           bool
	}{
		"listed test fails":     {failA, "test: p.TestA\nissue: 4\n", []string{"known red: p.TestA"}, true},
		"unlisted test fails":   {failA, "", []string{"failed: p.TestA"}, false},
		"listed test passes":    {`{"Action":"pass","Package":"p","Test":"TestA"}`, "test: p.TestA", []string{"passes again, remove it from KNOWN-RED.txt: p.TestA"}, true},
		"listed test not run":   {`{"Action":"skip","Package":"p","Test":"TestA"}`, "test: p.TestA", []string{"listed in KNOWN-RED.txt but was not run: p.TestA"}, false},
		"build fails":           {`{"Action":"fail","Package":"p"}`, "", []string{"package failed: p"}, false},
		"listed test panics":    {`{"Action":"output","Package":"p","Test":"TestA","Output":"panic: x\n"}` + failA, "test: p.TestA", []string{"known red: p.TestA", "package failed: p"}, false},
		"listed name is longer": {failA, "test: p.TestAB", []string{"listed in KNOWN-RED.txt but was not run: p.TestAB", "failed: p.TestA"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			known, err := readKnown(strings.NewReader(c.list))
			if err != nil {
				t.Fatal(err)
			}
			p, err := readReport(strings.NewReader(c.events), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			got, ok := p.findings(known)
			if diff := cmp.Diff(c.want, got); diff != "" || ok != c.ok {
				t.Errorf("ok %v, want %v; findings (-want +got):\n%s", ok, c.ok, diff)
			}
		})
	}
}
