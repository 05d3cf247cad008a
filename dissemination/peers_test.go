package dissemination_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/dissemination"
)

// host returns the host of the given number at the given port.
func host(i, port int) dissemination.Peer {
	return dissemination.Peer{
		Host: pimentospread.HostID(fmt.Sprintf("h-%04d", i)), FailureDomain: "a",
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port)),
	}
}

// applyPeers applies an update of the hosts, as the controller of a host does.
func (h *testHost) applyPeers(u dissemination.PeersUpdate) {
	before := h.peers.Digest()
	changed, _ := h.peers.Apply(u)
	h.distributor.RecordPeers(before, changed)
}

// pull asks the source for changes and applies them. It returns the update of hosts.
func (h *testHost) pull(source *testHost) *dissemination.PeersUpdate {
	update := source.distributor.Subscribe(start, "a-2", h.subscription(), source.state(start))[0].Message.(*dissemination.StateUpdate)
	if u := update.Peers; u != nil && h.hosts.Accept("a-1", u.Full, u.From, h.peers.Revision()) {
		h.applyPeers(*u)
	}
	return update.Peers
}

// Guards against followers that end with other hosts than their source when updates
// are lost, and against a set that goes back to an earlier revision.
func TestFollowerGetsPeersOfSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var platform dissemination.Peers
		platform.Apply(dissemination.PeersUpdate{Full: true, Revision: 1, Present: []dissemination.Peer{host(0, 1)}})
		source, follower := newTestHost(), newTestHost()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := follower.peers.Revision()
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				u := dissemination.PeersUpdate{From: platform.Revision(), Revision: platform.Revision() + 1}
				if i := rapid.IntRange(0, 3).Draw(t, "host"); rapid.Bool().Draw(t, "present") {
					u.Present = []dissemination.Peer{host(i, rapid.IntRange(1, 2).Draw(t, "port"))}
				} else {
					u.Removed = []pimentospread.HostID{host(i, 1).Host}
				}
				platform.Apply(u)
			case 1:
				source.applyPeers(platform.Snapshot())
			case 2:
				follower.applyPeers(platform.Snapshot())
			case 3:
				follower.pull(source)
			}
			if follower.peers.Revision() < before {
				t.Fatalf("the follower went back from revision %d to %d", before, follower.peers.Revision())
			}
		}
		platform.Apply(dissemination.PeersUpdate{From: platform.Revision(), Revision: platform.Revision() + 1})
		source.applyPeers(platform.Snapshot())
		follower.pull(source)
		for _, h := range []*testHost{source, follower} {
			if diff := cmp.Diff(platform.All(), h.peers.All(), cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("hosts (-want +got): %s", diff)
			}
		}
	})
}

// Guards against sending the whole list of hosts for each change, and for revisions
// of the platform that changed no host.
func TestOnlyChangedPeersAreSent(t *testing.T) {
	var all []dissemination.Peer
	for i := range 1000 {
		all = append(all, host(i, 1))
	}
	added := host(1000, 1)
	tests := map[string]struct {
		initial dissemination.PeersUpdate
		updates []dissemination.PeersUpdate
		want    *dissemination.PeersUpdate
	}{
		"the same revision": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, nil, nil,
		},
		"a later revision without a change": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, []dissemination.PeersUpdate{{From: 10, Revision: 12}},
			&dissemination.PeersUpdate{From: 10, Revision: 12},
		},
		"the same list again": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, []dissemination.PeersUpdate{{Full: true, Revision: 12, Present: all}},
			&dissemination.PeersUpdate{From: 10, Revision: 12},
		},
		"the same list at an earlier revision": {
			dissemination.PeersUpdate{Full: true, Revision: 7, Present: all}, nil, &dissemination.PeersUpdate{From: 7, Revision: 10},
		},
		"one host added": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, []dissemination.PeersUpdate{{From: 10, Revision: 12, Present: []dissemination.Peer{added}}},
			&dissemination.PeersUpdate{From: 10, Revision: 12, Present: []dissemination.Peer{added}},
		},
		"one host removed": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, []dissemination.PeersUpdate{{Full: true, Revision: 12, Present: all[1:]}},
			&dissemination.PeersUpdate{From: 10, Revision: 12, Removed: []pimentospread.HostID{all[0].Host}},
		},
		"a host added and removed": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
			[]dissemination.PeersUpdate{{From: 10, Revision: 12, Present: []dissemination.Peer{added}}, {From: 12, Revision: 13, Removed: []pimentospread.HostID{added.Host}}},
			&dissemination.PeersUpdate{From: 10, Revision: 13},
		},
		"an update after a gap is ignored": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
			[]dissemination.PeersUpdate{{From: 11, Revision: 12, Removed: []pimentospread.HostID{all[0].Host}}}, nil,
		},
		"another list at an earlier revision": {
			dissemination.PeersUpdate{Full: true, Revision: 7, Present: all[1:]}, nil, &dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
		},
		"an empty follower": {
			dissemination.PeersUpdate{}, nil, &dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			source, follower := newTestHost(), newTestHost()
			source.applyPeers(dissemination.PeersUpdate{Full: true, Revision: 10, Present: all})
			follower.applyPeers(tc.initial)
			for _, u := range tc.updates {
				source.applyPeers(u)
			}
			got := follower.pull(source)
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
