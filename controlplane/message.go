package controlplane

import (
	"time"

	"pimentospread"
	"pimentospread/member"
)

// Kinds of the messages by which hosts fetch what they lack.
const (
	KindReleaseQuery pimentospread.MessageKind = "ReleaseQuery"
	KindReleaseReply pimentospread.MessageKind = "ReleaseReply"
)

// maxFlags bounds the flags of a reply.
const maxFlags = 1 << 16

// ReleaseQuery asks a peer for what the sender lacks.
type ReleaseQuery struct {
	// Generation and Digest are those of the sender's release; zero without one.
	Generation    pimentospread.Generation    `msgpack:"Generation"`
	Digest        uint64                      `msgpack:"Digest"`
	RosterVersion pimentospread.ObjectVersion `msgpack:"RosterVersion"`
	// Announce says that the sender only makes itself known and wants no answer.
	Announce bool `msgpack:"Announce"`
	// Sender lets a peer answer a host that its roster does not have yet.
	Sender member.Host `msgpack:"Sender"`
}

// MessageKind returns KindReleaseQuery.
func (*ReleaseQuery) MessageKind() pimentospread.MessageKind { return KindReleaseQuery }

// Validate checks a query that was received.
func (q *ReleaseQuery) Validate() error { return q.Sender.Validate() }

// Flag is a target that was down a while ago, so that flows of its buckets may be elsewhere.
type Flag struct {
	Target pimentospread.TargetID `msgpack:"Target"`
	// Until is the minute since the Unix epoch at which such flows have ended. Minutes
	// let hosts that saw the recovery at different moments agree.
	Until int64 `msgpack:"Until"`
}

// ReleaseReply answers a ReleaseQuery.
type ReleaseReply struct {
	// Content is the packed release; empty when the sender has none that is newer.
	Content []byte `msgpack:"Content"`
	// Roster is the sender's roster, and Previous the one before, which it replaced Age ago.
	Roster   member.Roster `msgpack:"Roster"`
	Previous member.Roster `msgpack:"Previous"`
	Age      time.Duration `msgpack:"Age"`
	Flags    []Flag        `msgpack:"Flags"`
}

// MessageKind returns KindReleaseReply.
func (*ReleaseReply) MessageKind() pimentospread.MessageKind { return KindReleaseReply }

// Validate checks a reply that was received.
func (r *ReleaseReply) Validate() error {
	if len(r.Flags) > maxFlags || r.Age < 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("%d flags, age %s", len(r.Flags), r.Age), "check release reply", "")
	}
	if err := r.Roster.Validate(); err != nil {
		return err
	}
	return r.Previous.Validate()
}
