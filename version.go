package pimentospread

import "log/slog"

// Era numbers the histories of the platform's store. It rises when the store is restored
// from an older copy, after which the store assigns revisions a second time. Zero means
// that the store reports no era.
type Era uint16

// ObjectVersion is the version of an object of the platform, or of its whole store. It
// consists of the era of the store and a revision. A version of a later era is greater, so
// that versions never go back when the store is restored, and no two states have the same
// one. Zero means that the object does not exist.
type ObjectVersion uint64

// revisionBits leaves 16 bits for the era. A million writes a second reach the greatest
// revision after eight years.
const revisionBits = 48

// MaxRevision is the greatest revision that a version can hold.
const MaxRevision uint64 = 1<<revisionBits - 1

// NewObjectVersion returns the version for a revision that the store assigned in an era.
func NewObjectVersion(era Era, revision uint64) ObjectVersion {
	return ObjectVersion(uint64(era)<<revisionBits | revision&MaxRevision)
}

// Era returns the era of the store in which the version was assigned.
func (v ObjectVersion) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision of the store.
func (v ObjectVersion) Revision() uint64 { return uint64(v) & MaxRevision }

// LogValue returns the revision, by which operators find the version at the platform.
func (v ObjectVersion) LogValue() slog.Value { return slog.Uint64Value(v.Revision()) }
