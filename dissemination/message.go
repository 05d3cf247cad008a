package dissemination

import (
	"net/netip"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/evacuation"
	"pimentospread/routing"
)

// Kinds of messages with which hosts pass on changes.
const (
	KindSubscribe pimentospread.MessageKind = "Subscribe"
	// KindStateUpdate has the value "News", the name on the wire since the first version.
	KindStateUpdate pimentospread.MessageKind = "News"
)

const (
	// maxElsewhere limits the hosts that a state update names to ask instead.
	maxElsewhere = 3
	// UnconfirmedAge is the age in a state update that leaves out what the subscriber lacks,
	// so that it confirms nothing, also to hosts of earlier releases.
	UnconfirmedAge = time.Hour
)

// Constructors returns the constructors of the messages of this package.
func Constructors() map[pimentospread.MessageKind]func() pimentospread.Message {
	return map[pimentospread.MessageKind]func() pimentospread.Message{
		KindSubscribe:   func() pimentospread.Message { return &Subscribe{} },
		KindStateUpdate: func() pimentospread.Message { return &StateUpdate{} },
	}
}

// Position is the state that a host has reached.
type Position struct {
	// Targets is the revision of the platform that its targets correspond to.
	Targets pimentospread.ObjectVersion `msgpack:"Targets"`
	// Configuration is the current version of the configuration.
	Configuration pimentospread.ConfigurationVersion `msgpack:"Configuration"`
	// Peers is the revision of the platform that its list of hosts corresponds to.
	Peers pimentospread.ObjectVersion `msgpack:"Peers"`
}

// Subscribe asks a host for its state and changes to it. It is sent again before the
// subscription expires.
type Subscribe struct {
	// Address is the address to which changes are sent.
	Address netip.AddrPort `msgpack:"Address"`
	// Position is the state that the subscriber has reached.
	Position Position `msgpack:"Position"`
	// TargetsDigest and PeersDigest are the digests of the targets and the hosts at
	// the position. Hosts of earlier releases send zero.
	TargetsDigest pimentospread.Digest `msgpack:"TargetsDigest"`
	PeersDigest   pimentospread.Digest `msgpack:"PeersDigest"`
	// Age is the time since the state of the subscriber was known to be up to date.
	// A subscriber whose state is fresher than that of its source becomes a source
	// for it.
	Age time.Duration `msgpack:"Age"`
	// EvacuationsDigest is the digest of the evacuations that the subscriber has. It is zero if
	// it has none or does not watch them.
	EvacuationsDigest pimentospread.Digest `msgpack:"-"`
	// Once asks for a single answer instead of a subscription.
	Once bool `msgpack:"Once"`
	// Leaves ends the subscription.
	Leaves bool `msgpack:"Leaves"`
}

// MessageKind returns KindSubscribe.
func (*Subscribe) MessageKind() pimentospread.MessageKind { return KindSubscribe }

// Validate checks what a peer sent.
func (m *Subscribe) Validate() error {
	if !m.Address.IsValid() {
		return pimentospread.At(pimentospread.ErrInvalid.New("subscription without a valid address"), "decode", "")
	}
	return nil
}

// StateUpdate carries changes to a subscriber, and the age of the sender's state. A
// message without changes confirms that the subscriber is up to date.
type StateUpdate struct {
	// Age is the time since the state of the sender was known to be up to date.
	Age time.Duration `msgpack:"Age"`
	// Path lists the hosts through which the sender gets its state, nearest first. It
	// is empty if the sender reads the platform.
	Path []pimentospread.HostID `msgpack:"Path"`
	// Position is the state of the subscriber after the changes.
	Position Position `msgpack:"Position"`
	// Updates are the changes of targets.
	Updates []discovery.Update `msgpack:"Updates"`
	// Grace is the remaining time for which targets are kept that are missing after a
	// platform outage.
	Grace time.Duration `msgpack:"Grace"`
	// Routes are the changes of the configuration.
	Routes *routing.Delta `msgpack:"Routes"`
	// Peers are the changes of hosts.
	Peers *PeersUpdate `msgpack:"Peers"`
	// Leaves is set if the sender is about to stop.
	Leaves bool `msgpack:"Leaves"`
	// Elsewhere lists hosts that can send the list of targets, if the sender does not
	// because it sends too many.
	Elsewhere []Peer `msgpack:"Elsewhere"`
	// Evacuations are the evacuated failure domains. It is nil if the sender has none.
	Evacuations *evacuation.Snapshot `msgpack:"-"`
}

// MessageKind returns KindStateUpdate.
func (*StateUpdate) MessageKind() pimentospread.MessageKind { return KindStateUpdate }

// Validate checks what a peer sent.
func (m *StateUpdate) Validate() error {
	if m.Age < 0 || m.Grace < 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("state update with age %s and grace %s, want no negative duration", m.Age, m.Grace), "decode", "")
	}
	if len(m.Elsewhere) > maxElsewhere {
		return pimentospread.At(pimentospread.ErrInvalid.New("state update names %d hosts to ask, want at most %d", len(m.Elsewhere), maxElsewhere), "decode", "")
	}
	if e := m.Evacuations; e != nil {
		if err := e.Validate(); err != nil {
			return err
		}
	}
	named := m.Elsewhere
	if m.Peers != nil {
		named = slices.Concat(named, m.Peers.Present)
	}
	for _, p := range named {
		if p.Host == "" || !p.Address.IsValid() {
			return pimentospread.At(pimentospread.ErrInvalid.New("host %q in the state update has no name or no valid address", p.Host), "decode", "")
		}
	}
	return nil
}
