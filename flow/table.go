package flow

import (
	"math/bits"
	"unsafe"

	"pimentospread"
)

const (
	minSlots = 64
	// The table grows by half at 4/5 full. It is then more than half full
	// after growth, which keeps a held flow under 100 bytes at every size.
	fullNumerator, fullDenominator = 4, 5
)

// FlagSet is a set of facts about a flow.
type FlagSet uint8

// Marks of a flow.
const (
	// Confirmed flows have sent a packet other than the SYN through this host, in either direction.
	Confirmed FlagSet = 1 << iota
	// Recorded flows have their target written at a holder.
	Recorded
	// ClosedByCaller flows have sent a FIN to the target.
	ClosedByCaller
	// ClosedByTarget flows have sent a FIN to the caller.
	ClosedByTarget
	// SentOnce flows have sent a packet to the target since the last answer packet.
	SentOnce
	// SentRepeatedly flows have sent at least two.
	SentRepeatedly
)

// Entry is what a host knows of one flow. It holds no pointers, so that the
// garbage collector does not scan the table. Times are in seconds on the owner's scale.
type Entry struct {
	ID      pimentospread.FlowID
	Target  pimentospread.TargetID
	Service pimentospread.ServiceID
	// LastSeen is the time of the last packet, or of the last word from another host about a record.
	LastSeen uint32
	// LastAnswer is the time of the last answer packet; zero means none.
	LastAnswer uint32
	// FirstUnanswered is the time of the first packet to the target since the last answer packet.
	FirstUnanswered uint32
	// VisitRound is the announcement round in which the flow was last visited.
	VisitRound uint8
	// Primary is the first holder by the writer of a record.
	Primary HostTag
	// FirstSeen is the lowest byte of the time at which the flow was first seen.
	FirstSeen uint8
	// Flags are facts about the flow.
	Flags FlagSet
}

// Has reports whether all the marks are set.
func (e *Entry) Has(m FlagSet) bool { return e.Flags&m == m }

// Closed reports whether both ends have closed the flow.
func (e *Entry) Closed() bool { return e.Has(ClosedByCaller | ClosedByTarget) }

// Table holds flows by their identifier: open addressing with linear probing.
// An entry without a target is free. A pointer to an entry is valid until the
// next Put or Delete.
type Table struct {
	entries []Entry
	length  int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make([]Entry, minSlots)} }

// Len returns the number of flows.
func (t *Table) Len() int { return t.length }

// Slots returns the number of positions that At accepts.
func (t *Table) Slots() int { return len(t.entries) }

// Size returns the memory of the table.
func (t *Table) Size() pimentospread.Bytes {
	return pimentospread.Bytes(len(t.entries)) * pimentospread.Bytes(unsafe.Sizeof(Entry{}))
}

// home is the first position to look at. The multiplication spreads the
// identifier again, because the shard and the bucket use parts of it.
func (t *Table) home(id pimentospread.FlowID) int {
	high, _ := bits.Mul64(uint64(id)*0x9e3779b97f4a7c15, uint64(len(t.entries)))
	return int(high)
}

func (t *Table) next(i int) int {
	if i++; i == len(t.entries) {
		return 0
	}
	return i
}

// Get returns the entry of the flow, or nil.
func (t *Table) Get(id pimentospread.FlowID) *Entry {
	for i := t.home(id); ; i = t.next(i) {
		e := &t.entries[i]
		if e.Target == 0 {
			return nil
		}
		if e.ID == id {
			return e
		}
	}
}

// At returns the entry at a position, or nil when it is free.
func (t *Table) At(i int) *Entry {
	if e := &t.entries[i]; e.Target != 0 {
		return e
	}
	return nil
}

// Put adds or replaces the entry of a flow, which must have a target.
func (t *Table) Put(e Entry) *Entry {
	if old := t.Get(e.ID); old != nil {
		*old = e
		return old
	}
	if (t.length+1)*fullDenominator > len(t.entries)*fullNumerator {
		t.grow()
	}
	t.length++
	return t.insert(e)
}

func (t *Table) insert(e Entry) *Entry {
	i := t.home(e.ID)
	for t.entries[i].Target != 0 {
		i = t.next(i)
	}
	t.entries[i] = e
	return &t.entries[i]
}

func (t *Table) grow() {
	old := t.entries
	t.entries = make([]Entry, len(old)+len(old)/2)
	for _, e := range old {
		if e.Target != 0 {
			t.insert(e)
		}
	}
}

// Delete removes a flow. Entries behind it move up, so a scan looks at the same position again.
func (t *Table) Delete(id pimentospread.FlowID) {
	i := t.home(id)
	for t.entries[i].ID != id || t.entries[i].Target == 0 {
		if t.entries[i].Target == 0 {
			return
		}
		i = t.next(i)
	}
	t.length--
	for j := t.next(i); t.entries[j].Target != 0; j = t.next(j) {
		if t.between(i, t.home(t.entries[j].ID), j) {
			t.entries[i] = t.entries[j]
			i = j
		}
	}
	t.entries[i] = Entry{}
}

// between reports whether an entry at j whose home is h may move up to the hole at i.
func (t *Table) between(i, h, j int) bool {
	n := len(t.entries)
	return (j-h+n)%n >= (j-i+n)%n
}
