package member

import (
	"slices"

	"pimentospread"
)

// KindHeartbeat is the message kind of Heartbeat.
const KindHeartbeat pimentospread.MessageKind = "Heartbeat"

// maxListEntries limits each list of a heartbeat, so that a peer cannot exhaust a host's memory.
const maxListEntries = 4096

// Acknowledgement reports which version of a reporter's target lists the sender uses.
type Acknowledgement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the array encoding
	Reporter pimentospread.HostID
	Version  uint64
}

// Heartbeat is the message that a host sends to every peer each HeartbeatInterval.
// It is encoded as an array because field names would double its size, and
// heartbeats are most of a host's control traffic. Add new fields at the end.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // selects the array encoding
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// Held is the newest generation that the host has received, Prepared the newest that
	// all its data-plane workers have prepared, and Active the one that routes its new flows.
	Held, Prepared, Active pimentospread.Generation
	// Digest is a hash of the held release and the flags of recently reported targets.
	Digest uint64
	// RosterVersion is the version of the roster that the host uses.
	RosterVersion pimentospread.ObjectVersion
	Ready         bool
	Leaving       bool
	// Down are the targets that the sender's own probes found down.
	Down []pimentospread.TargetID
	// Draining are the targets that reported themselves draining to the sender's probes.
	Draining []pimentospread.TargetID
	// ListVersion increases whenever Down or Draining changes, also across restarts of the sender.
	ListVersion uint64
	// Acknowledged has an entry for each reporter whose lists are not empty.
	Acknowledged []Acknowledgement
}

// MessageKind returns KindHeartbeat.
func (*Heartbeat) MessageKind() pimentospread.MessageKind { return KindHeartbeat }

// Validate checks a received heartbeat.
func (h *Heartbeat) Validate() error {
	const step = "check heartbeat"
	switch {
	case h.Sequence == 0:
		return pimentospread.At(pimentospread.ErrInvalid.New("sequence is zero"), step, "")
	case h.Active > h.Prepared || h.Prepared > h.Held:
		return pimentospread.At(pimentospread.ErrInvalid.New("generations active %d, prepared %d and held %d are not in ascending order", h.Active, h.Prepared, h.Held), step, "")
	case len(h.Down) > maxListEntries || len(h.Draining) > maxListEntries || len(h.Acknowledged) > maxListEntries:
		return pimentospread.At(pimentospread.ErrInvalid.New("a list has more than %d entries", maxListEntries), step, "")
	case slices.Contains(h.Down, 0) || slices.Contains(h.Draining, 0):
		return pimentospread.At(pimentospread.ErrInvalid.New("a target ID is zero"), step, "")
	default:
		return nil
	}
}

// ListsTarget reports whether the heartbeat lists the target as down or draining.
func (h *Heartbeat) ListsTarget(t pimentospread.TargetID) bool {
	return slices.Contains(h.Down, t) || slices.Contains(h.Draining, t)
}
