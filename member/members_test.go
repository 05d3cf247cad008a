package member_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/member"
)

func host(n int) member.Host {
	return member.Host{
		ID: pimentospread.HostID(fmt.Sprintf("h%02d", n)), FailureDomain: pimentospread.FailureDomain(fmt.Sprintf("d%d", n%2)),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 7000), State: member.Live,
	}
}

// TestOfferRosterKeepsTwoRosters guards against adopting a third roster before the
// claims under the first one have ended, and against ignoring the rosters of a restored
// platform, whose revisions are lower.
func TestOfferRosterKeepsTwoRosters(t *testing.T) {
	type offer struct {
		at       time.Duration
		version  pimentospread.ObjectVersion
		previous pimentospread.ObjectVersion
		age      time.Duration
	}
	restored := pimentospread.NewObjectVersion(1, 2)
	tests := map[string]struct {
		offers []offer
		end    time.Duration
		want   [2]pimentospread.ObjectVersion
	}{
		"restored platform":              {[]offer{{version: 9}, {at: time.Hour, version: restored}}, time.Hour, [2]pimentospread.ObjectVersion{restored, 9}},
		"first":                          {[]offer{{version: 1}}, 0, [2]pimentospread.ObjectVersion{1, 0}},
		"second":                         {[]offer{{version: 1}, {at: time.Second, version: 2}}, time.Second, [2]pimentospread.ObjectVersion{2, 1}},
		"third before the interval ends": {[]offer{{version: 1}, {at: time.Second, version: 2}, {at: 2 * time.Second, version: 3}}, 10 * time.Second, [2]pimentospread.ObjectVersion{2, 1}},
		"third after the interval":       {[]offer{{version: 1}, {at: time.Second, version: 2}, {at: 2 * time.Second, version: 3}}, 11 * time.Second, [2]pimentospread.ObjectVersion{3, 2}},
		"older":                          {[]offer{{version: 2}, {version: 1}}, 0, [2]pimentospread.ObjectVersion{2, 0}},
		"previous roster from a peer":    {[]offer{{version: 2}, {at: time.Second, version: 2, previous: 1, age: time.Second}}, time.Second, [2]pimentospread.ObjectVersion{2, 1}},
		"peer adopted both":              {[]offer{{version: 1}, {version: 2}, {at: time.Second, version: 3, previous: 2}}, time.Second, [2]pimentospread.ObjectVersion{3, 2}},
		"missed version after isolation": {[]offer{{version: 1}, {at: time.Hour, version: 3, previous: 2, age: time.Second}}, time.Hour, [2]pimentospread.ObjectVersion{3, 2}},
		"peer skipped versions":          {[]offer{{version: 1}, {version: 2}, {at: time.Second, version: 4, previous: 3}}, 2 * time.Second, [2]pimentospread.ObjectVersion{2, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			m := member.NewMembers(start, host(0), nil)
			for _, o := range test.offers {
				m.OfferRoster(start.Add(o.at), member.Roster{Version: o.version, Hosts: []member.Host{host(0), host(1)}}, member.Roster{Version: o.previous}, o.age)
			}
			m.Expire(start.Add(test.end))
			current, previous, _ := m.Roster()
			if d := cmp.Diff(test.want, [2]pimentospread.ObjectVersion{current.Version, previous.Version}); d != "" {
				t.Errorf("rosters (-want +got):\n%s", d)
			}
		})
	}
}

// TestRelaysPerDomain guards against a failure domain without a relay or with more than two.
func TestRelaysPerDomain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, hosts := range []int{1, 2, 4, 9, 16} {
		relays := map[pimentospread.FailureDomain]int{}
		for self := range hosts {
			m := member.NewMembers(now, host(self), nil)
			for n := range hosts {
				m.AddPeer(now, host(n))
				m.HandleHeartbeat(now, host(n).ID, 1, member.Heartbeat{Sequence: 1})
			}
			if m.IsRelay(now) {
				relays[host(self).FailureDomain]++
			}
		}
		want := map[pimentospread.FailureDomain]int{"d0": min(2, (hosts+1)/2)}
		if hosts > 1 {
			want["d1"] = min(2, hosts/2)
		}
		if d := cmp.Diff(want, relays); d != "" {
			t.Errorf("%d hosts (-want +got):\n%s", hosts, d)
		}
	}
}

// TestHandleHeartbeatRejectsStale guards against a heartbeat of an earlier
// incarnation or sequence that overwrites a newer one.
func TestHandleHeartbeatRejectsStale(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := member.NewMembers(now, host(0), []member.Host{host(1)})
	type heartbeat struct {
		incarnation pimentospread.Incarnation
		sequence    uint64
	}
	var got []bool
	for _, b := range []heartbeat{{5, 3}, {5, 3}, {5, 2}, {4, 9}, {6, 1}} {
		got = append(got, m.HandleHeartbeat(now, host(1).ID, b.incarnation, member.Heartbeat{Sequence: b.sequence}))
	}
	if d := cmp.Diff([]bool{true, false, false, false, true}, got); d != "" {
		t.Errorf("accepted (-want +got):\n%s", d)
	}
}

// TestLiveHostsSkipsLeaving guards against assigning new work to a host that the
// roster lists as leaving.
func TestLiveHostsSkipsLeaving(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := member.Roster{Version: 1, Hosts: []member.Host{host(0), host(1), host(2)}}
	r.Hosts[0].State, r.Hosts[1].State = member.Leaving, member.Leaving
	m := member.NewMembers(now, host(0), nil)
	m.OfferRoster(now, r, member.Roster{}, 0)
	for _, n := range []int{1, 2} {
		m.HandleHeartbeat(now, host(n).ID, 1, member.Heartbeat{Sequence: 1, Ready: true})
	}
	want := []member.Candidate{{ID: host(2).ID, FailureDomain: host(2).FailureDomain}}
	if d := cmp.Diff(want, m.LiveHosts(now, true)); d != "" {
		t.Errorf("available hosts (-want +got):\n%s", d)
	}
}
