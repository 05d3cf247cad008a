package dissemination_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/peer"

	"pimentospread"
)

// Measures the size and the time of a StateUpdate message for one subscriber: without a
// change, with one changed target, and with all targets.
func BenchmarkStateUpdate(b *testing.B) {
	const targets = 1000
	for _, changed := range []int{0, 1, targets} {
		b.Run(fmt.Sprint(changed), func(b *testing.B) {
			h := newTestHost()
			var all []pimentospread.Registration
			for i := range targets {
				all = append(all, registration(i, 1))
			}
			h.applyTargets(start, discovery.Update{Full: true, Revision: 10, Present: all})
			m := &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:1"), Position: dissemination.Position{Targets: 10}, TargetsDigest: h.directory.Digest()}
			if changed == targets {
				m.Position.Targets = 0
			}
			if changed == 1 {
				h.applyTargets(start, discovery.Update{From: 10, Revision: 11, Present: []pimentospread.Registration{registration(3, 2)}})
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				out := h.distributor.Subscribe(start, "a-2", m, h.state(start))
				frame, err := peer.Encode("a-1", 1, out[0].Message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(frame)
			}
			b.ReportMetric(float64(size), "B/update")
		})
	}
}

// Measures the cost of one new host among the number of hosts expected in two years:
// applying the change, and the StateUpdate message for one subscriber.
func BenchmarkHostChange(b *testing.B) {
	const hosts = 13_000
	var all []dissemination.Peer
	for i := range hosts {
		all = append(all, host(i, 1))
	}
	b.Run("take", func(b *testing.B) {
		h := newTestHost()
		h.applyPeers(dissemination.PeersUpdate{Full: true, Revision: 10, Present: all})
		revision := pimentospread.ObjectVersion(10)
		for b.Loop() {
			h.applyPeers(dissemination.PeersUpdate{From: revision, Revision: revision + 1, Present: []dissemination.Peer{host(int(revision)%hosts, int(revision))}})
			revision++
		}
	})
	b.Run("state update", func(b *testing.B) {
		h := newTestHost()
		h.applyPeers(dissemination.PeersUpdate{Full: true, Revision: 10, Present: all})
		m := h.subscription()
		h.applyPeers(dissemination.PeersUpdate{From: 10, Revision: 11, Present: []dissemination.Peer{host(hosts, 1)}})
		size := 0
		for b.Loop() {
			frame, err := peer.Encode("a-1", 1, h.distributor.Subscribe(start, "a-2", m, h.state(start))[0].Message)
			if err != nil {
				b.Fatal(err)
			}
			size = len(frame)
		}
		b.ReportMetric(float64(size), "B/update")
	})
}
