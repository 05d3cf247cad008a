package flow

import (
	"math/bits"
	"unsafe"

	"pimentospread"
)

const (
	minSlots = 64
	// The table grows by half when it is 4/5 full, so that it is still more than
	// half full afterwards. This keeps the memory for each flow below 100 bytes at
	// every size of the table.
	maxLoadNumerator, maxLoadDenominator = 4, 5
)

// FlagSet is a bit set of the flags of a flow.
type FlagSet uint8

// Flags of a flow.
const (
	// Confirmed is set once a packet other than the SYN has passed this host in
	// either direction, or at the SYN if every host chooses the same target.
	Confirmed FlagSet = 1 << iota
	// Recorded is set once a holder has stored the target of the flow.
	Recorded
	// ClosedByCaller is set once the caller has sent a FIN or either side a RST.
	ClosedByCaller
	// ClosedByTarget is set once the target has sent a FIN or either side a RST.
	ClosedByTarget
	// SentOnce is set if the caller has sent a packet since the last packet from the target.
	SentOnce
	// SentRepeatedly is set if the caller has sent at least two packets since the
	// last packet from the target.
	SentRepeatedly
)

// Entry is the state of one flow. It holds no pointers, so that the garbage
// collector does not scan the table. Times are in seconds since an origin that
// the owner of the table defines.
type Entry struct {
	ID      pimentospread.FlowID
	Target  pimentospread.TargetID
	Service pimentospread.ServiceID
	// LastSeen is the time of the last packet. For a record it is also the time of
	// the last message from another host about it.
	LastSeen uint32
	// LastAnswer is the time of the last packet from the target; zero means none.
	LastAnswer uint32
	// FirstUnanswered is the time of the first packet to the target since the last
	// packet from it.
	FirstUnanswered uint32
	// VisitRound is the announcement or repair round in which the background scan
	// last visited the entry.
	VisitRound uint8
	// Primary is the holder that the writer of a record ranked first.
	Primary HostTag
	// FirstSeen is the lowest byte of the time of the first packet.
	FirstSeen uint8
	Flags     FlagSet
}

// Has reports whether all the given flags are set.
func (e *Entry) Has(flags FlagSet) bool { return e.Flags&flags == flags }

// Closed reports whether both sides have closed the flow or one has reset it.
func (e *Entry) Closed() bool { return e.Has(ClosedByCaller | ClosedByTarget) }

// Table is a hash table of flows by their ID with open addressing and
// linear probing. A slot whose entry has no target is free. A pointer to an entry
// is valid until the next Put or Delete.
type Table struct {
	entries []Entry
	length  int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make([]Entry, minSlots)} }

// Len returns the number of flows.
func (t *Table) Len() int { return t.length }

// Slots returns the number of slots; At accepts indexes below it.
func (t *Table) Slots() int { return len(t.entries) }

// Size returns the memory that the slots take.
func (t *Table) Size() pimentospread.Bytes {
	return pimentospread.Bytes(len(t.entries)) * pimentospread.Bytes(unsafe.Sizeof(Entry{}))
}

// homeSlot returns the slot at which the search for a flow starts. The
// multiplication mixes the ID again, because all flows of a shard or a
// bucket share some of its bits.
func (t *Table) homeSlot(id pimentospread.FlowID) int {
	high, _ := bits.Mul64(uint64(id)*0x9e3779b97f4a7c15, uint64(len(t.entries)))
	return int(high)
}

func (t *Table) nextSlot(i int) int {
	if i++; i == len(t.entries) {
		return 0
	}
	return i
}

// Get returns the entry of the flow, or nil.
func (t *Table) Get(id pimentospread.FlowID) *Entry {
	for i := t.homeSlot(id); ; i = t.nextSlot(i) {
		e := &t.entries[i]
		if e.Target == 0 {
			return nil
		}
		if e.ID == id {
			return e
		}
	}
}

// At returns the entry in a slot, or nil if the slot is free.
func (t *Table) At(i int) *Entry {
	if e := &t.entries[i]; e.Target != 0 {
		return e
	}
	return nil
}

// Put adds or replaces the entry of a flow. The entry must have a target.
func (t *Table) Put(e Entry) *Entry {
	if old := t.Get(e.ID); old != nil {
		*old = e
		return old
	}
	if (t.length+1)*maxLoadDenominator > len(t.entries)*maxLoadNumerator {
		t.grow()
	}
	t.length++
	return t.insert(e)
}

func (t *Table) insert(e Entry) *Entry {
	i := t.homeSlot(e.ID)
	for t.entries[i].Target != 0 {
		i = t.nextSlot(i)
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

// Delete removes a flow. A later entry may move to the freed slot, so a scan has
// to visit the same slot again.
func (t *Table) Delete(id pimentospread.FlowID) {
	i := t.homeSlot(id)
	for t.entries[i].ID != id || t.entries[i].Target == 0 {
		if t.entries[i].Target == 0 {
			return
		}
		i = t.nextSlot(i)
	}
	t.length--
	for j := t.nextSlot(i); t.entries[j].Target != 0; j = t.nextSlot(j) {
		if t.mayMove(i, t.homeSlot(t.entries[j].ID), j) {
			t.entries[i] = t.entries[j]
			i = j
		}
	}
	t.entries[i] = Entry{}
}

// mayMove reports whether the entry in slot j with home slot h may move to the
// free slot i, that is, whether i lies between h and j.
func (t *Table) mayMove(i, h, j int) bool {
	n := len(t.entries)
	return (j-h+n)%n >= (j-i+n)%n
}
