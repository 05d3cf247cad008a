package release

import (
	"time"

	"pimentospread"
)

// Release is a checked set with what publishing assigned to it.
type Release struct {
	Generation  pimentospread.Generation `json:"Generation"`
	PublishID   pimentospread.PublishID  `json:"PublishID"`
	PublishedAt time.Time                `json:"PublishedAt"`
	// Publisher names the operator for those who lose a race against this release.
	Publisher string `json:"Publisher"`
	// Seed enters the tables of all pools. It stays the same over all releases of a cell.
	Seed          uint64                  `json:"Seed"`
	NextServiceID pimentospread.ServiceID `json:"NextServiceID"`
	NextTargetID  pimentospread.TargetID  `json:"NextTargetID"`
	Set           Set                     `json:"Set"`
}
