package controlplane

import (
	"time"

	"pimentospread"
	"pimentospread/member"
)

// Kinds of the messages with which hosts synchronize releases, rosters and flags.
const (
	KindReleaseQuery pimentospread.MessageKind = "ReleaseQuery"
	KindReleaseReply pimentospread.MessageKind = "ReleaseReply"
)

// maxFlags limits the flags of a reply.
const maxFlags = 1 << 16

// ReleaseQuery requests a newer release, a newer roster and the flags from a peer.
type ReleaseQuery struct {
	// Generation is that of the sender's release; zero without one.
	Generation pimentospread.Generation `msgpack:"Generation"`
	// Digest is that of the sender's release; zero without one.
	Digest        uint64                      `msgpack:"Digest"`
	RosterVersion pimentospread.ObjectVersion `msgpack:"RosterVersion"`
	// Announce means that the sender only introduces itself and expects no reply.
	Announce bool `msgpack:"Announce"`
	// Sender describes the sending host, so that a peer can reply to a host that is
	// missing from its roster.
	Sender member.Host `msgpack:"Sender"`
}

// MessageKind returns KindReleaseQuery.
func (*ReleaseQuery) MessageKind() pimentospread.MessageKind { return KindReleaseQuery }

// Validate checks a received query.
func (q *ReleaseQuery) Validate() error { return q.Sender.Validate() }

// Flag marks a target that was down or draining recently, so that flows of its buckets may
// be on other targets.
type Flag struct {
	Target pimentospread.TargetID `msgpack:"Target"`
	// Until is the time by which such flows have ended, in minutes since the Unix epoch. The
	// coarse unit makes hosts that saw the recovery at different moments agree.
	Until int64 `msgpack:"Until"`
}

// ReleaseReply answers a ReleaseQuery.
type ReleaseReply struct {
	// Content is the packed release; empty when the sender has no newer one.
	Content []byte `msgpack:"Content"`
	// Roster is the sender's roster; its version is zero when the sender has none to offer.
	Roster member.Roster `msgpack:"Roster"`
	// Previous is the roster before Roster.
	Previous member.Roster `msgpack:"Previous"`
	// Age is the time since Roster replaced Previous.
	Age time.Duration `msgpack:"Age"`
	// Flags are the sender's flags.
	Flags []Flag `msgpack:"Flags"`
}

// MessageKind returns KindReleaseReply.
func (*ReleaseReply) MessageKind() pimentospread.MessageKind { return KindReleaseReply }

// Validate checks a received reply.
func (r *ReleaseReply) Validate() error {
	if len(r.Flags) > maxFlags || r.Age < 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("too many flags (%d) or negative roster age (%s)", len(r.Flags), r.Age), "check release reply", "")
	}
	if err := r.Roster.Validate(); err != nil {
		return err
	}
	return r.Previous.Validate()
}
