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

// fakePlatform is an in-memory platform that can simulate an outage.
type fakePlatform struct {
	mutex    sync.Mutex
	objects  map[pimentospread.ObjectKey]pimentospread.Object
	history  []pimentospread.Change
	revision pimentospread.ObjectVersion
	changed  chan struct{}
	// unavailable makes every call fail.
	unavailable bool
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: map[pimentospread.ObjectKey]pimentospread.Object{}, revision: 1, changed: make(chan struct{})}
}

// checkAvailable returns an error during an outage.
func (p *fakePlatform) checkAvailable() error {
	if p.unavailable {
		return pimentospread.At(pimentospread.ErrUnavailable.New("the platform is unavailable"), "call", "store")
	}
	return nil
}

// setUnavailable starts or ends an outage.
func (p *fakePlatform) setUnavailable(unavailable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unavailable = unavailable
	p.notifyWatchers()
}

// notifyWatchers wakes all pending watches.
func (p *fakePlatform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// write stores an object regardless of its version.
func (p *fakePlatform) write(key pimentospread.ObjectKey, value string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.putLocked(key, json.RawMessage(value))
}

// putLocked stores an object. The caller holds the mutex.
func (p *fakePlatform) putLocked(key pimentospread.ObjectKey, value json.RawMessage) pimentospread.ObjectVersion {
	p.revision++
	o := pimentospread.Object{ObjectKey: key, Version: p.revision, Value: value}
	p.objects[key] = o
	p.history = append(p.history, pimentospread.Change{Object: o})
	p.notifyWatchers()
	return p.revision
}

// remove deletes an object regardless of its version.
func (p *fakePlatform) remove(key pimentospread.ObjectKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.deleteLocked(key)
}

// deleteLocked deletes an object. The caller holds the mutex.
func (p *fakePlatform) deleteLocked(key pimentospread.ObjectKey) {
	o := p.objects[key]
	delete(p.objects, key)
	p.revision++
	o.Version = p.revision
	p.history = append(p.history, pimentospread.Change{Object: o, Deleted: true})
	p.notifyWatchers()
}

// has reports whether the object exists.
func (p *fakePlatform) has(key pimentospread.ObjectKey) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, ok := p.objects[key]
	return ok
}

func (p *fakePlatform) List(_ context.Context, kind pimentospread.ObjectKind) (pimentospread.Listing, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.checkAvailable(); err != nil {
		return pimentospread.Listing{}, err
	}
	l := pimentospread.Listing{Revision: p.revision}
	for key, o := range p.objects {
		if key.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b pimentospread.Object) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

func (p *fakePlatform) Changes(ctx context.Context, kind pimentospread.ObjectKind, after pimentospread.ObjectVersion, wait time.Duration) (pimentospread.Changes, error) {
	end := time.After(wait)
	for {
		p.mutex.Lock()
		if p.unavailable {
			p.mutex.Unlock()
			return pimentospread.Changes{}, pimentospread.At(pimentospread.ErrUnavailable.New("the platform is unavailable"), "watch", "store")
		}
		c := pimentospread.Changes{Revision: p.revision}
		for _, h := range p.history {
			if h.Kind == kind && h.Version > after {
				c.Changes = append(c.Changes, h)
			}
		}
		changed := p.changed
		p.mutex.Unlock()
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

func (p *fakePlatform) Get(_ context.Context, key pimentospread.ObjectKey) (pimentospread.Object, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.checkAvailable(); err != nil {
		return pimentospread.Object{}, err
	}
	o, ok := p.objects[key]
	if !ok {
		return o, pimentospread.At(pimentospread.ErrNotFound.New("object does not exist"), "get", "store")
	}
	return o, nil
}

func (p *fakePlatform) Put(_ context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.checkAvailable(); err != nil {
		return 0, err
	}
	if p.objects[key].Version != expected {
		return 0, pimentospread.At(pimentospread.ErrConflict.New("object has another version"), "put", "store")
	}
	return p.putLocked(key, value), nil
}

func (p *fakePlatform) Delete(_ context.Context, key pimentospread.ObjectKey, expected pimentospread.ObjectVersion) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.checkAvailable(); err != nil {
		return err
	}
	if p.objects[key].Version != expected {
		return pimentospread.At(pimentospread.ErrConflict.New("object has another version"), "delete", "store")
	}
	p.deleteLocked(key)
	return nil
}
