package dissemination

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// Peer is a host of the system, as registered with the platform.
type Peer struct {
	Host          pimentospread.HostID        `msgpack:"Host"`
	FailureDomain pimentospread.FailureDomain `msgpack:"FailureDomain"`
	Address       netip.AddrPort              `msgpack:"Address"`
	// LinkSpeed is the speed of the host's link. Zero means that it is unknown, as for
	// hosts of earlier releases.
	LinkSpeed pimentospread.Megabits `msgpack:"LinkSpeed"`
}

// PeersUpdate holds all hosts, or those that changed after a revision.
type PeersUpdate struct {
	// Full is set if the update holds all hosts. Otherwise it holds those that changed
	// after From.
	Full bool `msgpack:"Full"`
	// From is the revision that an update that is not full starts from.
	From pimentospread.ObjectVersion `msgpack:"From"`
	// Revision is the revision of the platform after the update.
	Revision pimentospread.ObjectVersion `msgpack:"Revision"`
	// Present holds new and changed hosts.
	Present []Peer `msgpack:"Present"`
	// Removed holds the IDs of removed hosts.
	Removed []pimentospread.HostID `msgpack:"Removed"`
}

// Peers is the set of hosts at one revision of the platform. It never goes back to
// an earlier revision. The zero value is an empty set.
type Peers struct {
	revision pimentospread.ObjectVersion
	digest   pimentospread.Digest
	// all holds the hosts sorted by ID. It is replaced and never changed in place.
	all []Peer
}

// Revision returns the revision of the platform that the set is at. Zero means that
// no update was applied yet.
func (p *Peers) Revision() pimentospread.ObjectVersion { return p.revision }

// Digest returns the digest of the hosts. It is not zero for an empty set, because
// hosts of earlier releases, which have no digests, send zero.
func (p *Peers) Digest() pimentospread.Digest { return p.digest + 1 }

// All returns the hosts sorted by ID. The slice must not be modified.
func (p *Peers) All() []Peer { return p.all }

// Find returns the host with the given ID.
func (p *Peers) Find(host pimentospread.HostID) (Peer, bool) {
	i, ok := p.search(host)
	if !ok {
		return Peer{}, false
	}
	return p.all[i], true
}

// search returns the index of the host in all, or where to insert it, and whether it
// was found.
func (p *Peers) search(host pimentospread.HostID) (int, bool) {
	return slices.BinarySearchFunc(p.all, host, func(peer Peer, id pimentospread.HostID) int {
		return strings.Compare(string(peer.Host), string(id))
	})
}

// Apply applies an update. It returns the hosts that changed, and whether the update
// was applied. It ignores an update that is older than the set or leaves a gap.
func (p *Peers) Apply(u PeersUpdate) (changed []pimentospread.HostID, applied bool) {
	if u.Revision < p.revision || !u.Full && (p.revision == 0 || u.From > p.revision) {
		return nil, false
	}
	p.revision = u.Revision
	if u.Full {
		u = p.difference(u.Present)
	}
	return p.change(u), true
}

// difference returns an update that turns the set into the given hosts.
func (p *Peers) difference(hosts []Peer) PeersUpdate {
	// Sorted, so that change appends most new hosts instead of inserting them.
	u := PeersUpdate{Present: slices.SortedFunc(slices.Values(hosts), func(a, b Peer) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})}
	listed := make(map[pimentospread.HostID]bool, len(hosts))
	for _, peer := range hosts {
		listed[peer.Host] = true
	}
	for _, peer := range p.all {
		if !listed[peer.Host] {
			u.Removed = append(u.Removed, peer.Host)
		}
	}
	return u
}

// change applies new, changed and removed hosts and returns those that differ from the set.
func (p *Peers) change(u PeersUpdate) []pimentospread.HostID {
	if len(u.Present)+len(u.Removed) == 0 {
		return nil
	}
	p.all = slices.Clone(p.all)
	var changed []pimentospread.HostID
	for _, peer := range u.Present {
		i, known := p.search(peer.Host)
		switch {
		case known && p.all[i] == peer:
			continue
		case known:
			p.digest -= p.all[i].digest()
			p.all[i] = peer
		default:
			p.all = slices.Insert(p.all, i, peer)
		}
		p.digest += peer.digest()
		changed = append(changed, peer.Host)
	}
	for _, id := range u.Removed {
		if i, known := p.search(id); known {
			p.digest -= p.all[i].digest()
			p.all = slices.Delete(p.all, i, i+1)
			changed = append(changed, id)
		}
	}
	return changed
}

// digest returns the hash of the host that is summed up in the digest of the set.
func (peer Peer) digest() pimentospread.Digest {
	var buffer [128]byte
	b := append(buffer[:0], peer.Host...)
	b = append(b, 0)
	b = append(b, peer.FailureDomain...)
	b = append(b, 0)
	b = peer.Address.AppendTo(b)
	if peer.LinkSpeed > 0 {
		// Hosts of earlier releases compute the digest without the speed.
		b = binary.BigEndian.AppendUint32(append(b, 0), uint32(peer.LinkSpeed))
	}
	return pimentospread.Digest(xxhash.Sum64(b))
}

// Snapshot returns the hosts as a full update.
func (p *Peers) Snapshot() PeersUpdate {
	return PeersUpdate{Full: true, Revision: p.revision, Present: p.all}
}

// UpdateSince returns an update with the current state of the given hosts, for
// another host whose set is at an earlier revision.
func (p *Peers) UpdateSince(from pimentospread.ObjectVersion, hosts []pimentospread.HostID) PeersUpdate {
	u := PeersUpdate{From: from, Revision: p.revision}
	for _, id := range hosts {
		if peer, ok := p.Find(id); ok {
			u.Present = append(u.Present, peer)
		} else {
			u.Removed = append(u.Removed, id)
		}
	}
	return u
}
