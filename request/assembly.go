package request

import (
	"bytes"
	"slices"

	"pimentospread"
)

// Assembly collects the parts of the answer from one run of a request. The zero
// value accepts no parts.
type Assembly struct {
	parts map[uint32]Part
	// tag is set on the parts for the caller, targetTag is the tag of the target's parts.
	tag, targetTag []byte
	// count is the number of parts of the complete answer, or zero until the last part arrives.
	count uint32
}

// NewAssembly returns an empty assembly that sets the tag on its parts. Targets
// choose tags independently, so only a tag that the host chooses distinguishes the
// parts of two runs.
func NewAssembly(tag []byte) Assembly {
	return Assembly{parts: map[uint32]Part{}, tag: tag}
}

// Add adds a part from the target and returns it with the tag for the caller. It
// returns false for a duplicate and for a part that cannot belong to the same
// answer, because the target's tag differs or the number is past the last part.
func (a *Assembly) Add(p Part) (Part, bool) {
	if a.parts == nil || !a.fits(p) {
		return Part{}, false
	}
	if !p.More {
		a.count = p.Number + 1
	}
	a.targetTag = p.Tag
	p.Tag = a.tag
	a.parts[p.Number] = p
	return p, true
}

// fits reports whether the part is new and consistent with the parts so far.
func (a *Assembly) fits(p Part) bool {
	if len(a.parts) > 0 && !bytes.Equal(a.targetTag, p.Tag) {
		return false
	}
	if _, seen := a.parts[p.Number]; seen {
		return false
	}
	if a.count > 0 {
		return p.More && p.Number < a.count
	}
	if p.More {
		return true
	}
	for n := range a.parts {
		if n > p.Number {
			return false
		}
	}
	return true
}

// Complete reports whether all parts have been added.
func (a *Assembly) Complete() bool { return a.count > 0 && len(a.parts) == int(a.count) }

// Empty reports whether no part has been added.
func (a *Assembly) Empty() bool { return len(a.parts) == 0 }

// Parts returns the parts in order of their numbers.
func (a *Assembly) Parts() []Part {
	parts := make([]Part, 0, len(a.parts))
	for _, p := range a.parts {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(x, y Part) int { return int(x.Number) - int(y.Number) })
	return parts
}

// Size returns the payload size of all parts.
func (a *Assembly) Size() pimentospread.Bytes {
	var size pimentospread.Bytes
	for _, p := range a.parts {
		size += pimentospread.Bytes(len(p.Payload))
	}
	return size
}
