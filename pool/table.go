package pool

import (
	"encoding/binary"
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"pimentospread"
)

const (
	minBuckets       = 4096
	bucketsPerTarget = 256
)

// Choice is what the table says of one flow.
type Choice struct {
	// Current takes new flows of the current epoch.
	Current pimentospread.TargetID
	// Previous takes new flows of the epoch before the current one.
	Previous pimentospread.TargetID
	// Default holds the flow if no record says otherwise.
	Default pimentospread.TargetID
	// Changed says that epochs disagree, so that a record may exist.
	Changed bool
}

// Table maps flows to targets. Every host that has the same pool and seed derives the same table.
type Table struct {
	choices []Choice
	targets map[pimentospread.TargetID]Target
}

// NewTable derives the table of a published pool.
func NewTable(p Pool, seed uint64) *Table {
	t := &Table{
		choices: make([]Choice, bucketCount(len(p.Targets))),
		targets: make(map[pimentospread.TargetID]Target, len(p.Targets)),
	}
	for _, g := range p.Targets {
		t.targets[g.ID] = g
	}
	for i := range t.choices {
		t.choices[i] = t.choose(p.Epochs, seed, uint64(i))
	}
	return t
}

func bucketCount(targets int) int {
	n := max(minBuckets, targets*bucketsPerTarget)
	return 1 << bits.Len(uint(n-1))
}

func (t *Table) choose(epochs []Epoch, seed, bucket uint64) Choice {
	var c Choice
	for _, e := range epochs {
		best := t.best(e, seed, bucket)
		if best == 0 {
			continue
		}
		if c.Default == 0 {
			c.Default = best
		}
		c.Changed = c.Changed || best != c.Default
		c.Previous, c.Current = c.Current, best
	}
	if c.Previous == 0 {
		c.Previous = c.Current
	}
	return c
}

func (t *Table) best(e Epoch, seed, bucket uint64) pimentospread.TargetID {
	var best pimentospread.TargetID
	high := math.Inf(-1)
	for _, id := range e.Members {
		g, ok := t.targets[id]
		if !ok {
			continue
		}
		if s := score(seed, bucket, g); s > high {
			best, high = id, s
		}
	}
	return best
}

// score is the weighted rendezvous score of a target for a bucket.
func score(seed, bucket uint64, t Target) float64 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:8], seed)
	binary.BigEndian.PutUint64(b[8:], bucket)
	binary.BigEndian.PutUint32(b[16:], uint32(t.ID))
	unit := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -float64(max(t.Weight, 1)) / math.Log(unit)
}

// Lookup returns what the table says of the flow.
func (t *Table) Lookup(f pimentospread.FlowID) Choice {
	return t.choices[uint64(f)>>32&uint64(len(t.choices)-1)]
}

// Target returns a target of the pool.
func (t *Table) Target(id pimentospread.TargetID) (Target, bool) {
	g, ok := t.targets[id]
	return g, ok
}
