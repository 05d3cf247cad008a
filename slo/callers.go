package slo

import (
	"container/heap"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// maxCallers bounds the callers that a host tracks for a service in each half of
// the long window. A caller takes 32 bytes plus its map entry.
const maxCallers = 1024

// Callers holds the weighted work that was delivered to each caller. Callers for
// which no request succeeded are included with zero.
type Callers struct {
	Work map[pimentospread.CallerID]uint64 `json:"Work"`
	// HashLimit is the upper bound of a sample: Work holds only callers whose hash
	// is lower. All hosts use the same hash, so a merged sample holds the work of
	// its callers from every host. math.MaxUint64 means that Work holds all callers.
	HashLimit uint64 `json:"Below,string"`
}

// CallerSummary is the distribution of the work over the callers of a service.
type CallerSummary struct {
	Callers int `json:"Callers"`
	// Sampled reports that the callers are a random sample of all callers.
	Sampled bool    `json:"Sampled"`
	Least   float64 `json:"Least"`
	Median  float64 `json:"Median"`
	Most    float64 `json:"Most"`
	// Fairness is Jain's fairness index: 1 if all callers received the same work,
	// 1/n if one of n callers received all of it, and 0 if none was delivered.
	Fairness float64 `json:"Fairness"`
}

// merge returns the summed work of the callers whose hash is below both limits.
func (c Callers) merge(other Callers) Callers {
	merged := Callers{Work: make(map[pimentospread.CallerID]uint64, len(c.Work)), HashLimit: min(c.HashLimit, other.HashLimit)}
	for _, work := range []map[pimentospread.CallerID]uint64{c.Work, other.Work} {
		for id, n := range work {
			if merged.HashLimit == math.MaxUint64 || callerHash(id) < merged.HashLimit {
				merged.Work[id] += n
			}
		}
	}
	return merged
}

func (c Callers) summary() CallerSummary {
	s := CallerSummary{Callers: len(c.Work), Sampled: c.HashLimit != math.MaxUint64}
	if len(c.Work) == 0 {
		return s
	}
	values := make([]float64, 0, len(c.Work))
	for _, n := range c.Work {
		values = append(values, float64(n))
	}
	slices.Sort(values)
	sum, sumOfSquares := 0.0, 0.0
	for _, v := range values {
		sum += v
		sumOfSquares += v * v
	}
	n := len(values)
	s.Least, s.Most = values[0], values[n-1]
	s.Median = (values[(n-1)/2] + values[n/2]) / 2
	if sumOfSquares > 0 {
		s.Fairness = sum * sum / (float64(n) * sumOfSquares)
	}
	return s
}

func callerHash(id pimentospread.CallerID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:])
}

// callerSample keeps the maxCallers callers with the lowest hashes. HashLimit never
// rises, so a kept caller was kept since its first request and its work is exact.
type callerSample struct {
	Callers
	byHash hashHeap
}

func newCallerSample() *callerSample {
	return &callerSample{Callers: Callers{Work: map[pimentospread.CallerID]uint64{}, HashLimit: math.MaxUint64}}
}

func (s *callerSample) add(id pimentospread.CallerID, work uint64) {
	if _, ok := s.Work[id]; ok {
		s.Work[id] += work
		return
	}
	hash := callerHash(id)
	if hash >= s.HashLimit {
		return
	}
	s.Work[id] = work
	heap.Push(&s.byHash, hashedCaller{hash, id})
	if len(s.byHash) <= maxCallers {
		return
	}
	removed := heap.Pop(&s.byHash).(hashedCaller)
	delete(s.Work, removed.id)
	s.HashLimit = removed.hash
}

type hashedCaller struct {
	hash uint64
	id   pimentospread.CallerID
}

// hashHeap is a heap of callers with the highest hash at the top.
type hashHeap []hashedCaller

func (h hashHeap) Len() int           { return len(h) }
func (h hashHeap) Less(i, j int) bool { return h[i].hash > h[j].hash }
func (h hashHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hashHeap) Push(x any) { *h = append(*h, x.(hashedCaller)) }

// Pop implements heap.Interface.
func (h *hashHeap) Pop() any {
	last := len(*h) - 1
	caller := (*h)[last]
	*h = (*h)[:last]
	return caller
}
