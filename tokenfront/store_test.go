package tokenfront

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"pimentospread"
)

// store is the platform in memory, with the faults that tests need.
type store struct {
	mutex    sync.Mutex
	objects  map[pimentospread.ObjectKey]pimentospread.Object
	history  []pimentospread.Change
	revision pimentospread.ObjectVersion
	changed  chan struct{}
	// away refuses every call.
	away bool
}

func newStore() *store {
	return &store{objects: map[pimentospread.ObjectKey]pimentospread.Object{}, revision: 1, changed: make(chan struct{})}
}

func (s *store) enter() error {
	if s.away {
		return pimentospread.At(pimentospread.ErrUnavailable.New("the platform is away"), "call", "store")
	}
	return nil
}

func (s *store) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key pimentospread.ObjectKey, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(key, json.RawMessage(value))
}

func (s *store) put(key pimentospread.ObjectKey, value json.RawMessage) pimentospread.ObjectVersion {
	s.revision++
	o := pimentospread.Object{ObjectKey: key, Version: s.revision, Value: value}
	s.objects[key] = o
	s.history = append(s.history, pimentospread.Change{Object: o})
	s.wake()
	return s.revision
}

func (s *store) remove(key pimentospread.ObjectKey) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.drop(key)
}

func (s *store) drop(key pimentospread.ObjectKey) {
	o := s.objects[key]
	delete(s.objects, key)
	s.revision++
	o.Version = s.revision
	s.history = append(s.history, pimentospread.Change{Object: o, Deleted: true})
	s.wake()
}

func (s *store) has(key pimentospread.ObjectKey) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.objects[key]
	return ok
}

func (s *store) List(_ context.Context, kind pimentospread.ObjectKind) (pimentospread.Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter(); err != nil {
		return pimentospread.Listing{}, err
	}
	l := pimentospread.Listing{Revision: s.revision}
	for key, o := range s.objects {
		if key.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b pimentospread.Object) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

func (s *store) Changes(ctx context.Context, kind pimentospread.ObjectKind, after pimentospread.ObjectVersion, wait time.Duration) (pimentospread.Changes, error) {
	end := time.After(wait)
	for {
		s.mutex.Lock()
		if s.away {
			s.mutex.Unlock()
			return pimentospread.Changes{}, pimentospread.At(pimentospread.ErrUnavailable.New("the platform is away"), "watch", "store")
		}
		c := pimentospread.Changes{Revision: s.revision}
		for _, h := range s.history {
			if h.Kind == kind && h.Version > after {
				c.Changes = append(c.Changes, h)
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(c.Changes) > 0 {
			return c, nil
		}
		select {
		case <-end:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		case <-changed:
		}
	}
}

func (s *store) Get(_ context.Context, key pimentospread.ObjectKey) (pimentospread.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter(); err != nil {
		return pimentospread.Object{}, err
	}
	o, ok := s.objects[key]
	if !ok {
		return o, pimentospread.At(pimentospread.ErrNotFound.New("no such object"), "get", "store")
	}
	return o, nil
}

func (s *store) Put(_ context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter(); err != nil {
		return 0, err
	}
	if s.objects[key].Version != expected {
		return 0, pimentospread.At(pimentospread.ErrConflict.New("another version"), "put", "store")
	}
	return s.put(key, value), nil
}

func (s *store) Delete(_ context.Context, key pimentospread.ObjectKey, expected pimentospread.ObjectVersion) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter(); err != nil {
		return err
	}
	if s.objects[key].Version != expected {
		return pimentospread.At(pimentospread.ErrConflict.New("another version"), "delete", "store")
	}
	s.drop(key)
	return nil
}
