package pool

import (
	"slices"
	"time"

	"pimentospread"
)

// maxEpochs bounds the size of a release and of the work to derive a table.
// Only epochs that have ended are dropped for it.
const maxEpochs = 32

// Epoch is a set of targets that took new flows at the same time. It keeps
// the weights and the number of buckets, because a later change of either
// must not move the flows of an earlier epoch.
type Epoch struct {
	Members []pimentospread.TargetID `json:"Members"`
	// Weights belong to the members in order; none means that all are equal.
	Weights []pimentospread.Weight `json:"Weights,omitempty"`
	// Buckets is the number of buckets, a power of two; zero means the number that suits the pool.
	Buckets int `json:"Buckets,omitempty"`
	// Until is the time at which the next epoch was published; zero in the current one.
	Until time.Time `json:"Until,omitzero"`
	// Ended epochs no longer give the default. Their flows that go on have
	// records, so their buckets still count as changed.
	Ended bool `json:"Ended,omitempty"`
}

// NextEpochs returns the epochs of the next release of a pool whose targets
// have their identifiers. previous is the pool of the release before, or nil;
// now is the time at which the next release is published.
func NextEpochs(previous *Pool, next Pool, now time.Time, idleTimeout time.Duration) []Epoch {
	var epochs []Epoch
	if previous != nil {
		epochs = slices.Clone(previous.Epochs)
	}
	current := currentEpoch(next)
	if len(epochs) > 0 {
		last := &epochs[len(epochs)-1]
		current.Buckets = growBuckets(last.Buckets, len(next.Targets))
		if !last.same(current) {
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

// growBuckets keeps the number of buckets while it suffices, because another
// number moves half of all new flows away from their default.
func growBuckets(buckets, targets int) int {
	if buckets >= targets*minBucketsPerTarget {
		return buckets
	}
	return bucketCount(targets)
}

func (e Epoch) same(o Epoch) bool {
	return slices.Equal(e.Members, o.Members) && slices.Equal(e.Weights, o.Weights) && e.Buckets == o.Buckets
}

// prune drops epochs that give the same table as a later neighbour once
// removed targets are left out, and then the oldest ended ones above the bound.
func prune(epochs []Epoch, p Pool) []Epoch {
	kept := make([]Epoch, 0, len(epochs))
	for _, e := range epochs {
		if n := len(kept); n > 0 {
			if a := kept[n-1].existing(p); len(a.Members) == 0 || a.same(e.existing(p)) {
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

// existing returns the epoch without targets that the pool no longer has.
func (e Epoch) existing(p Pool) Epoch {
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

func (e Epoch) weight(i int) pimentospread.Weight {
	if i < len(e.Weights) {
		return max(e.Weights[i], 1)
	}
	return 1
}
