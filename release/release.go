package release

import (
	"encoding/json"
	"fmt"
	"time"

	"pimentospread"
)

// Release is a valid set of objects with the metadata and IDs that publishing assigned.
type Release struct {
	Generation  pimentospread.Generation `json:"Generation"`
	PublishID   pimentospread.PublishID  `json:"PublishID"`
	PublishedAt time.Time                `json:"PublishedAt"`
	// Publisher names the operator. It is shown to operators whose publication
	// conflicts with this release.
	Publisher string `json:"Publisher"`
	// Seed is an input of the tables of all pools. All releases of a cell have the same seed.
	Seed          uint64                  `json:"Seed"`
	NextServiceID pimentospread.ServiceID `json:"NextServiceID"`
	NextTargetID  pimentospread.TargetID  `json:"NextTargetID"`
	Set           Set                     `json:"Set"`
}

// ArchiveKey returns the key of the object that archives a generation of a cell after a later
// one has replaced it.
func ArchiveKey(cell pimentospread.Cell, g pimentospread.Generation) pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: pimentospread.KindArchive, Name: fmt.Sprintf("%s.%d", cell, g)}
}

// Decode decodes a release and checks that it has a generation and a publish
// ID and that its set has no faults.
func Decode(data []byte) (*Release, error) {
	var r Release
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "release is not valid JSON"), "decode", "")
	}
	if r.Generation == 0 || r.PublishID == "" {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("release has no generation or no publish ID"), "decode", "")
	}
	if faults := r.Set.Check(); len(faults) > 0 {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("release %d is not consistent: %s", r.Generation, faults[0]), "decode", "")
	}
	return &r, nil
}
