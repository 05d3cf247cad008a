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
	// before is how far back a change of belief may explain a decision: it is
	// above the longest age of a sound belief and the time of a restart.
	before = 10 * time.Second
	// after is above the longest deadline of a request.
	after = 10 * time.Second
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

// Story is the lines about a flow or a request in the order of their time.
type Story struct {
	// Flows are the flows that carried the request.
	Flows []string
	Lines []Line
}

// Read finds the story of a flow or request in the logs of any number of hosts.
// What stands before the JSON object on a line, and lines without one, are passed over.
func Read(logs io.Reader, id string) (Story, error) {
	lines, err := readLines(logs)
	if err != nil {
		return Story{}, err
	}
	var s Story
	targets := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Request == id || l.Flow == id {
			s.Flows = appendNew(s.Flows, l.Flow)
		}
	}
	for _, l := range lines {
		if l.Flow == "" || !slices.Contains(s.Flows, l.Flow) {
			continue
		}
		targets[l.Target] = true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if len(s.Flows) == 0 {
		return s, pimentospread.At(pimentospread.ErrNotFound.New("no line names %q", id), "explain", "")
	}
	for _, l := range lines {
		own := l.Flow != "" && slices.Contains(s.Flows, l.Flow)
		context := l.Flow == "" && !l.Time.Before(first.Add(-before)) && !l.Time.After(last.Add(after)) &&
			(l.Target == "" || targets[l.Target])
		if own || context {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
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
		case "age", "away", "silent", "last_answer":
			fmt.Fprintf(&b, " %s=%s", name, duration(value))
		default:
			fmt.Fprintf(&b, " %s=%s", name, strings.Trim(string(value), `"`))
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
func (s Story) Write(w io.Writer) error {
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
