package pimentospread

import (
	"context"
	"encoding/json"
	"time"
)

// ObjectKind names a kind of object in the platform's object API.
type ObjectKind string

// Kinds of objects that the system keeps in the platform.
const (
	KindRelease ObjectKind = "Release"
	KindArchive ObjectKind = "ReleaseArchive"
	KindRoster  ObjectKind = "Roster"
	KindHost    ObjectKind = "EntryHost"
)

// ObjectKey identifies an object of the platform.
type ObjectKey struct {
	Kind ObjectKind `json:"Kind"`
	Name string     `json:"Name"`
}

// Object is a versioned value in the platform's object API.
type Object struct {
	ObjectKey
	Version ObjectVersion   `json:"Version"`
	Value   json.RawMessage `json:"Value"`
}

// Platform is the object API that keeps everything that must outlive a host.
type Platform interface {
	// Get returns the object. A missing object gives an error of type ErrNotFound.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// Put writes the value if the object still has the expected version; zero
	// creates it. It returns the new version. A lost race gives ErrConflict; an
	// answer that did not arrive gives ErrUncertain, and the write may have happened.
	Put(ctx context.Context, key ObjectKey, value json.RawMessage, expected ObjectVersion) (ObjectVersion, error)
	// Watch waits until the object has a version above after and returns it.
	// It returns ErrTimeout when the platform ends the wait without a change.
	Watch(ctx context.Context, key ObjectKey, after ObjectVersion) (Object, error)
}

// Listing is all objects of a kind at one revision of the platform.
type Listing struct {
	Objects  []Object
	Revision ObjectVersion
}

// Change is an object as it was written, or the last state of a deleted one.
type Change struct {
	Object
	Deleted bool
}

// Changes are what happened to the objects of a kind up to a revision.
type Changes struct {
	Changes  []Change
	Revision ObjectVersion
}

// ObjectFeed tells how the objects of a kind change.
type ObjectFeed interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind ObjectKind) (Listing, error)
	// Changes waits up to wait for changes after the revision. Without one it
	// returns no changes and a revision to go on from. It returns ErrExpired
	// when the platform no longer has the history; the caller then lists.
	Changes(ctx context.Context, kind ObjectKind, after ObjectVersion, wait time.Duration) (Changes, error)
}

// ObjectStore keeps objects that come and go with their owner.
type ObjectStore interface {
	// Get returns the object. A missing object gives an error of type ErrNotFound.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// Put writes the value if the object still has the expected version; zero creates it.
	Put(ctx context.Context, key ObjectKey, value json.RawMessage, expected ObjectVersion) (ObjectVersion, error)
	// Delete removes the object if it still has the expected version.
	Delete(ctx context.Context, key ObjectKey, expected ObjectVersion) error
}
