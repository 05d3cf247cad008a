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

// Platform is the object API that stores all state that must outlive a host.
type Platform interface {
	// Get returns the object. It returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// Put writes the value if the object still has the expected version, and returns
	// the new version. An expected version of zero creates the object. Put returns
	// ErrConflict if the version differs, and ErrUncertain if no answer arrived or the
	// platform was restored meanwhile, in which case the write may have happened.
	Put(ctx context.Context, key ObjectKey, value json.RawMessage, expected ObjectVersion) (ObjectVersion, error)
	// Watch waits until the version of the object is greater than after and returns the
	// object. It returns ErrTimeout if the platform ends the wait without a change.
	Watch(ctx context.Context, key ObjectKey, after ObjectVersion) (Object, error)
}

// Listing holds all objects of a kind at one revision of the platform.
type Listing struct {
	Objects  []Object
	Revision ObjectVersion
}

// Change is an object after a write, or the last state of a deleted object.
type Change struct {
	Object
	Deleted bool
}

// Changes holds changes to the objects of a kind up to a revision.
type Changes struct {
	Changes  []Change
	Revision ObjectVersion
}

// ObjectFeed lists and watches the objects of a kind.
type ObjectFeed interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind ObjectKind) (Listing, error)
	// Changes waits for changes after the revision, for at most the given time. If there
	// are none, it returns only a revision to continue from. It returns ErrExpired if
	// the platform no longer has the history, or was restored since the revision; the
	// caller then lists again.
	Changes(ctx context.Context, kind ObjectKind, after ObjectVersion, wait time.Duration) (Changes, error)
}

// ObjectStore reads, writes and deletes single objects, such as the entries of hosts.
type ObjectStore interface {
	// Get returns the object. It returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// Put writes the value if the object still has the expected version, and returns the
	// new version. An expected version of zero creates the object.
	Put(ctx context.Context, key ObjectKey, value json.RawMessage, expected ObjectVersion) (ObjectVersion, error)
	// Delete deletes the object if it still has the expected version.
	Delete(ctx context.Context, key ObjectKey, expected ObjectVersion) error
}
