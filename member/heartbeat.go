package member

import (
	"slices"

	"pimentospread"
)

// KindHeartbeat is the kind of a Heartbeat.
const KindHeartbeat pimentospread.MessageKind = "Heartbeat"

// maxListEntries bounds the lists of a heartbeat, so that a peer cannot fill the memory of a host.
const maxListEntries = 4096

// Acknowledgement says which version of a reporter's list of targets the sender has taken over.
type Acknowledgement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the array encoding
	Reporter pimentospread.HostID
	Version  uint64
}

// Heartbeat is what a host tells every peer each HeartbeatInterval. It is
// encoded as an array: field names would double its size, which is most of the
// control traffic of a host. New fields go to the end.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the array encoding
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
	// Held is the newest generation whose content the host has; Prepared the one
	// that its deciders have loaded, and Active the one by which it sends new flows.
	Held, Prepared, Active pimentospread.Generation
	// Digest covers the held release and the lingering flags.
	Digest uint64
	// RosterVersion is the version of the roster that the host goes by.
	RosterVersion pimentospread.ObjectVersion
	Ready         bool
	Leaving       bool
	// Down and Draining are the targets of which the sender's own probes say so.
	Down     []pimentospread.TargetID
	Draining []pimentospread.TargetID
	// ListVersion rises whenever Down or Draining changes, also over restarts of the sender.
	ListVersion uint64
	// Acknowledged covers the reporters whose lists are not empty.
	Acknowledged []Acknowledgement
}

// MessageKind returns KindHeartbeat.
func (*Heartbeat) MessageKind() pimentospread.MessageKind { return KindHeartbeat }

// Validate checks a heartbeat that was received.
func (h *Heartbeat) Validate() error {
	const step = "check heartbeat"
	switch {
	case h.Sequence == 0:
		return pimentospread.At(pimentospread.ErrInvalid.New("sequence is zero"), step, "")
	case h.Active > h.Prepared || h.Prepared > h.Held:
		return pimentospread.At(pimentospread.ErrInvalid.New("active %d, prepared %d and held %d are out of order", h.Active, h.Prepared, h.Held), step, "")
	case len(h.Down) > maxListEntries || len(h.Draining) > maxListEntries || len(h.Acknowledged) > maxListEntries:
		return pimentospread.At(pimentospread.ErrInvalid.New("a list has more than %d entries", maxListEntries), step, "")
	case slices.Contains(h.Down, 0) || slices.Contains(h.Draining, 0):
		return pimentospread.At(pimentospread.ErrInvalid.New("a target identifier is zero"), step, "")
	default:
		return nil
	}
}

// ListsTarget says whether the target is in one of the lists.
func (h *Heartbeat) ListsTarget(t pimentospread.TargetID) bool {
	return slices.Contains(h.Down, t) || slices.Contains(h.Draining, t)
}
