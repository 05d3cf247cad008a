package pool

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

const (
	// minBuckets is the minimum number of buckets of a pool. The relative deviation
	// of a target's share is one over the square root of the number of its buckets.
	// With 14 targets, 16384 buckets leave most of the allowed imbalance of 1.10 to
	// the variation of 2,000 flows per target.
	minBuckets = 16384
	// minBucketsPerTarget is the number of buckets per target below which the
	// number of buckets of a pool grows.
	minBucketsPerTarget = 256
	// bucketsPerTarget is the minimum number of buckets per target of a new pool. The
	// number of targets can double before the number of buckets has to grow.
	bucketsPerTarget = 512
)

// Choice holds the targets of one flow according to the table.
type Choice struct {
	// Current is the target of new flows in the current epoch, or zero when no target takes any.
	Current pimentospread.TargetID
	// Previous is the target of new flows in the epoch before the current one.
	Previous pimentospread.TargetID
	// Default is the target of an established flow without a record.
	Default pimentospread.TargetID
	// Changed is true if the epochs have different targets, so that the flow may have a record.
	Changed bool
}

// Table maps flows to targets. The hash of a flow selects a bucket, and each bucket has
// one choice. All hosts derive the same table from the same pool and seed.
type Table struct {
	choices []Choice
	targets map[pimentospread.TargetID]Target
	// addresses duplicates the flow addresses, because copying a whole Target for each packet is slow.
	addresses map[pimentospread.TargetID]netip.AddrPort
	// current is the newest epoch.
	current epochTable
}

// epochTable is an epoch without the targets that the pool no longer has.
type epochTable struct {
	members []pimentospread.TargetID
	// weights is empty when all members have the same weight.
	weights []pimentospread.Weight
	seed    uint64
	mask    uint64
	ended   bool
}

// NewTable derives the table of a published pool.
func NewTable(p Pool, seed uint64) *Table {
	t := &Table{
		targets:   make(map[pimentospread.TargetID]Target, len(p.Targets)),
		addresses: make(map[pimentospread.TargetID]netip.AddrPort, len(p.Targets)),
	}
	for _, g := range p.Targets {
		t.targets[g.ID] = g
		t.addresses[g.ID] = g.FlowAddress
	}
	epochs := make([]epochTable, 0, len(p.Epochs))
	buckets := 1
	for _, e := range p.Epochs {
		x := t.epoch(e, seed)
		epochs = append(epochs, x)
		buckets = max(buckets, int(x.mask)+1)
		t.current = x
	}
	t.choices = make([]Choice, buckets)
	for i := range t.choices {
		t.choices[i] = choose(epochs, uint64(i))
	}
	return t
}

// epoch derives the epochTable of an epoch.
func (t *Table) epoch(e Epoch, seed uint64) epochTable {
	x := epochTable{seed: seed, ended: e.Ended, mask: uint64(bucketCount(len(t.targets))) - 1}
	if e.Buckets > 0 {
		x.mask = uint64(1)<<bits.Len(uint(e.Buckets-1)) - 1
	}
	for i, id := range e.Members {
		if _, ok := t.targets[id]; ok {
			x.members = append(x.members, id)
			x.weights = append(x.weights, e.weight(i))
		}
	}
	if len(x.weights) > 0 && slices.Max(x.weights) == slices.Min(x.weights) {
		x.weights = nil
	}
	return x
}

// bucketCount returns the number of buckets of a new pool, a power of two.
func bucketCount(targets int) int {
	n := max(minBuckets, targets*bucketsPerTarget)
	return 1 << bits.Len(uint(n-1))
}

// choose returns the choice for a bucket.
func choose(epochs []epochTable, bucket uint64) Choice {
	var c Choice
	var first pimentospread.TargetID
	for i, e := range epochs {
		best := e.best(bucket, nil)
		if i == len(epochs)-1 {
			c.Current = best
		} else if best != 0 {
			c.Previous = best
		}
		if best == 0 {
			continue
		}
		if first == 0 {
			first = best
		}
		c.Changed = c.Changed || best != first
		if c.Default == 0 && !e.ended {
			c.Default = best
		}
	}
	if c.Previous == 0 {
		c.Previous = c.Current
	}
	if c.Default == 0 {
		c.Default = c.Previous
	}
	return c
}

// best returns the member with the highest weighted rendezvous score among those that are not excluded, or zero.
func (e *epochTable) best(bucket uint64, excluded map[pimentospread.TargetID]bool) pimentospread.TargetID {
	var best pimentospread.TargetID
	high := math.Inf(-1)
	for i, id := range e.members {
		if len(excluded) > 0 && excluded[id] {
			continue
		}
		if s := e.score(bucket&e.mask, i); s > high {
			best, high = id, s
		}
	}
	return best
}

// score returns the weighted rendezvous score of a member for a bucket. It omits the
// logarithm when all weights are equal. The order stays the same, and deriving a
// table is several times faster.
func (e *epochTable) score(bucket uint64, member int) float64 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:8], e.seed)
	binary.BigEndian.PutUint64(b[8:], bucket)
	binary.BigEndian.PutUint32(b[16:], uint32(e.members[member]))
	unit := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	if len(e.weights) == 0 {
		return unit
	}
	return -float64(e.weights[member]) / math.Log(unit)
}

// bucketOf returns the bucket of a flow before it is reduced to the size of a table.
func bucketOf(f pimentospread.FlowID) uint64 { return uint64(f) >> 32 }

// Lookup returns the targets of the flow.
func (t *Table) Lookup(f pimentospread.FlowID) Choice {
	return t.choices[bucketOf(f)&uint64(len(t.choices)-1)]
}

// TargetExcluding returns the target of the flow in the current epoch without the
// excluded targets, or zero when none is left.
func (t *Table) TargetExcluding(f pimentospread.FlowID, excluded map[pimentospread.TargetID]bool) pimentospread.TargetID {
	return t.current.best(bucketOf(f), excluded)
}

// Target returns a target of the pool.
func (t *Table) Target(id pimentospread.TargetID) (Target, bool) {
	g, ok := t.targets[id]
	return g, ok
}

// Address returns the flow address of a target of the pool.
func (t *Table) Address(id pimentospread.TargetID) (netip.AddrPort, bool) {
	a, ok := t.addresses[id]
	return a, ok
}
