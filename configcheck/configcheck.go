// Package configcheck checks a configuration of the platform before operators send it: its
// errors, entries without effect, limits that contradict each other, and what changes for
// callers compared with the version in force. It reads no files and no network.
package configcheck

import (
	"cmp"
	"iter"
	"slices"

	"pimentospread"
)

// Descriptors is the number of file descriptors that a host may open.
type Descriptors uint64

// Draft is a configuration as far as it can be decoded.
type Draft struct {
	// Configuration has its routes and services in the order of the file, because findings
	// name them by their index. A route whose address cannot be decoded has none.
	Configuration pimentospread.Configuration
	// Findings holds the values that do not fit into the configuration.
	Findings []Finding
}

// Targets holds the registrations of targets.
type Targets struct {
	Registrations []pimentospread.Registration
	// Unreadable holds the names of objects that are no registration.
	Unreadable []pimentospread.RegistrationName
	// Incomplete is set if further registrations exist.
	Incomplete bool
}

// Input is what a check works with. All but the draft may be missing.
type Input struct {
	Draft   Draft
	InForce *Draft
	Targets *Targets
	// Descriptors is the limit of a host. Zero means that it is unknown.
	Descriptors Descriptors
}

// Report is the result of a check.
type Report struct {
	Version pimentospread.ConfigurationVersion `json:"Version"`
	// InForce is the version that the draft was compared with. Zero means that there was none.
	InForce     pimentospread.ConfigurationVersion `json:"InForce"`
	Findings    []Finding                          `json:"Findings"`
	Differences []Difference                       `json:"Differences"`
	// NotChecked names the rules that could not be applied.
	NotChecked []Omission `json:"NotChecked"`
}

// Omission is a rule that could not be applied, and why.
type Omission struct {
	Subject string `json:"Subject"`
	Reason  string `json:"Reason"`
}

// Errors returns the number of findings that are errors.
func (r Report) Errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == SeverityError {
			n++
		}
	}
	return n
}

// Check applies all rules to the draft. Findings are sorted by severity and keep the order
// of the rules within it. The lists of the report are never nil.
func Check(in Input) Report {
	c := checker{Input: in, configuration: in.Draft.Configuration, supply: suppliesOf(in.Targets)}
	c.findings = append(c.findings, in.Draft.Findings...)
	c.checkVersion()
	c.checkRoutes()
	c.checkServices()
	c.checkUse()
	c.checkTargets()
	c.checkTimeouts()
	c.checkWarmups()
	c.checkDescriptors()
	r := Report{Version: c.configuration.Version, Differences: []Difference{}, NotChecked: []Omission{}}
	if in.InForce == nil {
		c.omit("Differences", "no version in force was given")
	} else {
		r.InForce = in.InForce.Configuration.Version
		r.Differences = append(r.Differences, c.compareInForce()...)
	}
	r.NotChecked = append(r.NotChecked, c.omissions...)
	r.Findings = withoutConsequences(c.findings)
	return r
}

// checker collects the findings on a draft.
type checker struct {
	Input
	configuration pimentospread.Configuration
	// supply holds the targets by service.
	supply    map[pimentospread.ServiceName]supply
	findings  []Finding
	omissions []Omission
}

// supply summarises the targets of a service.
type supply struct {
	registered, draining int
	// fewestSlots are those of the target with the fewest.
	fewestSlots pimentospread.Slots
}

// suppliesOf returns the targets by service. The targets may be nil.
func suppliesOf(t *Targets) map[pimentospread.ServiceName]supply {
	m := map[pimentospread.ServiceName]supply{}
	if t == nil {
		return m
	}
	for _, r := range t.Registrations {
		s := m[r.Service]
		if s.registered == 0 || r.Slots < s.fewestSlots {
			s.fewestSlots = r.Slots
		}
		s.registered++
		if r.Draining {
			s.draining++
		}
		m[r.Service] = s
	}
	return m
}

func (c *checker) add(kind Kind, path, format string, args ...any) {
	c.findings = append(c.findings, NewFinding(kind, path, format, args...))
}

func (c *checker) omit(subject, reason string) {
	c.omissions = append(c.omissions, Omission{Subject: subject, Reason: reason})
}

// compareInForce returns the differences from the version in force. Hosts ignore a version
// that is not higher, so a change with such a version is an error.
func (c *checker) compareInForce() []Difference {
	before := c.InForce.Configuration
	differences := Compare(before, c.configuration)
	if version := c.configuration.Version; version != 0 && version <= before.Version && len(differences) > 0 {
		c.add(StaleVersion, "Version", "is %d, not higher than %d, which is in force: hosts ignore the changes", version, before.Version)
	}
	c.omitInvalid(c.Draft, "the checked version")
	c.omitInvalid(*c.InForce, "the version in force")
	return differences
}

// omitInvalid names the first invalid value of the draft, which counts as a value that fits.
func (c *checker) omitInvalid(d Draft, name string) {
	i := slices.IndexFunc(d.Findings, func(f Finding) bool { return f.Severity == SeverityError })
	if i >= 0 {
		c.omit("Differences", "invalid values of "+name+" may not be compared as written, such as "+d.Findings[i].Path)
	}
}

// withoutConsequences returns the findings without those on values that could not be decoded
// and were therefore taken as empty, errors first.
func withoutConsequences(all []Finding) []Finding {
	// malformed holds the paths that could not be decoded, and partial all paths above them.
	malformed, partial := map[string]bool{}, map[string]bool{}
	for _, f := range all {
		if f.Kind == MalformedValue {
			malformed[f.Path] = true
			for path := range above(f.Path) {
				partial[path] = true
			}
		}
	}
	kept := []Finding{}
	for _, f := range all {
		consequence := coveredBy(malformed, f.Path) || f.Kind == ZeroWeight && partial[f.Path]
		if f.Kind == MalformedValue || !consequence {
			kept = append(kept, f)
		}
	}
	slices.SortStableFunc(kept, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return kept
}

// coveredBy reports whether the set has the path or a path above it.
func coveredBy(paths map[string]bool, path string) bool {
	for outer := range above(path) {
		if paths[outer] {
			return true
		}
	}
	return paths[path]
}

// above returns the paths above the path. The empty path is the whole configuration.
func above(path string) iter.Seq[string] {
	return func(yield func(string) bool) {
		if path == "" || !yield("") {
			return
		}
		for i, r := range path {
			if (r == '.' || r == '[') && !yield(path[:i]) {
				return
			}
		}
	}
}
