package request

import (
	"time"

	"pimentospread"
	"pimentospread/member"
)

// Kinds of the messages between the hosts that handle one request.
const (
	KindClaim        pimentospread.MessageKind = "Claim"
	KindClaimReply   pimentospread.MessageKind = "ClaimReply"
	KindClaimRelease pimentospread.MessageKind = "ClaimRelease"
	KindInquiry      pimentospread.MessageKind = "Inquiry"
	KindInquiryReply pimentospread.MessageKind = "InquiryReply"
	KindRostersQuery pimentospread.MessageKind = "RostersQuery"
	KindRostersReply pimentospread.MessageKind = "RostersReply"
)

// maxTokenLength is the longest CoAP token (RFC 7252, section 3).
const maxTokenLength = 8

// maxClaimRosters bounds the rosters that one claim names.
const maxClaimRosters = 16

// Claimant is a host that claims a request, in one of its incarnations.
type Claimant struct {
	Host        pimentospread.HostID      `msgpack:"Host"`
	Incarnation pimentospread.Incarnation `msgpack:"Incarnation"`
}

// Claim asks an elector for its grant. The claimant is the sender of the message.
type Claim struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	// Round numbers the claimant's rounds for this request, from 1.
	Round uint32 `msgpack:"Round"`
	// Rosters are the versions of the rosters whose electors the claimant asks, newest first.
	Rosters  []pimentospread.ObjectVersion `msgpack:"Rosters"`
	Deadline time.Time                     `msgpack:"Deadline"`
}

// Verdict is an elector's answer to a claim.
type Verdict uint8

// Verdicts of an elector.
const (
	// Granted means that the elector grants the request to no other claimant.
	Granted Verdict = iota
	// HeldByOther means that another claimant has the grant.
	HeldByOther
	// RosterMismatch means that the elector's effective rosters differ from those of the claim.
	RosterMismatch
	// NotGranting means that the elector may have lost grants or may be partitioned.
	NotGranting
	// DeadlineOutOfRange means that the deadline has passed or is further ahead than the maximum lifetime.
	DeadlineOutOfRange
)

// ClaimReply is an elector's answer to a claim.
type ClaimReply struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Round   uint32                  `msgpack:"Round"`
	Verdict Verdict                 `msgpack:"Verdict"`
	// Holder is the claimant that holds the grant. Its incarnation distinguishes a reply
	// to an earlier incarnation of the claimant from a reply to the current one.
	Holder Claimant `msgpack:"Holder"`
}

// ClaimRelease revokes the grants of a round that the claimant did not win.
type ClaimRelease struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Round   uint32                  `msgpack:"Round"`
}

// Inquiry asks the holder of a grant to reply to a transmission that another host received.
type Inquiry struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Origin  Origin                  `msgpack:"Origin"`
	// Cancelled is true if the caller cancels the request.
	Cancelled bool `msgpack:"Cancelled"`
}

// OwnershipStatus is the status of the owner election at a host.
type OwnershipStatus uint8

// Ownership statuses.
const (
	// NotOwned means that the host neither owns nor claims the request.
	NotOwned OwnershipStatus = iota
	// Undecided means that the host's election is not decided.
	Undecided
	// Owned means that the host owns the request and replies to the transmission.
	Owned
)

// InquiryReply answers an Inquiry with the sender's part in the owner election.
type InquiryReply struct {
	Request   pimentospread.RequestID `msgpack:"Request"`
	Knowledge OwnershipStatus         `msgpack:"Knowledge"`
}

// RostersQuery asks a peer for its effective older rosters. A host sends it after
// its start, because a restart may have lost them.
type RostersQuery struct{}

// RostersReply answers a RostersQuery with the effective older rosters.
type RostersReply struct {
	Older []member.Roster `msgpack:"Older"`
}

// NewMessage returns an empty message of the kind to decode into. It returns
// false for a kind that does not belong to this package.
func NewMessage(kind pimentospread.MessageKind) (pimentospread.Message, bool) {
	switch kind {
	case KindClaim:
		return &Claim{}, true
	case KindClaimReply:
		return &ClaimReply{}, true
	case KindClaimRelease:
		return &ClaimRelease{}, true
	case KindInquiry:
		return &Inquiry{}, true
	case KindInquiryReply:
		return &InquiryReply{}, true
	case KindRostersQuery:
		return &RostersQuery{}, true
	case KindRostersReply:
		return &RostersReply{}, true
	}
	return nil, false
}

// Kinds returns the message kinds of this package.
func Kinds() []pimentospread.MessageKind {
	return []pimentospread.MessageKind{
		KindClaim, KindClaimReply, KindClaimRelease, KindInquiry, KindInquiryReply,
		KindRostersQuery, KindRostersReply,
	}
}

// MessageKind returns KindClaim.
func (*Claim) MessageKind() pimentospread.MessageKind { return KindClaim }

// MessageKind returns KindClaimReply.
func (*ClaimReply) MessageKind() pimentospread.MessageKind { return KindClaimReply }

// MessageKind returns KindClaimRelease.
func (*ClaimRelease) MessageKind() pimentospread.MessageKind { return KindClaimRelease }

// MessageKind returns KindInquiry.
func (*Inquiry) MessageKind() pimentospread.MessageKind { return KindInquiry }

// MessageKind returns KindInquiryReply.
func (*InquiryReply) MessageKind() pimentospread.MessageKind { return KindInquiryReply }

// MessageKind returns KindRostersQuery.
func (*RostersQuery) MessageKind() pimentospread.MessageKind { return KindRostersQuery }

// MessageKind returns KindRostersReply.
func (*RostersReply) MessageKind() pimentospread.MessageKind { return KindRostersReply }

// Validate accepts every query.
func (*RostersQuery) Validate() error { return nil }

// Validate returns an error when a roster has no version or no hosts.
func (r *RostersReply) Validate() error {
	for i, o := range r.Older {
		if o.Version == 0 || len(o.Hosts) == 0 {
			return invalid("older roster %d has version %d and %d hosts, expected a version and hosts", i, o.Version, len(o.Hosts))
		}
	}
	return nil
}

// Validate returns an error when the round or the deadline is missing or the
// rosters are not 1 to maxClaimRosters versions in descending order.
func (c *Claim) Validate() error {
	switch {
	case c.Round == 0:
		return invalid("claim has no round")
	case len(c.Rosters) == 0 || len(c.Rosters) > maxClaimRosters:
		return invalid("claim has %d rosters, expected 1 to %d", len(c.Rosters), maxClaimRosters)
	case c.Deadline.IsZero():
		return invalid("claim has no deadline")
	}
	for i, v := range c.Rosters {
		if v == 0 || i > 0 && v >= c.Rosters[i-1] {
			return invalid("claim has rosters %v, expected versions above 0 in descending order", c.Rosters)
		}
	}
	return nil
}

// Validate returns an error when the reply has no round, an unknown verdict or no holder
// although the verdict requires one.
func (c *ClaimReply) Validate() error {
	switch {
	case c.Round == 0:
		return invalid("claim reply has no round")
	case c.Verdict > DeadlineOutOfRange:
		return invalid("claim reply has unknown verdict %d", c.Verdict)
	case c.Verdict <= HeldByOther && c.Holder.Host == "":
		return invalid("claim reply has no holder")
	}
	return nil
}

// Validate returns an error when the release has no round.
func (c *ClaimRelease) Validate() error {
	if c.Round == 0 {
		return invalid("claim release has no round")
	}
	return nil
}

// Validate returns an error when the origin lacks an address or its token is too long.
func (i *Inquiry) Validate() error {
	if !i.Origin.Caller.IsValid() || !i.Origin.Service.IsValid() {
		return invalid("inquiry origin has no caller or service address")
	}
	if len(i.Origin.Token) > maxTokenLength {
		return invalid("inquiry token has %d bytes, expected at most %d", len(i.Origin.Token), maxTokenLength)
	}
	return nil
}

// Validate returns an error when the status is unknown.
func (i *InquiryReply) Validate() error {
	if i.Knowledge > Owned {
		return invalid("inquiry reply has unknown ownership status %d", i.Knowledge)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return pimentospread.At(pimentospread.ErrInvalid.New(format, args...), "decode", "")
}
