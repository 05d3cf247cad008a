package pool

import (
	"slices"
	"time"

	"pimentospread"
)

// maxEpochs bounds the size of a release and the time to derive a table. Only
// epochs that have ended are dropped to stay within the bound.
const maxEpochs = 32

// Epoch is a set of targets that accepted new flows over the same period. It
// includes the weights and the number of buckets, because a later change of either
// must not move the flows of the epoch.
type Epoch struct {
	// Members are the targets of the epoch, sorted by ID.
	Members []pimentospread.TargetID `json:"Members"`
	// Weights are the weights of the members, in the same order. They are omitted when all are equal.
	Weights []pimentospread.Weight `json:"Weights,omitempty"`
	// Buckets is the number of buckets, a power of two. Zero selects it by the number of targets.
	Buckets int `json:"Buckets,omitempty"`
	// Until is the time at which the next epoch was published, or zero in the current epoch.
	Until time.Time `json:"Until,omitzero"`
	// Ended is true when the idle timeout has passed since Until. Ended epochs no
	// longer determine Choice.Default. Their remaining flows have records, so their
	// buckets still count as changed.
	Ended bool `json:"Ended,omitempty"`
}

// NextEpochs returns the epochs of the pool next in the release that is published
// at now. The targets of next need their IDs. previous is the pool in the release
// before, or nil.
func NextEpochs(previous *Pool, next Pool, now time.Time, idleTimeout time.Duration) []Epoch {
	var epochs []Epoch
	if previous != nil {
		epochs = slices.Clone(previous.Epochs)
	}
	current := currentEpoch(next)
	if len(epochs) > 0 {
		last := &epochs[len(epochs)-1]
		current.Buckets = growBuckets(last.Buckets, len(next.Targets))
		if !last.equal(current) {
			last.Until = now
			epochs = append(epochs, current)
		}
	} else {
		epochs = []Epoch{current}
	}
	for i := range epochs[:len(epochs)-1] {
		epochs[i].Ended = !epochs[i].Until.Add(idleTimeout).After(now)
	}
	return prune(epochs, next)
}

// currentEpoch returns the epoch of the targets that take new flows.
func currentEpoch(p Pool) Epoch {
	targets := slices.Clone(p.Targets)
	slices.SortFunc(targets, func(a, b Target) int { return int(int64(a.ID) - int64(b.ID)) })
	e := Epoch{Buckets: bucketCount(len(targets))}
	equal := true
	for _, t := range targets {
		if t.State == Draining {
			continue
		}
		e.Members = append(e.Members, t.ID)
		e.Weights = append(e.Weights, max(t.Weight, 1))
		equal = equal && max(t.Weight, 1) == e.Weights[0]
	}
	if equal {
		e.Weights = nil
	}
	return e
}

// growBuckets returns the number of buckets for the targets. It keeps the present
// number while that suffices, because a change moves half of all new flows away
// from their default.
func growBuckets(buckets, targets int) int {
	if buckets >= targets*minBucketsPerTarget {
		return buckets
	}
	return bucketCount(targets)
}

func (e Epoch) equal(o Epoch) bool {
	return slices.Equal(e.Members, o.Members) && slices.Equal(e.Weights, o.Weights) && e.Buckets == o.Buckets
}

// prune drops epochs that are empty or equal to the next epoch once removed targets
// are left out, and then the oldest ended epochs in excess of maxEpochs.
func prune(epochs []Epoch, p Pool) []Epoch {
	kept := make([]Epoch, 0, len(epochs))
	for _, e := range epochs {
		if n := len(kept); n > 0 {
			if a := kept[n-1].withoutRemoved(p); len(a.Members) == 0 || a.equal(e.withoutRemoved(p)) {
				kept = kept[:n-1]
			}
		}
		kept = append(kept, e)
	}
	for len(kept) > maxEpochs && kept[0].Ended {
		kept = kept[1:]
	}
	return kept
}

// withoutRemoved returns the epoch without the targets that the pool no longer has.
func (e Epoch) withoutRemoved(p Pool) Epoch {
	r := Epoch{Buckets: e.Buckets}
	equal := true
	for i, id := range e.Members {
		if _, ok := p.ByID(id); !ok {
			continue
		}
		r.Members = append(r.Members, id)
		r.Weights = append(r.Weights, e.weight(i))
		equal = equal && e.weight(i) == r.Weights[0]
	}
	if equal {
		r.Weights = nil
	}
	return r
}

// weight returns the weight of the member with index i.
func (e Epoch) weight(i int) pimentospread.Weight {
	if i < len(e.Weights) {
		return max(e.Weights[i], 1)
	}
	return 1
}
