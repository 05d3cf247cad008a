package host

import (
	"slices"

	"pimentospread"
	"pimentospread/dataplane"
)

// requestRanks is the number of ranks in the ring of the request processor. Each of
// the highest urgencies has a rank; all lower ones share the last rank.
const requestRanks = 8

type classKey struct {
	service pimentospread.ServiceID
	class   pimentospread.Class
}

// classRanks maps each class of a service to a rank. Rank 0 has the highest urgency.
type classRanks struct {
	ranks map[classKey]int
}

func newClassRanks(v *dataplane.View) classRanks {
	var urgencies []pimentospread.Urgency
	for _, s := range v.Services {
		for _, c := range s.Policy.Classes {
			urgencies = append(urgencies, c.Urgency)
		}
	}
	slices.Sort(urgencies)
	urgencies = slices.Compact(urgencies)
	r := classRanks{ranks: map[classKey]int{}}
	for id, s := range v.Services {
		for _, c := range s.Policy.Classes {
			i, _ := slices.BinarySearch(urgencies, c.Urgency)
			r.ranks[classKey{id, c.Name}] = min(len(urgencies)-1-i, requestRanks-1)
		}
	}
	return r
}

// rankOf returns the rank of a class. An unknown class has the last rank.
func (r classRanks) rankOf(service pimentospread.ServiceID, class pimentospread.Class) int {
	rank, ok := r.ranks[classKey{service, class}]
	if !ok {
		return requestRanks - 1
	}
	return rank
}
