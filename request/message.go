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

// Owner is the run of a host that holds a grant.
type Owner struct {
	Host        pimentospread.HostID      `msgpack:"Host"`
	Incarnation pimentospread.Incarnation `msgpack:"Incarnation"`
}

// Claim asks an elector for its grant. The claimant is the sender of the message.
type Claim struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	// Round numbers the claimant's tries for this request, from 1.
	Round uint32 `msgpack:"Round"`
	// Rosters are the versions whose electors the claimant asks, newest first.
	Rosters  []pimentospread.ObjectVersion `msgpack:"Rosters"`
	Deadline time.Time                     `msgpack:"Deadline"`
}

// Verdict is an elector's answer to a claim.
type Verdict uint8

// Verdicts of an elector.
const (
	// Granted means that the elector gives this request to no other claimant.
	Granted Verdict = iota
	// HeldByOther means that another claimant has the grant.
	HeldByOther
	// RosterMismatch means that the elector goes by other rosters than the claim.
	RosterMismatch
	// NotGranting means that the elector may have forgotten grants or may be cut off.
	NotGranting
	// DeadlineOutOfRange means that the deadline has passed or is too far ahead.
	DeadlineOutOfRange
)

// ClaimReply is an elector's answer to a claim.
type ClaimReply struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Round   uint32                  `msgpack:"Round"`
	Verdict Verdict                 `msgpack:"Verdict"`
	// Holder is the claimant that has the grant. It tells a reply to an earlier
	// run of the claimant from one to this run.
	Holder Owner `msgpack:"Holder"`
}

// ClaimRelease gives the grants of a round back. The claimant did not win it.
type ClaimRelease struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Round   uint32                  `msgpack:"Round"`
}

// Inquiry asks the holder of a grant to reply to a transmission that another host received.
type Inquiry struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Origin  Origin                  `msgpack:"Origin"`
	// Cancelled says that the caller withdraws the request.
	Cancelled bool `msgpack:"Cancelled"`
}

// OwnershipStatus is what a host answers to an inquiry.
type OwnershipStatus uint8

// Answers to an inquiry.
const (
	// NotOwned means that the host neither owns the request nor tries to.
	NotOwned OwnershipStatus = iota
	// Undecided means that the host's claim is not decided.
	Undecided
	// Owned means that the host owns the request and replies to the transmission.
	Owned
)

// InquiryReply answers an inquiry.
type InquiryReply struct {
	Request pimentospread.RequestID `msgpack:"Request"`
	Status  OwnershipStatus         `msgpack:"Knowledge"`
}

// RostersQuery asks a peer for the older rosters that it counts. A host asks
// after its start, because it may have forgotten them.
type RostersQuery struct{}

// RostersReply answers a query with the older rosters that count.
type RostersReply struct {
	Older []member.Roster `msgpack:"Older"`
}

// NewMessage returns an empty message of the kind to decode into. It reports
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

// Kinds returns the kinds of the messages about requests.
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
			return invalid("older roster %d has version %d and %d hosts", i, o.Version, len(o.Hosts))
		}
	}
	return nil
}

// Validate returns an error when the claim names no round, roster or deadline.
func (c *Claim) Validate() error {
	switch {
	case c.Round == 0:
		return invalid("claim has no round")
	case len(c.Rosters) == 0 || len(c.Rosters) > maxClaimRosters:
		return invalid("claim names %d rosters, not 1 to %d", len(c.Rosters), maxClaimRosters)
	case c.Deadline.IsZero():
		return invalid("claim has no deadline")
	}
	for i, v := range c.Rosters {
		if v == 0 || i > 0 && v >= c.Rosters[i-1] {
			return invalid("rosters of the claim do not fall: %v", c.Rosters)
		}
	}
	return nil
}

// Validate returns an error when the reply has no round, an unknown verdict or no holder where it needs one.
func (c *ClaimReply) Validate() error {
	switch {
	case c.Round == 0:
		return invalid("claim reply has no round")
	case c.Verdict > DeadlineOutOfRange:
		return invalid("verdict %d of the claim reply is unknown", c.Verdict)
	case c.Verdict <= HeldByOther && c.Holder.Host == "":
		return invalid("claim reply names no holder")
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

// Validate returns an error when the origin cannot be replied to.
func (i *Inquiry) Validate() error {
	if !i.Origin.Caller.IsValid() || !i.Origin.Service.IsValid() {
		return invalid("origin of the inquiry has no addresses")
	}
	if len(i.Origin.Token) > maxTokenLength {
		return invalid("token of the inquiry has %d bytes, more than %d", len(i.Origin.Token), maxTokenLength)
	}
	return nil
}

// Validate returns an error when the knowledge is unknown.
func (i *InquiryReply) Validate() error {
	if i.Status > Owned {
		return invalid("knowledge %d of the inquiry reply is unknown", i.Status)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return pimentospread.At(pimentospread.ErrInvalid.New(format, args...), "decode", "")
}
