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

func host(i, port int) dissemination.Peer {
	return dissemination.Peer{
		Host: pimentospread.HostID(fmt.Sprintf("h-%04d", i)), FailureDomain: "a",
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port)),
	}
}

// hearPeers takes an update of the hosts, as the belief duty does.
func (b *book) hearPeers(u dissemination.PeersUpdate) {
	before := b.peers.Digest()
	changed, _ := b.peers.Apply(u)
	b.relay.RecordPeers(before, changed)
}

// ask lets the follower ask its source for news.
func (b *book) ask(source *book) *dissemination.PeersUpdate {
	news := source.relay.Subscribe(start, "a-2", b.subscription(), source.state(start))[0].Message.(*dissemination.News)
	if u := news.Peers; u != nil && b.hosts.Accept("a-1", u.Full, u.From, b.peers.Revision()) {
		b.hearPeers(*u)
	}
	return news.Peers
}

// Guards against followers that end with other hosts than their source, whatever
// updates were lost, and against a set that goes back.
func TestPeersFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var platform dissemination.Peers
		platform.Apply(dissemination.PeersUpdate{Full: true, Revision: 1, Present: []dissemination.Peer{host(0, 1)}})
		source, follower := newBook(), newBook()
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
				source.hearPeers(platform.Snapshot())
			case 2:
				follower.hearPeers(platform.Snapshot())
			case 3:
				follower.ask(source)
			}
			if follower.peers.Revision() < before {
				t.Fatalf("the follower went back from %d to %d", before, follower.peers.Revision())
			}
		}
		platform.Apply(dissemination.PeersUpdate{From: platform.Revision(), Revision: platform.Revision() + 1})
		source.hearPeers(platform.Snapshot())
		follower.ask(source)
		for _, b := range []*book{source, follower} {
			if diff := cmp.Diff(platform.All(), b.peers.All(), cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("hosts differ: %s", diff)
			}
		}
	})
}

// Guards against the whole list of hosts for each change, and for revisions of
// the platform that changed no host.
func TestChangedPeersAreSentAlone(t *testing.T) {
	var all []dissemination.Peer
	for i := range 1000 {
		all = append(all, host(i, 1))
	}
	more := host(1000, 1)
	tests := map[string]struct {
		held    dissemination.PeersUpdate
		updates []dissemination.PeersUpdate
		want    *dissemination.PeersUpdate
	}{
		"nothing new": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, nil, nil,
		},
		"a revision without a change": {
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
		"one host more": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, []dissemination.PeersUpdate{{From: 10, Revision: 12, Present: []dissemination.Peer{more}}},
			&dissemination.PeersUpdate{From: 10, Revision: 12, Present: []dissemination.Peer{more}},
		},
		"one host less": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all}, []dissemination.PeersUpdate{{Full: true, Revision: 12, Present: all[1:]}},
			&dissemination.PeersUpdate{From: 10, Revision: 12, Removed: []pimentospread.HostID{all[0].Host}},
		},
		"come and gone": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
			[]dissemination.PeersUpdate{{From: 10, Revision: 12, Present: []dissemination.Peer{more}}, {From: 12, Revision: 13, Removed: []pimentospread.HostID{more.Host}}},
			&dissemination.PeersUpdate{From: 10, Revision: 13},
		},
		"a gap is not taken": {
			dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
			[]dissemination.PeersUpdate{{From: 11, Revision: 12, Removed: []pimentospread.HostID{all[0].Host}}}, nil,
		},
		"another list at an earlier revision": {
			dissemination.PeersUpdate{Full: true, Revision: 7, Present: all[1:]}, nil, &dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
		},
		"nothing known": {
			dissemination.PeersUpdate{}, nil, &dissemination.PeersUpdate{Full: true, Revision: 10, Present: all},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			source, follower := newBook(), newBook()
			source.hearPeers(dissemination.PeersUpdate{Full: true, Revision: 10, Present: all})
			follower.hearPeers(tc.held)
			for _, u := range tc.updates {
				source.hearPeers(u)
			}
			got := follower.ask(source)
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
