package main

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// testName is a package path, a dot and the name of a top-level test.
type testName string

// report is the result of a run of all tests.
type report struct {
	passed, failed map[testName]bool
	// broken contains packages that failed for another reason than a failed test. A
	// panic or data race counts too, since it may hide failures of other tests.
	broken map[string]bool
	// tested contains packages with a failed test.
	tested map[string]bool
}

// readKnown returns the test names in the lines of KNOWN-RED.txt that begin with
// "test:".
func readKnown(r io.Reader) ([]testName, error) {
	var names []testName
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "test:"); ok {
			names = append(names, testName(strings.TrimSpace(name)))
		}
	}
	return names, lines.Err()
}

// readReport reads the events of a run and writes the output of the tests to w.
func readReport(r io.Reader, w io.Writer) (*report, error) {
	p := &report{passed: map[testName]bool{}, failed: map[testName]bool{}, broken: map[string]bool{}, tested: map[string]bool{}}
	for d := json.NewDecoder(r); ; {
		var e event
		if err := d.Decode(&e); err == io.EOF {
			return p, nil
		} else if err != nil {
			return nil, err
		}
		if _, err := io.WriteString(w, e.Output); err != nil {
			return nil, err
		}
		p.add(e)
	}
}

// add records an event.
func (p *report) add(e event) {
	top, _, sub := strings.Cut(e.Test, "/")
	name := testName(e.Package + "." + top)
	switch {
	case strings.HasPrefix(e.Output, "panic:"), strings.Contains(e.Output, "WARNING: DATA RACE"):
		p.broken[e.Package] = true
	case e.Action == "fail" && e.Test != "":
		p.failed[name], p.tested[e.Package] = true, true
	case e.Action == "fail" && !p.tested[e.Package]:
		p.broken[e.Package] = true
	case e.Action == "pass" && e.Test != "" && !sub:
		p.passed[name] = true
	}
}

// findings returns one line for each finding, and whether the run passes.
func (p *report) findings(known []testName) ([]string, bool) {
	var lines []string
	ok := true
	isKnown := map[testName]bool{}
	for _, n := range known {
		isKnown[n] = true
		switch {
		case p.failed[n]:
			lines = append(lines, "known red: "+string(n))
		case p.passed[n]:
			lines = append(lines, "passes again, remove it from KNOWN-RED.txt: "+string(n))
		default:
			lines, ok = append(lines, "listed in KNOWN-RED.txt but was not run: "+string(n)), false
		}
	}
	for n := range p.failed {
		if !isKnown[n] {
			lines, ok = append(lines, "failed: "+string(n)), false
		}
	}
	for n := range p.broken {
		lines, ok = append(lines, "package failed: "+n), false
	}
	return lines, ok
}
