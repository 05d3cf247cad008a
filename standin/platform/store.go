// Package platform is a small stand-in of the platform's object API. It keeps
// objects in memory and can be told to be slow, to be down, or to lose answers.
package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"pimentospread"
)

// maxValue is the largest value that the platform takes.
const maxValue = 1 << 20

// Store holds the objects. One duty owns it.
type Store struct {
	objects map[pimentospread.ObjectKey]pimentospread.Object
	// revision is the version of the last write to any object, so that a
	// watch of a kind can go on from the highest version that it has seen.
	revision pimentospread.ObjectVersion
	waiting  map[*watch]struct{}
	// history holds the last changes, oldest first. first is the revision after
	// which it is complete.
	history []pimentospread.Change
	first   pimentospread.ObjectVersion
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  Faults
	calls   Calls
	reads   secondCount
	writes  secondCount
}

// Faults are the faults that the platform shows.
type Faults struct {
	// Latency delays every answer.
	Latency pimentospread.Duration `json:"Latency"`
	// Outage refuses every call.
	Outage bool `json:"Outage"`
	// LoseAnswers is the number of writes that take effect and are not answered.
	LoseAnswers int `json:"LoseAnswers"`
	// Silent accepts calls and answers none.
	Silent bool `json:"Silent"`
	// DeafWatches lets watches end without the changes that were made.
	DeafWatches bool `json:"DeafWatches"`
	// RejectFrom names the IP addresses whose calls get RejectStatus.
	RejectFrom   []string `json:"RejectFrom"`
	RejectStatus int      `json:"RejectStatus"`
	// exceeded says that the call is above the rate of its kind.
	exceeded bool
	// PageSize is the number of objects in a page of a list. Zero means 500.
	PageSize int `json:"PageSize"`
	// LateWrites is the number of writes of hosts that are not answered and are
	// done after LateBy, if their condition holds then.
	LateWrites int                    `json:"LateWrites"`
	LateBy     pimentospread.Duration `json:"LateBy"`
	// Lag delays the events of watches.
	Lag pimentospread.Duration `json:"Lag"`
	// ReadsPerSecond and WritesPerSecond bound the calls of all hosts together.
	// Zero means no bound.
	ReadsPerSecond  int `json:"ReadsPerSecond"`
	WritesPerSecond int `json:"WritesPerSecond"`
}

// Calls counts calls. Each call counts once, a waiting watch included.
type Calls struct {
	Get     int `json:"Get"`
	Put     int `json:"Put"`
	Watch   int `json:"Watch"`
	Refused int `json:"Refused"`
	// StandIn counts the calls of stand-ins, which are in none of the others.
	StandIn int `json:"StandIn"`
}

// watch waits for an object of a kind; the name may be empty.
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
	}
}

// Get returns the object.
func (s *Store) Get(key pimentospread.ObjectKey) (pimentospread.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return pimentospread.Object{}, pimentospread.At(pimentospread.ErrNotFound.New("%s %q does not exist", key.Kind, key.Name), "get", "")
	}
	return o, nil
}

// Put writes the value if the object has the expected version; zero creates it.
func (s *Store) Put(key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.Object, error) {
	if len(value) > maxValue {
		return pimentospread.Object{}, pimentospread.At(pimentospread.ErrInvalid.New("value has %d bytes, more than %d", len(value), maxValue), "put", "")
	}
	if found := s.objects[key].Version; found != expected {
		return pimentospread.Object{}, pimentospread.At(pimentospread.ErrConflict.New("%s %q has version %d, not %d", key.Kind, key.Name, found, expected), "put", "")
	}
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

// Watch finds the newest object that the watch waits for, or adds it to the waiting ones.
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

// Forget ends a watch.
func (s *Store) Forget(w *watch) { delete(s.waiting, w) }

func (w *watch) matches(o pimentospread.Object) bool {
	return o.Kind == w.kind && (w.name == "" || o.Name == w.name) && o.Version > w.after
}

// admit counts a call and returns the faults that it meets. Stand-ins are not
// held to the rates.
func (s *Store) admit(now time.Time, count *int, standIn bool) Faults {
	switch {
	case s.faults.Outage:
		s.calls.Refused++
	case standIn:
		s.calls.StandIn++
	case s.exceeds(now, count):
		s.calls.Refused++
		f := s.faults
		f.exceeded = true
		return f
	default:
		*count++
	}
	return s.faults
}

// exceeds counts a call against the rate of its kind.
func (s *Store) exceeds(now time.Time, count *int) bool {
	if count == &s.calls.Put {
		return s.writes.exceeds(now, s.faults.WritesPerSecond)
	}
	return s.reads.exceeds(now, s.faults.ReadsPerSecond)
}

// secondCount counts the calls of the present second.
type secondCount struct {
	second int64
	calls  int
}

// exceeds counts a call and reports whether it is above the limit, if there is one.
func (c *secondCount) exceeds(now time.Time, limit int) bool {
	if second := now.Unix(); second != c.second {
		c.second, c.calls = second, 0
	}
	c.calls++
	return limit > 0 && c.calls > limit
}

// delay returns how late the write of a host is done; zero means at once.
func (s *Store) delay() time.Duration {
	if s.faults.LateWrites == 0 {
		return 0
	}
	s.faults.LateWrites--
	return s.faults.LateBy.Duration
}

// loseAnswer says whether the answer to the write that just happened is lost.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// maxHistory bounds the changes that a watch can go back.
const maxHistory = 10000

func (s *Store) record(c pimentospread.Change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		s.first = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete removes the object.
func (s *Store) Delete(key pimentospread.ObjectKey) error {
	o, err := s.Get(key)
	if err != nil {
		return err
	}
	delete(s.objects, key)
	s.revision++
	o.Version = s.revision
	s.record(pimentospread.Change{Object: o, Deleted: true})
	return nil
}

// Compact forgets all history, as a store may do at any time.
func (s *Store) Compact() {
	s.history, s.first = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns a page of the objects of a kind in the order of their names.
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
// when they are no longer all known.
func (s *Store) Since(kind pimentospread.ObjectKind, after pimentospread.ObjectVersion) (pimentospread.Changes, error) {
	if after < s.first {
		return pimentospread.Changes{}, pimentospread.At(pimentospread.ErrExpired.New("history begins at %d, not %d", s.first, after), "watch", "")
	}
	changes := pimentospread.Changes{Revision: s.revision}
	for _, c := range s.history {
		if c.Kind == kind && c.Version > after {
			changes.Changes = append(changes.Changes, c)
		}
	}
	return changes, nil
}
