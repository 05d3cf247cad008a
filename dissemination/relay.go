package dissemination

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/routing"
)

const (
	// keptConfigurations bounds the earlier configurations from which changes are worked out.
	keptConfigurations = 4
	// maxSubscribers bounds what a host sends. It is above the hosts of a failure
	// domain at the size of two years, 13,000 over 27.
	maxSubscribers = 512
)

// RelayConfig says how long subscriptions last.
type RelayConfig struct {
	// Lease is how long a subscription lasts without being renewed.
	Lease time.Duration
}

// Relay passes what this host hears on to the hosts that subscribed.
type Relay struct {
	config         RelayConfig
	subscribers    map[pimentospread.HostID]*subscriber
	targets        changeLog[pimentospread.RegistrationName]
	peers          changeLog[pimentospread.HostID]
	configurations []pimentospread.Configuration
}

type subscriber struct {
	address  netip.AddrPort
	position Position
	// targets and peers are what it holds at the position.
	targets, peers mark
	until          time.Time
	// once says that it asked for an answer alone. Its link is kept so that the
	// answer arrives.
	once bool
}

// State is what a relay passes on.
type State struct {
	Directory *discovery.Directory
	Table     *routing.Table
	Peers     *Peers
	Confirmed time.Time
	Path      []pimentospread.HostID
}

// Position returns how far the state reaches.
func (s State) Position() Position {
	return Position{Targets: s.Directory.Revision(), Configuration: s.Table.Version(), Peers: s.Peers.Revision()}
}

// NewRelay returns a relay without subscribers.
func NewRelay(c RelayConfig) *Relay {
	return &Relay{config: c, subscribers: map[pimentospread.HostID]*subscriber{}}
}

// Subscribe takes a subscription. The answer brings the subscriber up to date;
// it is empty when the relay has no room.
func (r *Relay) Subscribe(now time.Time, from pimentospread.HostID, m *Subscribe, s State) []pimentospread.Outbound {
	if m.Leaves {
		delete(r.subscribers, from)
		return nil
	}
	sub, known := r.subscribers[from]
	if !known {
		if len(r.subscribers) >= maxSubscribers {
			return nil
		}
		sub = &subscriber{}
		r.subscribers[from] = sub
	}
	*sub = subscriber{
		once: m.Once && (!known || sub.once), address: m.Address, position: m.Position, until: now.Add(r.config.Lease),
		targets: r.targets.find(s.Directory.Digest(), m.TargetsDigest),
		peers:   r.peers.find(s.Peers.Digest(), m.PeersDigest),
	}
	return []pimentospread.Outbound{r.news(now, from, sub, s)}
}

// RecordTargets keeps a change of targets, so that subscribers get the change alone.
// The digest is that of the targets before it.
func (r *Relay) RecordTargets(before pimentospread.Digest, changes []discovery.Change) {
	if len(changes) == 0 {
		return
	}
	names := make([]pimentospread.RegistrationName, len(changes))
	for i, c := range changes {
		names[i] = c.Registration.Name
	}
	r.targets.add(before, names)
}

// RecordPeers keeps a change of hosts. The digest is that of the hosts before it.
func (r *Relay) RecordPeers(before pimentospread.Digest, hosts []pimentospread.HostID) {
	if len(hosts) > 0 {
		r.peers.add(before, hosts)
	}
}

// RecordConfiguration keeps a configuration, so that subscribers get what changed alone.
func (r *Relay) RecordConfiguration(c pimentospread.Configuration) {
	r.configurations = append(r.configurations, c)
	if len(r.configurations) > keptConfigurations {
		r.configurations = slices.Delete(r.configurations, 0, len(r.configurations)-keptConfigurations)
	}
}

// Publish returns news for all subscribers, and forgets those that lapsed.
func (r *Relay) Publish(now time.Time, s State) []pimentospread.Outbound {
	var out []pimentospread.Outbound
	for _, id := range r.names() {
		sub := r.subscribers[id]
		if now.After(sub.until) {
			delete(r.subscribers, id)
			continue
		}
		if sub.once {
			continue
		}
		out = append(out, r.news(now, id, sub, s))
	}
	return out
}

// Leave returns the last news for all subscribers.
func (r *Relay) Leave() []pimentospread.Outbound {
	var out []pimentospread.Outbound
	for _, id := range r.names() {
		out = append(out, pimentospread.Outbound{To: id, Message: &News{Leaves: true}})
	}
	return out
}

// Subscribers returns the addresses of the hosts that hear from this one.
func (r *Relay) Subscribers() map[pimentospread.HostID]netip.AddrPort {
	m := make(map[pimentospread.HostID]netip.AddrPort, len(r.subscribers))
	for id, s := range r.subscribers {
		m[id] = s.address
	}
	return m
}

func (r *Relay) names() []pimentospread.HostID {
	names := make([]pimentospread.HostID, 0, len(r.subscribers))
	for id := range r.subscribers {
		names = append(names, id)
	}
	slices.SortFunc(names, func(a, b pimentospread.HostID) int { return strings.Compare(string(a), string(b)) })
	return names
}

// news returns what the subscriber lacks.
func (r *Relay) news(now time.Time, to pimentospread.HostID, sub *subscriber, s State) pimentospread.Outbound {
	n := &News{Age: max(now.Sub(s.Confirmed), 0), Path: s.Path, Position: s.Position()}
	if sub.position.Targets < n.Position.Targets {
		n.Updates = []discovery.Update{r.targetsAfter(sub, s)}
		n.Grace = s.Directory.Grace(now)
		sub.targets = r.targets.newest()
	}
	if sub.position.Configuration < n.Position.Configuration {
		n.Routes = r.routesAfter(sub.position.Configuration, s)
	}
	if sub.position.Peers < n.Position.Peers {
		u := r.peersAfter(sub, s)
		n.Peers = &u
		sub.peers = r.peers.newest()
	}
	sub.position = Position{
		Targets:       max(sub.position.Targets, n.Position.Targets),
		Configuration: max(sub.position.Configuration, n.Position.Configuration),
		Peers:         max(sub.position.Peers, n.Position.Peers),
	}
	return pimentospread.Outbound{To: to, Message: n}
}

// targetsAfter returns the changes that the subscriber lacks, or all targets when
// it is not known what it holds.
func (r *Relay) targetsAfter(sub *subscriber, s State) discovery.Update {
	names, ok := r.targets.after(sub.targets)
	if !ok || sub.position.Targets == 0 {
		return s.Directory.Snapshot()
	}
	return s.Directory.UpdateSince(sub.position.Targets, names)
}

// peersAfter returns the changes that the subscriber lacks, or all hosts.
func (r *Relay) peersAfter(sub *subscriber, s State) PeersUpdate {
	hosts, ok := r.peers.after(sub.peers)
	if !ok || sub.position.Peers == 0 {
		return s.Peers.Snapshot()
	}
	return s.Peers.UpdateSince(sub.position.Peers, hosts)
}

// routesAfter returns the changes after a version, or all routes when it is not kept.
func (r *Relay) routesAfter(version pimentospread.ConfigurationVersion, s State) *routing.Delta {
	var from pimentospread.Configuration
	for _, c := range r.configurations {
		if c.Version == version {
			from = c
		}
	}
	d := routing.Diff(from, s.Table.Configuration())
	return &d
}
