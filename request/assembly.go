package request

import (
	"bytes"
	"slices"

	"pimentospread"
)

// Assembly collects the parts of one run's answer. The zero value takes none.
type Assembly struct {
	parts map[uint32]Part
	// tag marks the parts for the caller, targetTag those of the target.
	tag, targetTag []byte
	// count is the number of parts of the whole answer, or zero while the last part is missing.
	count uint32
}

// NewAssembly returns an empty assembly whose parts get the tag. Targets choose
// their tags without knowing of each other, so only a tag of the host's own
// keeps the parts of two runs apart.
func NewAssembly(tag []byte) Assembly {
	return Assembly{parts: map[uint32]Part{}, tag: tag}
}

// Add keeps a part from the target and returns it as the caller gets it. It
// reports false for a duplicate and for a part that cannot belong to the same
// answer: another tag of the target, or a number past the last part.
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

// Complete says that every part has been added.
func (a *Assembly) Complete() bool { return a.count > 0 && len(a.parts) == int(a.count) }

// Empty says that no part has been added.
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

// Size returns the payload of all parts.
func (a *Assembly) Size() pimentospread.Bytes {
	var size pimentospread.Bytes
	for _, p := range a.parts {
		size += pimentospread.Bytes(len(p.Payload))
	}
	return size
}
