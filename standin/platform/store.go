// Package platform is a small stand-in of the platform's object API. It keeps
// objects in memory and can be told to be slow, to be down, or to lose answers.
package platform

import (
	"encoding/json"

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
	faults   Faults
	calls    Calls
}

// Faults are the faults that the platform shows.
type Faults struct {
	// Latency delays every answer.
	Latency pimentospread.Duration `json:"Latency"`
	// Outage refuses every call.
	Outage bool `json:"Outage"`
	// LoseAnswers is the number of writes that take effect and are not answered.
	LoseAnswers int `json:"LoseAnswers"`
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

// admit counts a call and returns the faults that it meets.
func (s *Store) admit(count *int, standIn bool) Faults {
	switch {
	case s.faults.Outage:
		s.calls.Refused++
	case standIn:
		s.calls.StandIn++
	default:
		*count++
	}
	return s.faults
}

// loseAnswer says whether the answer to the write that just happened is lost.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
