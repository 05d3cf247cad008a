package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// Candidate is a host that can be ranked.
type Candidate struct {
	ID            pimentospread.HostID
	FailureDomain pimentospread.FailureDomain
}

// Rank returns up to n hosts in rendezvous-hashing order for the key. Hosts in
// failure domains that are not chosen yet come first, so that the result is spread
// over failure domains.
func Rank(key uint64, hosts []Candidate, n int) []pimentospread.HostID {
	type scored struct {
		Candidate
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{h, score(key, h.ID)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	ranked := make([]pimentospread.HostID, 0, n)
	for len(ranked) < n && len(all) > 0 {
		domains := map[pimentospread.FailureDomain]bool{}
		rest := all[:0:0]
		for _, s := range all {
			if domains[s.FailureDomain] || len(ranked) == n {
				rest = append(rest, s)
				continue
			}
			domains[s.FailureDomain] = true
			ranked = append(ranked, s.ID)
		}
		all = rest
	}
	return ranked
}

func score(key uint64, id pimentospread.HostID) uint64 {
	d := xxhash.New()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
