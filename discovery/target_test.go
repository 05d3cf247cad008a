package discovery_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/discovery"
)

// Guards against a process that is judged by its own departed registration, although a later
// process of the target answers the packets of its flows.
func TestLatestProcess(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	process := func(born pimentospread.UnixMilli, at netip.AddrPort) pimentospread.Registration {
		r := registration("a")
		r.Born, r.Address = born, at
		return r
	}
	first, second, third := process(5, address), process(6, address), process(7, address)
	moved := process(6, netip.MustParseAddrPort("10.0.0.2:80"))
	tests := map[string]struct {
		lists  [][]pimentospread.Registration
		latest map[pimentospread.Token]pimentospread.Token
	}{
		"registered": {
			[][]pimentospread.Registration{{first}},
			map[pimentospread.Token]pimentospread.Token{first.Token(): first.Token()},
		},
		"restarted twice": {
			[][]pimentospread.Registration{{first}, {second}, {third}},
			map[pimentospread.Token]pimentospread.Token{first.Token(): third.Token(), second.Token(): third.Token(), third.Token(): third.Token()},
		},
		"restarted and gone": {
			[][]pimentospread.Registration{{first}, {second}, {}},
			map[pimentospread.Token]pimentospread.Token{first.Token(): second.Token(), second.Token(): second.Token()},
		},
		"gone and registered again": {
			[][]pimentospread.Registration{{first}, {}, {second}},
			map[pimentospread.Token]pimentospread.Token{first.Token(): second.Token(), second.Token(): second.Token()},
		},
		"an older copy lists the earlier process": {
			[][]pimentospread.Registration{{first}, {second}, {first}},
			map[pimentospread.Token]pimentospread.Token{first.Token(): first.Token(), second.Token(): first.Token()},
		},
		"moved to another address": {
			[][]pimentospread.Registration{{first}, {moved}},
			map[pimentospread.Token]pimentospread.Token{first.Token(): first.Token(), moved.Token(): moved.Token()},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := discovery.New(discovery.Config{DepartedRetention: time.Minute})
			for i, list := range tc.lists {
				d.Apply(start.Add(time.Duration(i)*time.Second), full(pimentospread.ObjectVersion(i+1), list...))
			}
			got := map[pimentospread.Token]pimentospread.Token{}
			for _, target := range d.Targets() {
				got[target.Token] = target.Latest
			}
			if diff := cmp.Diff(tc.latest, got); diff != "" {
				t.Errorf("latest process by token (-want +got):\n%s", diff)
			}
		})
	}
}
