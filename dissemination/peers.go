package dissemination

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// Peer is a host of the system as it registered itself with the platform.
type Peer struct {
	Host          pimentospread.HostID        `msgpack:"Host"`
	FailureDomain pimentospread.FailureDomain `msgpack:"FailureDomain"`
	Address       netip.AddrPort              `msgpack:"Address"`
}

// PeersUpdate is all hosts, or what changed among them after a revision.
type PeersUpdate struct {
	Full     bool                        `msgpack:"Full"`
	From     pimentospread.ObjectVersion `msgpack:"From"`
	Revision pimentospread.ObjectVersion `msgpack:"Revision"`
	// Present holds new and changed hosts.
	Present []Peer                 `msgpack:"Present"`
	Removed []pimentospread.HostID `msgpack:"Removed"`
}

// Peers is the set of hosts at one revision of the platform. It never goes back
// to an earlier one. The zero value knows no host.
type Peers struct {
	revision pimentospread.ObjectVersion
	digest   pimentospread.Digest
	// all holds the hosts in the order of their names. It is not changed in place.
	all []Peer
}

// Revision returns the revision of the platform that the set is at. Zero means none yet.
func (p *Peers) Revision() pimentospread.ObjectVersion { return p.revision }

// Digest returns the digest of the hosts. That of no host is not zero.
func (p *Peers) Digest() pimentospread.Digest { return p.digest + 1 }

// All returns the hosts in the order of their names.
func (p *Peers) All() []Peer { return p.all }

// Find returns the host of the given name.
func (p *Peers) Find(host pimentospread.HostID) (Peer, bool) {
	i, ok := p.place(host)
	if !ok {
		return Peer{}, false
	}
	return p.all[i], true
}

func (p *Peers) place(host pimentospread.HostID) (int, bool) {
	return slices.BinarySearchFunc(p.all, host, func(x Peer, id pimentospread.HostID) int {
		return strings.Compare(string(x.Host), string(id))
	})
}

// Apply takes an update and returns the hosts that changed, and whether it was
// taken. An update that is older than the set or leaves a gap is not taken.
func (p *Peers) Apply(u PeersUpdate) (changed []pimentospread.HostID, taken bool) {
	if u.Revision < p.revision || !u.Full && (p.revision == 0 || u.From > p.revision) {
		return nil, false
	}
	p.revision = u.Revision
	if u.Full {
		u = p.difference(u.Present)
	}
	return p.change(u), true
}

// difference returns what leads from the set to the given hosts.
func (p *Peers) difference(hosts []Peer) PeersUpdate {
	// In the order of the names each new host goes to the end of the list.
	u := PeersUpdate{Present: slices.SortedFunc(slices.Values(hosts), func(a, b Peer) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})}
	held := make(map[pimentospread.HostID]bool, len(hosts))
	for _, x := range hosts {
		held[x.Host] = true
	}
	for _, x := range p.all {
		if !held[x.Host] {
			u.Removed = append(u.Removed, x.Host)
		}
	}
	return u
}

// change takes new, changed and removed hosts and returns those that make a difference.
func (p *Peers) change(u PeersUpdate) []pimentospread.HostID {
	if len(u.Present)+len(u.Removed) == 0 {
		return nil
	}
	p.all = slices.Clone(p.all)
	var changed []pimentospread.HostID
	for _, x := range u.Present {
		i, known := p.place(x.Host)
		switch {
		case known && p.all[i] == x:
			continue
		case known:
			p.digest -= p.all[i].digest()
			p.all[i] = x
		default:
			p.all = slices.Insert(p.all, i, x)
		}
		p.digest += x.digest()
		changed = append(changed, x.Host)
	}
	for _, id := range u.Removed {
		if i, known := p.place(id); known {
			p.digest -= p.all[i].digest()
			p.all = slices.Delete(p.all, i, i+1)
			changed = append(changed, id)
		}
	}
	return changed
}

func (x Peer) digest() pimentospread.Digest {
	var room [128]byte
	b := append(room[:0], x.Host...)
	b = append(b, 0)
	b = append(b, x.FailureDomain...)
	b = append(b, 0)
	return pimentospread.Digest(xxhash.Sum64(x.Address.AppendTo(b)))
}

// Snapshot returns the hosts as a full update.
func (p *Peers) Snapshot() PeersUpdate {
	return PeersUpdate{Full: true, Revision: p.revision, Present: p.all}
}

// UpdateSince returns what became of the hosts as an update from an earlier revision
// of another host.
func (p *Peers) UpdateSince(from pimentospread.ObjectVersion, hosts []pimentospread.HostID) PeersUpdate {
	u := PeersUpdate{From: from, Revision: p.revision}
	for _, id := range hosts {
		if x, ok := p.Find(id); ok {
			u.Present = append(u.Present, x)
		} else {
			u.Removed = append(u.Removed, id)
		}
	}
	return u
}
