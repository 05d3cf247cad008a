// Package explain builds a timeline of a flow or a request from the logs of all
// hosts.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"pimentospread"
)

const (
	// maxLineBytes exceeds the longest log line, which lists all faults of the settings.
	maxLineBytes = 1 << 20
	// contextBefore is how long before the first line of a flow other lines of
	// its hosts are included. It exceeds the maximum age of the state on which a
	// healthy host bases its decisions.
	contextBefore = 3 * time.Second
	// contextAfter is how long after the last line of a flow other lines of its
	// hosts are included, to show which updates followed.
	contextAfter = 2 * time.Second
	// maxValueBytes is the length at which field values are cut. The log holds
	// the full value.
	maxValueBytes = 60
)

// Line is a parsed line of a host's log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	Flow    string    `json:"flow"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	// otherFields holds the remaining fields, formatted, in the order of the line.
	otherFields string
}

// Timeline holds the log lines about a flow or a request, sorted by time.
type Timeline struct {
	// Flows are the names of the flows that carried the request.
	Flows []string
	// Lines are the lines of these flows and their context.
	Lines []Line
}

// BuildTimeline returns the timeline of the flow or request with the id. The logs
// may be those of any number of hosts. The timeline holds the lines of the flows
// and the lines that the hosts which carried them logged around that time. Text
// before the JSON object of a line is skipped, and so are lines without one.
func BuildTimeline(logs io.Reader, id string) (Timeline, error) {
	lines, err := readLines(logs)
	if err != nil {
		return Timeline{}, err
	}
	var t Timeline
	for _, l := range lines {
		if l.Request == id || l.Flow == id {
			t.Flows = appendUnique(t.Flows, l.Flow)
		}
	}
	if len(t.Flows) == 0 {
		return t, pimentospread.At(pimentospread.ErrNotFound.New("no log line has %q as its flow or request", id), "explain", "")
	}
	filter := newLineFilter(lines, t.Flows)
	for _, l := range lines {
		if filter.matches(l) {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

// lineFilter selects the lines of flows and of the hosts and targets that carried them.
type lineFilter struct {
	flows          []string
	targets, hosts map[string]bool
	// first and last are the times of the first and the last line of the flows.
	first, last time.Time
}

func newLineFilter(lines []Line, flows []string) lineFilter {
	f := lineFilter{flows: flows, targets: map[string]bool{}, hosts: map[string]bool{}}
	for _, l := range lines {
		if l.Flow == "" || !slices.Contains(flows, l.Flow) {
			continue
		}
		f.targets[l.Target], f.hosts[l.Host] = true, true
		if f.first.IsZero() || l.Time.Before(f.first) {
			f.first = l.Time
		}
		if l.Time.After(f.last) {
			f.last = l.Time
		}
	}
	return f
}

// matches reports whether the line belongs to one of the flows, or to one of
// their hosts and targets around that time.
func (f lineFilter) matches(l Line) bool {
	if l.Flow != "" {
		return slices.Contains(f.flows, l.Flow)
	}
	return f.hosts[l.Host] && !l.Time.Before(f.first.Add(-contextBefore)) && !l.Time.After(f.last.Add(contextAfter)) &&
		(l.Target == "" || f.targets[l.Target])
}

// appendUnique appends the item unless it is empty or in the list.
func appendUnique(list []string, item string) []string {
	if item == "" || slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}

// readLines parses the lines that hold a JSON object with a message.
func readLines(logs io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) != nil || l.Message == "" {
			continue
		}
		l.otherFields = formatOtherFields(text[start:])
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "cannot read logs"), "explain", "")
	}
	return lines, nil
}

// formatOtherFields returns the target and the fields that Line has no field for,
// except the failure domain, as name=value.
func formatOtherFields(text []byte) string {
	d := json.NewDecoder(bytes.NewReader(text))
	if _, err := d.Token(); err != nil {
		return ""
	}
	var b strings.Builder
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return b.String()
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
			return b.String()
		}
		switch name {
		case "time", "level", "msg", "host", "flow", "request", "failure_domain":
		case "age", "quiet", "took", "away", "silent", "last_answer":
			fmt.Fprintf(&b, " %s=%s", name, formatDuration(value))
		default:
			text := strings.Trim(string(value), `"`)
			fmt.Fprintf(&b, " %s=%s", name, text[:min(len(text), maxValueBytes)])
		}
	}
	return b.String()
}

// formatDuration formats nanoseconds as a duration. Other values are returned unchanged.
func formatDuration(value json.RawMessage) string {
	var d time.Duration
	if json.Unmarshal(value, &d) != nil {
		return string(value)
	}
	return d.Round(time.Millisecond).String()
}

// Write writes the names of the flows and then one line per log line.
func (t Timeline) Write(w io.Writer) error {
	var b bytes.Buffer
	for _, f := range t.Flows {
		fmt.Fprintf(&b, "flow %s\n", f)
	}
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%s  %-24s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
		if l.Flow != "" && len(t.Flows) > 1 {
			fmt.Fprintf(&b, " %s", l.Flow)
		}
		if l.Request != "" {
			fmt.Fprintf(&b, " request=%s", l.Request)
		}
		fmt.Fprintf(&b, "%s\n", l.otherFields)
	}
	_, err := w.Write(b.Bytes())
	return err
}
