package discovery

import "pimentospread"

// Update holds all registrations, or those that changed after a revision.
type Update struct {
	// Full is set if the update holds every registration. Otherwise it holds those
	// that changed after From.
	Full bool
	// From is the revision that an update that is not full starts from.
	From pimentospread.ObjectVersion
	// Revision is the revision of the platform after the update.
	Revision pimentospread.ObjectVersion
	// Present holds new and changed registrations.
	Present []pimentospread.Registration
	// Removed holds the names of entries that were deleted or cannot be read.
	Removed []pimentospread.RegistrationName
	// Watched is set if a watch of the platform returned the changes, so that targets have
	// written what is present since From. Other hosts may have it from a list.
	Watched bool `msgpack:"-"`
}

// ChangeKind is the kind of a change of a target.
type ChangeKind string

// Kinds of changes.
const (
	// Added is a new target.
	Added ChangeKind = "added"
	// Restarted is a new process under the name of an existing target.
	Restarted ChangeKind = "restarted"
	// Draining is a target that takes no new flows any more.
	Draining ChangeKind = "draining"
	// Ready is a target that is no longer draining.
	Ready ChangeKind = "ready"
	// Missing is a target that the platform no longer lists and that is kept for the grace period.
	Missing ChangeKind = "missing"
	// Returned is a missing target that registered again.
	Returned ChangeKind = "returned"
	// Departed is a target that departed.
	Departed ChangeKind = "gone"
	// Outdated is a registration of a restored store that may be older than the state of the
	// target. It is withheld.
	Outdated ChangeKind = "outdated"
	// Changed is any other difference, such as another number of slots.
	Changed ChangeKind = "changed"
)

// Change is one change of a target.
type Change struct {
	Registration pimentospread.Registration
	Kind         ChangeKind
}
