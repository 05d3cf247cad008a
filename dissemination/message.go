package dissemination

import (
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/routing"
)

// Kinds of messages between hosts that hear changes from each other.
const (
	KindSubscribe pimentospread.MessageKind = "Subscribe"
	KindNews      pimentospread.MessageKind = "News"
)

// Constructors returns the constructors of the messages of this package.
func Constructors() map[pimentospread.MessageKind]func() pimentospread.Message {
	return map[pimentospread.MessageKind]func() pimentospread.Message{
		KindSubscribe: func() pimentospread.Message { return &Subscribe{} },
		KindNews:      func() pimentospread.Message { return &News{} },
	}
}

// Position is how far a host has heard.
type Position struct {
	// Targets is the revision of the platform up to which it knows the targets.
	Targets pimentospread.ObjectVersion `msgpack:"Targets"`
	// Configuration is the version in force.
	Configuration pimentospread.ConfigurationVersion `msgpack:"Configuration"`
	// Peers is the revision of the platform up to which it knows the hosts.
	Peers pimentospread.ObjectVersion `msgpack:"Peers"`
}

// Subscribe asks a host for news. It is sent again before the subscription lapses.
type Subscribe struct {
	Address  netip.AddrPort `msgpack:"Address"`
	Position Position       `msgpack:"Position"`
	// TargetsDigest and PeersDigest cover the targets and the hosts at the
	// position. A host of an earlier release sends zero.
	TargetsDigest pimentospread.Digest `msgpack:"TargetsDigest"`
	PeersDigest   pimentospread.Digest `msgpack:"PeersDigest"`
	// Age is how long ago the subscriber's belief was known to be complete. One
	// that is fresher than its source offers itself as a source.
	Age time.Duration `msgpack:"Age"`
	// Once asks for an answer alone.
	Once bool `msgpack:"Once"`
	// Leaves ends the subscription.
	Leaves bool `msgpack:"Leaves"`
}

// MessageKind returns the name of the message.
func (*Subscribe) MessageKind() pimentospread.MessageKind { return KindSubscribe }

// Validate checks what a peer sent.
func (m *Subscribe) Validate() error {
	if !m.Address.IsValid() {
		return pimentospread.At(pimentospread.ErrInvalid.New("subscription has no address"), "decode", "")
	}
	return nil
}

// News is what changed, and how fresh the sender's belief is. Without changes
// it says that the subscriber knows all.
type News struct {
	// Age is how long ago the sender's belief was known to be complete.
	Age time.Duration `msgpack:"Age"`
	// Path names the hosts from which the sender hears, the nearest first. It is
	// empty when the sender reads the platform.
	Path []pimentospread.HostID `msgpack:"Path"`
	// Position is where the subscriber stands after the news.
	Position Position           `msgpack:"Position"`
	Updates  []discovery.Update `msgpack:"Updates"`
	// Grace is how much longer targets are kept that are missing after the platform was away.
	Grace  time.Duration  `msgpack:"Grace"`
	Routes *routing.Delta `msgpack:"Routes"`
	// Peers is what changed among the hosts.
	Peers *PeersUpdate `msgpack:"Peers"`
	// Leaves says that the sender is about to stop.
	Leaves bool `msgpack:"Leaves"`
}

// MessageKind returns the name of the message.
func (*News) MessageKind() pimentospread.MessageKind { return KindNews }

// Validate checks what a peer sent.
func (m *News) Validate() error {
	if m.Age < 0 || m.Grace < 0 {
		return pimentospread.At(pimentospread.ErrInvalid.New("news of age %s with a grace of %s", m.Age, m.Grace), "decode", "")
	}
	if m.Peers == nil {
		return nil
	}
	for _, p := range m.Peers.Present {
		if p.Host == "" || !p.Address.IsValid() {
			return pimentospread.At(pimentospread.ErrInvalid.New("peer %q has no address", p.Host), "decode", "")
		}
	}
	return nil
}
