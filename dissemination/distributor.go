package dissemination

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/evacuation"
	"pimentospread/routing"
)

const (
	// maxConfigurations limits the earlier configurations that are kept to compute deltas from.
	maxConfigurations = 4
	// maxSubscribers limits what a host sends. It is above the number of hosts expected
	// for one failure domain in two years: 13,000 hosts over 27 domains.
	maxSubscribers = 512
)

// DistributorConfig sets how long subscriptions last.
type DistributorConfig struct {
	// Lease is the time after which a subscription expires unless it is renewed.
	Lease time.Duration
	// LinkSpeed is the speed of the link of this host, which limits the whole lists that it
	// sends. Zero means that it is unknown.
	LinkSpeed pimentospread.Megabits
}

// Distributor passes the changes that this host receives on to its subscribers.
type Distributor struct {
	config      DistributorConfig
	subscribers map[pimentospread.HostID]*subscriber
	targets     changeLog[pimentospread.RegistrationName]
	peers       changeLog[pimentospread.HostID]
	// configurations holds the latest configurations, oldest first.
	configurations []pimentospread.Configuration
	lists          listBudget
	// referred counts the hosts that were named to subscribers, to name different ones.
	referred int
}

// subscriber is the state of one subscription.
type subscriber struct {
	address  netip.AddrPort
	position Position
	// targets and peers mark the targets and hosts that it has at the position.
	targets, peers mark
	// evacuations is the digest of the evacuations that it has.
	evacuations pimentospread.Digest
	// until is when the subscription expires.
	until time.Time
	// listedAt is when the list of targets was last sent to it.
	listedAt time.Time
	// once is set if it asked for a single answer. The subscriber is kept until the
	// lease ends, so that the link stays open and the answer arrives.
	once bool
}

// State is the state of this host that a distributor passes on.
type State struct {
	Directory *discovery.Directory
	Table     *routing.Table
	Peers     *Peers
	// Evacuations is nil if this host does not watch them.
	Evacuations *evacuation.Set
	// Confirmed is when the state was last known to be up to date.
	Confirmed time.Time
	// Path lists the hosts through which this host gets its state, nearest first.
	Path []pimentospread.HostID
}

// Position returns the revisions and the version of the state.
func (s State) Position() Position {
	return Position{Targets: s.Directory.Revision(), Configuration: s.Table.Version(), Peers: s.Peers.Revision()}
}

// EvacuationsDigest returns the digest of the evacuations, or zero if the host has none.
func (s State) EvacuationsDigest() pimentospread.Digest {
	if s.Evacuations == nil || s.Evacuations.Revision() == 0 {
		return 0
	}
	return s.Evacuations.Digest()
}

// NewDistributor returns a distributor without subscribers.
func NewDistributor(c DistributorConfig) *Distributor {
	return &Distributor{config: c, subscribers: map[pimentospread.HostID]*subscriber{}, lists: newListBudget(c.LinkSpeed)}
}

// Subscribe adds, renews or ends a subscription. The returned message brings the
// subscriber up to date. Nothing is returned if the subscription ends or if there
// are too many subscribers.
func (d *Distributor) Subscribe(now time.Time, from pimentospread.HostID, m *Subscribe, s State) []pimentospread.Outbound {
	if m.Leaves {
		delete(d.subscribers, from)
		return nil
	}
	sub, found := d.subscribers[from]
	if !found {
		if len(d.subscribers) >= maxSubscribers {
			return nil
		}
		sub = &subscriber{}
		d.subscribers[from] = sub
	}
	*sub = subscriber{
		once: m.Once && (!found || sub.once), address: m.Address, position: m.Position, until: now.Add(d.config.Lease),
		targets: d.targets.find(s.Directory.Digest(), m.TargetsDigest),
		peers:   d.peers.find(s.Peers.Digest(), m.PeersDigest),

		evacuations: m.EvacuationsDigest,

		listedAt: sub.listedAt,
	}
	return []pimentospread.Outbound{d.stateUpdate(now, from, sub, s)}
}

// RecordTargets records a change of targets, so that subscribers get only the change.
// The digest is that of the targets before the change.
func (d *Distributor) RecordTargets(before pimentospread.Digest, changes []discovery.Change) {
	if len(changes) == 0 {
		return
	}
	names := make([]pimentospread.RegistrationName, len(changes))
	for i, c := range changes {
		names[i] = c.Registration.Name
	}
	d.targets.add(before, names)
}

// RecordPeers records a change of hosts. The digest is that of the hosts before the change.
func (d *Distributor) RecordPeers(before pimentospread.Digest, hosts []pimentospread.HostID) {
	if len(hosts) > 0 {
		d.peers.add(before, hosts)
	}
}

// RecordConfiguration records a configuration, so that subscribers get only what changed.
func (d *Distributor) RecordConfiguration(c pimentospread.Configuration) {
	d.configurations = append(d.configurations, c)
	if len(d.configurations) > maxConfigurations {
		d.configurations = slices.Delete(d.configurations, 0, len(d.configurations)-maxConfigurations)
	}
}

// Publish returns messages with the latest changes for all subscribers, and drops
// expired subscriptions.
func (d *Distributor) Publish(now time.Time, s State) []pimentospread.Outbound {
	var out []pimentospread.Outbound
	for _, id := range d.ids() {
		sub := d.subscribers[id]
		if now.After(sub.until) {
			delete(d.subscribers, id)
			continue
		}
		if sub.once {
			continue
		}
		out = append(out, d.stateUpdate(now, id, sub, s))
	}
	return out
}

// Leave returns messages that announce to all subscribers that this host stops.
func (d *Distributor) Leave() []pimentospread.Outbound {
	var out []pimentospread.Outbound
	for _, id := range d.ids() {
		out = append(out, pimentospread.Outbound{To: id, Message: &StateUpdate{Leaves: true}})
	}
	return out
}

// Subscribers returns the addresses of the subscribers, including those that asked for
// a single answer.
func (d *Distributor) Subscribers() map[pimentospread.HostID]netip.AddrPort {
	m := make(map[pimentospread.HostID]netip.AddrPort, len(d.subscribers))
	for id, s := range d.subscribers {
		m[id] = s.address
	}
	return m
}

// ids returns the sorted IDs of the subscribers.
func (d *Distributor) ids() []pimentospread.HostID {
	ids := make([]pimentospread.HostID, 0, len(d.subscribers))
	for id := range d.subscribers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b pimentospread.HostID) int { return strings.Compare(string(a), string(b)) })
	return ids
}

// stateUpdate returns a message with the changes that the subscriber is missing. It leaves
// out a whole list that the budget does not allow; the subscriber then gets it later, or
// from one of the hosts that the message names.
func (d *Distributor) stateUpdate(now time.Time, to pimentospread.HostID, sub *subscriber, s State) pimentospread.Outbound {
	message := &StateUpdate{Age: max(now.Sub(s.Confirmed), 0), Path: s.Path, Position: s.Position()}
	if sub.position.Targets < message.Position.Targets {
		u, ok := d.targetsAfter(now, sub, s)
		if ok {
			message.Updates = []discovery.Update{u}
			message.Grace = s.Directory.Grace(now)
			sub.targets = d.targets.newest()
		} else {
			message.Position.Targets, message.Age = sub.position.Targets, UnconfirmedAge
			message.Elsewhere = d.elsewhere(to, s)
		}
	}
	if sub.position.Configuration < message.Position.Configuration {
		message.Routes = d.routesAfter(sub.position.Configuration, s)
	}
	if sub.position.Peers < message.Position.Peers {
		if u, ok := d.peersAfter(now, sub, s); ok {
			message.Peers = &u
			sub.peers = d.peers.newest()
		} else {
			message.Position.Peers = sub.position.Peers
		}
	}
	if e := s.Evacuations; e != nil && e.Revision() > 0 {
		snapshot := e.Snapshot(now, sub.evacuations)
		message.Evacuations, sub.evacuations = &snapshot, snapshot.Digest
	}
	sub.position = Position{
		Targets:       max(sub.position.Targets, message.Position.Targets),
		Configuration: max(sub.position.Configuration, message.Position.Configuration),
		Peers:         max(sub.position.Peers, message.Position.Peers),
	}
	return pimentospread.Outbound{To: to, Message: message}
}

// elsewhere returns hosts that can send the list of targets to another host, different ones
// each time: followers of this one, which have the list, or else any.
func (d *Distributor) elsewhere(to pimentospread.HostID, s State) []Peer {
	var candidates []Peer
	for _, id := range d.ids() {
		if sub := d.subscribers[id]; id != to && !sub.once && sub.position.Targets > 0 {
			candidates = append(candidates, Peer{Host: id, Address: sub.address})
		}
	}
	if len(candidates) == 0 {
		candidates = s.Peers.All()
	}
	var named []Peer
	for range min(maxElsewhere, len(candidates)) {
		named = append(named, candidates[d.referred%len(candidates)])
		d.referred++
	}
	return named
}

// targetsAfter returns the changes of targets that the subscriber is missing, or all
// targets if its state is not in the log. It returns false if these must not be sent now.
func (d *Distributor) targetsAfter(now time.Time, sub *subscriber, s State) (discovery.Update, bool) {
	names, ok := d.targets.after(sub.targets)
	if ok && sub.position.Targets > 0 {
		return s.Directory.UpdateSince(sub.position.Targets, names), true
	}
	if now.Sub(sub.listedAt) < minListInterval || !d.lists.take(now, s.Directory.Len()) {
		return discovery.Update{}, false
	}
	sub.listedAt = now
	return s.Directory.Snapshot(), true
}

// peersAfter returns the changes of hosts that the subscriber is missing, or all
// hosts if its state is not in the log. It returns false if these must not be sent now.
func (d *Distributor) peersAfter(now time.Time, sub *subscriber, s State) (PeersUpdate, bool) {
	hosts, ok := d.peers.after(sub.peers)
	if ok && sub.position.Peers > 0 {
		return s.Peers.UpdateSince(sub.position.Peers, hosts), true
	}
	if !d.lists.take(now, len(s.Peers.All())) {
		return PeersUpdate{}, false
	}
	return s.Peers.Snapshot(), true
}

// routesAfter returns the changes after a version, or all routes if that version is
// no longer kept.
func (d *Distributor) routesAfter(version pimentospread.ConfigurationVersion, s State) *routing.Delta {
	var from pimentospread.Configuration
	for _, c := range d.configurations {
		if c.Version == version {
			from = c
		}
	}
	delta := routing.Diff(from, s.Table.Configuration())
	return &delta
}
