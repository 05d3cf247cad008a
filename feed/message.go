package feed

import (
	"net/netip"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/directory"
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
	// Digest covers the targets at the position. A host of an earlier release sends zero.
	Digest directory.Digest `msgpack:"Digest"`
	// Age is how long ago the subscriber's belief was known to be complete. One
	// that is fresher than its source offers itself as a source.
	Age time.Duration `msgpack:"Age"`
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
	Updates  []directory.Update `msgpack:"Updates"`
	// Grace is how much longer targets are kept that are missing after the platform was away.
	Grace  time.Duration  `msgpack:"Grace"`
	Routes *routing.Delta `msgpack:"Routes"`
	// Peers holds all hosts when they changed.
	Peers []Peer `msgpack:"Peers"`
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
	for _, p := range m.Peers {
		if p.Host == "" || !p.Address.IsValid() {
			return pimentospread.At(pimentospread.ErrInvalid.New("peer %q has no address", p.Host), "decode", "")
		}
	}
	return nil
}

// Peer is a host of the system as it registered itself with the platform.
type Peer struct {
	Host          pimentospread.HostID        `msgpack:"Host"`
	FailureDomain pimentospread.FailureDomain `msgpack:"FailureDomain"`
	Address       netip.AddrPort              `msgpack:"Address"`
}

// Peers is the set of hosts at one revision of the platform.
type Peers struct {
	Revision pimentospread.ObjectVersion
	Hosts    []Peer
}

// Find returns the peer of the given name.
func (p Peers) Find(host pimentospread.HostID) (Peer, bool) {
	i := slices.IndexFunc(p.Hosts, func(x Peer) bool { return x.Host == host })
	if i < 0 {
		return Peer{}, false
	}
	return p.Hosts[i], true
}
