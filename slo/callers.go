package slo

import (
	"container/heap"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

// maxCallers bounds the callers that a host remembers for a service in each of
// the two halves of the long window. A caller takes 32 bytes and its map slot.
const maxCallers = 1024

// Callers is the weighted work that was delivered to each caller. Callers that
// got nothing are in it with zero.
type Callers struct {
	Work map[pimentospread.CallerID]uint64 `json:"Work"`
	// HashLimit is the bound of a sample: only callers whose hash is below it are
	// in Work. All hosts use the same hash, so each caller in the sample has
	// its work from all hosts. The highest value means that no caller was left out.
	HashLimit uint64 `json:"Below,string"`
}

// CallerSummary is the distribution of the work over the callers of a service.
type CallerSummary struct {
	Callers int `json:"Callers"`
	// Sampled says that the callers are a random sample of all callers.
	Sampled bool    `json:"Sampled"`
	Least   float64 `json:"Least"`
	Median  float64 `json:"Median"`
	Most    float64 `json:"Most"`
	// Fairness is Jain's index: 1 when all callers got the same, 1/n when one
	// of n got everything, and 0 when nothing was delivered.
	Fairness float64 `json:"Fairness"`
}

// merge adds up the work of the callers that are below the bounds of both.
func (c Callers) merge(o Callers) Callers {
	m := Callers{Work: make(map[pimentospread.CallerID]uint64, len(c.Work)), HashLimit: min(c.HashLimit, o.HashLimit)}
	for _, work := range []map[pimentospread.CallerID]uint64{c.Work, o.Work} {
		for id, n := range work {
			if m.HashLimit == math.MaxUint64 || callerHash(id) < m.HashLimit {
				m.Work[id] += n
			}
		}
	}
	return m
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
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	n := len(values)
	s.Least, s.Most = values[0], values[n-1]
	s.Median = (values[(n-1)/2] + values[n/2]) / 2
	if squares > 0 {
		s.Fairness = sum * sum / (float64(n) * squares)
	}
	return s
}

func callerHash(id pimentospread.CallerID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:])
}

// sample keeps the callers with the lowest hashes. A caller that is kept has
// been kept since its first request, so its work is exact.
type sample struct {
	Callers
	highest hashHeap
}

func newSample() *sample {
	return &sample{Callers: Callers{Work: map[pimentospread.CallerID]uint64{}, HashLimit: math.MaxUint64}}
}

func (s *sample) add(id pimentospread.CallerID, work uint64) {
	if _, kept := s.Work[id]; kept {
		s.Work[id] += work
		return
	}
	h := callerHash(id)
	if h >= s.HashLimit {
		return
	}
	s.Work[id] = work
	heap.Push(&s.highest, hashedCaller{h, id})
	if len(s.highest) <= maxCallers {
		return
	}
	out := heap.Pop(&s.highest).(hashedCaller)
	delete(s.Work, out.id)
	s.HashLimit = out.hash
}

type hashedCaller struct {
	hash uint64
	id   pimentospread.CallerID
}

// hashHeap has the caller with the highest hash first.
type hashHeap []hashedCaller

func (h hashHeap) Len() int           { return len(h) }
func (h hashHeap) Less(i, j int) bool { return h[i].hash > h[j].hash }
func (h hashHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a caller; container/heap calls it.
func (h *hashHeap) Push(x any) { *h = append(*h, x.(hashedCaller)) }

// Pop removes the last caller; container/heap calls it.
func (h *hashHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
