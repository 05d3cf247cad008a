package dissemination_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/peer"
)

// Guards against a host whose link is taken by whole lists because many hosts ask for them
// at once, and against configurations that wait for such a list.
func TestListsAreLimited(t *testing.T) {
	const targets, subscribers, link = 3000, 60, 20
	h := newTestHost()
	h.distributor = dissemination.NewDistributor(dissemination.DistributorConfig{Lease: time.Minute, LinkSpeed: link})
	var all []pimentospread.Registration
	for i := range targets {
		all = append(all, registration(i, 1))
	}
	h.applyTargets(start, discovery.Update{Full: true, Revision: 10, Present: all})
	h.configure(pimentospread.Configuration{Version: 7})
	// One follower has the state already.
	current := h.subscription()
	current.Address = netip.MustParseAddrPort("127.0.0.1:1")
	h.distributor.Subscribe(start, "current", current, h.state(start))

	sent, lists, refused := 0, map[pimentospread.HostID]int{}, 0
	for at := time.Duration(0); at < 30*time.Second; at += 500 * time.Millisecond {
		now := start.Add(at)
		for i := range subscribers {
			id := pimentospread.HostID(fmt.Sprintf("new-%d", i))
			if lists[id] > 0 {
				continue
			}
			m := &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:2"), Once: true}
			for _, out := range h.distributor.Subscribe(now, id, m, h.state(now)) {
				frame, err := peer.Encode("source", 1, out.Message)
				if err != nil {
					t.Fatal(err)
				}
				sent += len(frame)
				update := out.Message.(*dissemination.StateUpdate)
				if update.Routes == nil || update.Routes.To != 7 {
					t.Fatalf("%s got no configuration %s after the start", id, at)
				}
				if len(update.Updates) > 0 {
					lists[id]++
					continue
				}
				refused++
				want := []dissemination.Peer{{Host: "current", Address: current.Address}}
				if diff := cmp.Diff(want, update.Elsewhere, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || update.Age < time.Minute || update.Position.Targets != 0 {
					t.Fatalf("%s was refused with age %s and position %+v; hosts named (-want +got): %s", id, update.Age, update.Position, diff)
				}
			}
		}
	}
	// A fiftieth of 20 Mbit/s for 30 s, one second of it in advance, and one list of 105 kB.
	if limit := 31*50_000 + 105_000; sent > limit+refused*200 {
		t.Errorf("%d bytes sent in 30 s, want at most %d and 200 for each of %d refusals", sent, limit, refused)
	}
	if len(lists) < 10 {
		t.Errorf("%d hosts got the list in 30 s, want at least 10", len(lists))
	}
}
