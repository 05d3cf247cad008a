// Package explain puts the log lines of all hosts that tell what became of a
// flow or a request into one story.
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
	// maxLine is above the longest line, a settings line with all faults.
	maxLine = 1 << 20
	// before is how far back a change of belief may explain a decision: above
	// the longest age of a sound belief.
	before = 3 * time.Second
	// after shows what the hosts learned just after the flow's last line.
	after = 2 * time.Second
	// maxValue bounds the text of a field; the log has the whole.
	maxValue = 60
)

// Line is one line of a host's log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	Flow    string    `json:"flow"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	// rest holds the other fields in the order of the line.
	rest string
}

// Timeline is the lines about a flow or a request in the order of their time.
type Timeline struct {
	// Flows are the flows that carried the request.
	Flows []string
	Lines []Line
}

// BuildTimeline finds the story of a flow or request in the logs of any number of hosts:
// its own lines, and what the hosts that carried it learned at that time.
// What stands before the JSON object on a line, and lines without one, are passed over.
func BuildTimeline(logs io.Reader, id string) (Timeline, error) {
	lines, err := readLines(logs)
	if err != nil {
		return Timeline{}, err
	}
	var s Timeline
	for _, l := range lines {
		if l.Request == id || l.Flow == id {
			s.Flows = appendNew(s.Flows, l.Flow)
		}
	}
	if len(s.Flows) == 0 {
		return s, pimentospread.At(pimentospread.ErrNotFound.New("no line names %q", id), "explain", "")
	}
	scene := newScene(lines, s.Flows)
	for _, l := range lines {
		if scene.has(l) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// scene is where and when flows were carried.
type scene struct {
	flows          []string
	targets, hosts map[string]bool
	first, last    time.Time
}

func newScene(lines []Line, flows []string) scene {
	c := scene{flows: flows, targets: map[string]bool{}, hosts: map[string]bool{}}
	for _, l := range lines {
		if l.Flow == "" || !slices.Contains(flows, l.Flow) {
			continue
		}
		c.targets[l.Target], c.hosts[l.Host] = true, true
		if c.first.IsZero() || l.Time.Before(c.first) {
			c.first = l.Time
		}
		if l.Time.After(c.last) {
			c.last = l.Time
		}
	}
	return c
}

// has reports whether the line belongs to the flows, or tells what their hosts learned then.
func (c scene) has(l Line) bool {
	if l.Flow != "" {
		return slices.Contains(c.flows, l.Flow)
	}
	return c.hosts[l.Host] && !l.Time.Before(c.first.Add(-before)) && !l.Time.After(c.last.Add(after)) &&
		(l.Target == "" || c.targets[l.Target])
}

func appendNew(list []string, item string) []string {
	if item == "" || slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}

func readLines(logs io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(text[at:], &l) != nil || l.Message == "" {
			continue
		}
		l.rest = otherFields(text[at:])
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "logs cannot be read"), "explain", "")
	}
	return lines, nil
}

// otherFields returns the fields of a line that Line does not have, as name=value.
func otherFields(text []byte) string {
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
			fmt.Fprintf(&b, " %s=%s", name, duration(value))
		default:
			text := strings.Trim(string(value), `"`)
			fmt.Fprintf(&b, " %s=%s", name, text[:min(len(text), maxValue)])
		}
	}
	return b.String()
}

func duration(value json.RawMessage) string {
	var d time.Duration
	if json.Unmarshal(value, &d) != nil {
		return string(value)
	}
	return d.Round(time.Millisecond).String()
}

// Write prints the story, one line for each line of a log.
func (s Timeline) Write(w io.Writer) error {
	var b bytes.Buffer
	for _, f := range s.Flows {
		fmt.Fprintf(&b, "flow %s\n", f)
	}
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "%s  %-24s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
		if l.Flow != "" && len(s.Flows) > 1 {
			fmt.Fprintf(&b, " %s", l.Flow)
		}
		if l.Request != "" {
			fmt.Fprintf(&b, " request=%s", l.Request)
		}
		fmt.Fprintf(&b, "%s\n", l.rest)
	}
	_, err := w.Write(b.Bytes())
	return err
}
