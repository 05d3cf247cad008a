package host

import (
	"slices"

	"pimentospread"
	"pimentospread/dataplane"
)

// requestRanks is the number of rings in front of the requests duty. Classes
// beyond it share the last one.
const requestRanks = 8

type classKey struct {
	service pimentospread.ServiceID
	class   pimentospread.Class
}

// classRanks gives each class its ring: urgencies in falling order.
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

// of returns the rank of a class; an unknown class has the last one.
func (r classRanks) of(service pimentospread.ServiceID, class pimentospread.Class) int {
	rank, ok := r.ranks[classKey{service, class}]
	if !ok {
		return requestRanks - 1
	}
	return rank
}
