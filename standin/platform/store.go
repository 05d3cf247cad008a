// Package platform is a stand-in for the platform's object API. It keeps objects
// in memory and can simulate latency, outages, lost answers and other faults.
package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"pimentospread"
)

// maxValueSize is the largest value that the platform accepts, in bytes.
const maxValueSize = 1 << 20

// Store holds the objects. A single duty owns it.
type Store struct {
	objects map[pimentospread.ObjectKey]pimentospread.Object
	// revision is the version of the last write to any object. Versions are shared by
	// all objects, so that a watch of a kind can continue from the highest version
	// that it has received.
	revision pimentospread.ObjectVersion
	waiting  map[*watch]struct{}
	// history holds the last changes, oldest first.
	history []pimentospread.Change
	// compacted is the revision after which the history is complete.
	compacted pimentospread.ObjectVersion
	// undos holds what the last writes replaced, oldest first.
	undos []undo
	// era rises each time the store is restored.
	era pimentospread.Era
	// changed is closed and replaced at each change and compaction.
	changed   chan struct{}
	faults    Faults
	calls     Calls
	readRate  rateCounter
	writeRate rateCounter
}

// Faults configures the faults that the stand-in simulates.
type Faults struct {
	// Latency delays every answer.
	Latency pimentospread.Duration `json:"Latency"`
	// Outage rejects every call with status 503.
	Outage bool `json:"Outage"`
	// LoseAnswers is the number of next writes that take effect but are not answered.
	LoseAnswers int `json:"LoseAnswers"`
	// Silent accepts calls but answers none of them.
	Silent bool `json:"Silent"`
	// HideChanges ends watches without the changes that were made.
	HideChanges bool `json:"DeafWatches"`
	// RejectFrom lists the client IP addresses whose calls are rejected.
	RejectFrom []string `json:"RejectFrom"`
	// RejectStatus is the HTTP status of rejected calls.
	RejectStatus int `json:"RejectStatus"`
	// exceeded is set for a call that exceeds ReadsPerSecond or WritesPerSecond.
	exceeded bool
	// era is the era of the store at the call.
	era pimentospread.Era
	// PageSize is the maximum number of objects in a page of a list. Zero means 500.
	PageSize int `json:"PageSize"`
	// LateWrites is the number of next writes of hosts that are not answered and
	// execute after LateBy, if their expected revision matches then.
	LateWrites int `json:"LateWrites"`
	// LateBy is the delay of late writes.
	LateBy pimentospread.Duration `json:"LateBy"`
	// Lag delays the events of watches.
	Lag pimentospread.Duration `json:"Lag"`
	// ReadsPerSecond limits the reads and watches of all hosts together. Zero means
	// no limit.
	ReadsPerSecond int `json:"ReadsPerSecond"`
	// WritesPerSecond limits the writes of all hosts together. Zero means no limit.
	WritesPerSecond int `json:"WritesPerSecond"`
}

// Calls counts the calls by kind. A watch counts once, however long it waits.
type Calls struct {
	Get   int `json:"Get"`
	Put   int `json:"Put"`
	Watch int `json:"Watch"`
	// Refused counts the calls during an outage or above a rate limit.
	Refused int `json:"Refused"`
	// StandIn counts the other calls of stand-ins. Get, Put and Watch do not include them.
	StandIn int `json:"StandIn"`
}

// watch waits for an object of a kind with a version above after. An empty name
// matches all objects of the kind.
type watch struct {
	kind  pimentospread.ObjectKind
	name  string
	after pimentospread.ObjectVersion
	found chan pimentospread.Object
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[pimentospread.ObjectKey]pimentospread.Object{},
		waiting: map[*watch]struct{}{},
		changed: make(chan struct{}),
		era:     firstEra,
	}
}

// Get returns the object, or ErrNotFound.
func (s *Store) Get(key pimentospread.ObjectKey) (pimentospread.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return pimentospread.Object{}, pimentospread.At(pimentospread.ErrNotFound.New("%s %q does not exist", key.Kind, key.Name), "get", "")
	}
	return o, nil
}

// Put writes the value if the object has the expected version. Version zero
// creates the object. It returns ErrConflict for another version.
func (s *Store) Put(key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.Object, error) {
	if len(value) > maxValueSize {
		return pimentospread.Object{}, pimentospread.At(pimentospread.ErrInvalid.New("value has %d bytes, more than %d", len(value), maxValueSize), "put", "")
	}
	if found := s.objects[key].Version; found != expected {
		return pimentospread.Object{}, pimentospread.At(pimentospread.ErrConflict.New("%s %q has version %d, not %d", key.Kind, key.Name, found, expected), "put", "")
	}
	s.recordUndo(key)
	s.revision++
	o := pimentospread.Object{ObjectKey: key, Version: s.revision, Value: value}
	s.objects[key] = o
	s.record(pimentospread.Change{Object: o})
	for w := range s.waiting {
		if w.matches(o) {
			w.found <- o
			delete(s.waiting, w)
		}
	}
	return o, nil
}

// Watch sends the newest object that matches the watch to it, or registers the
// watch until such an object is written.
func (s *Store) Watch(w *watch) {
	var newest pimentospread.Object
	for _, o := range s.objects {
		if w.matches(o) && o.Version > newest.Version {
			newest = o
		}
	}
	if newest.Version > 0 {
		w.found <- newest
		return
	}
	s.waiting[w] = struct{}{}
}

// StopWatch removes a watch.
func (s *Store) StopWatch(w *watch) { delete(s.waiting, w) }

func (w *watch) matches(o pimentospread.Object) bool {
	return o.Kind == w.kind && (w.name == "" || o.Name == w.name) && o.Version > w.after
}

// admit counts a call and returns the faults that apply to it. The rate limits do
// not apply to stand-ins.
func (s *Store) admit(now time.Time, count *int, standIn bool) Faults {
	f := s.faults
	f.era = s.era
	switch {
	case s.faults.Outage:
		s.calls.Refused++
	case standIn:
		s.calls.StandIn++
	case s.exceeds(now, count):
		s.calls.Refused++
		f.exceeded = true
	default:
		*count++
	}
	return f
}

// exceeds counts a call against the rate limit of reads or writes, and reports
// whether it is above it.
func (s *Store) exceeds(now time.Time, count *int) bool {
	if count == &s.calls.Put {
		return s.writeRate.exceeds(now, s.faults.WritesPerSecond)
	}
	return s.readRate.exceeds(now, s.faults.ReadsPerSecond)
}

// rateCounter counts the calls of the current second.
type rateCounter struct {
	second int64
	calls  int
}

// exceeds counts a call and reports whether it exceeds the limit. Zero means no limit.
func (c *rateCounter) exceeds(now time.Time, limit int) bool {
	if second := now.Unix(); second != c.second {
		c.second, c.calls = second, 0
	}
	c.calls++
	return limit > 0 && c.calls > limit
}

// delay takes one of the LateWrites, if any are left, and returns the time by
// which the write of a host is delayed. Zero means no delay.
func (s *Store) delay() time.Duration {
	if s.faults.LateWrites == 0 {
		return 0
	}
	s.faults.LateWrites--
	return s.faults.LateBy.Duration
}

// takeLostAnswer takes one of the LoseAnswers. It reports whether one was left, so
// that the answer to the current write must be dropped.
func (s *Store) takeLostAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// maxHistoryLength is the number of changes that are kept for watches.
const maxHistoryLength = 10000

// record appends a change to the history and wakes the watches.
func (s *Store) record(c pimentospread.Change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistoryLength {
		s.compacted = s.history[0].Version
		s.history = s.history[1:]
	}
	s.notifyWatches()
}

// notifyWatches wakes the watches that wait for a change.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete deletes the object. It returns ErrNotFound if the object does not exist.
func (s *Store) Delete(key pimentospread.ObjectKey) error {
	o, err := s.Get(key)
	if err != nil {
		return err
	}
	s.recordUndo(key)
	delete(s.objects, key)
	s.revision++
	o.Version = s.revision
	s.record(pimentospread.Change{Object: o, Deleted: true})
	return nil
}

// Compact drops the history, as the store of the platform may do at any time.
func (s *Store) Compact() {
	s.history, s.compacted = nil, s.revision
	s.notifyWatches()
}

// List returns a page of the objects of a kind, ordered by name, whose names come
// after the given one. It reports whether more objects follow.
func (s *Store) List(kind pimentospread.ObjectKind, after string) (objects []pimentospread.Object, more bool) {
	for key, o := range s.objects {
		if key.Kind == kind && key.Name > after {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b pimentospread.Object) int { return strings.Compare(a.Name, b.Name) })
	size := s.faults.PageSize
	if size == 0 {
		size = 500
	}
	if len(objects) > size {
		return objects[:size], true
	}
	return objects, false
}

// Since returns the changes of a kind after the revision. It returns ErrExpired
// when the history does not hold all of them, or does not reach the revision.
func (s *Store) Since(kind pimentospread.ObjectKind, after pimentospread.ObjectVersion) (pimentospread.Changes, error) {
	if after < s.compacted || after > s.revision {
		return pimentospread.Changes{}, pimentospread.At(pimentospread.ErrExpired.New("history is from revision %d to %d, without the requested revision %d", s.compacted, s.revision, after), "watch", "")
	}
	changes := pimentospread.Changes{Revision: s.revision}
	for _, c := range s.history {
		if c.Kind == kind && c.Version > after {
			changes.Changes = append(changes.Changes, c)
		}
	}
	return changes, nil
}
