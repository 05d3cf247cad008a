package dataplane

import (
	"maps"
	"time"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/pool"
)

const (
	// secondsAtStart leaves room for records that are older than the shard.
	secondsAtStart = 1 << 20
	// pauseAfter without a tick means that the host may have missed what its
	// peers did. They take it for dead 2 s after its last heartbeat, which may
	// have been 500 ms before the pause.
	pauseAfter = time.Second
	// cautionAfterPause is the time in which every live peer is heard again.
	cautionAfterPause = 2 * time.Second
	// cautionAfterStart is the time in which a new host hears of suspended targets.
	cautionAfterStart = time.Second
	// synRepeats is the time in which a caller repeats a SYN three times, after 1, 3 and 7 s.
	synRepeats      = 8 * time.Second
	defaultMaxFlows = 1 << 20
	defaultMaxHeld  = 2048
)

// FlowShardConfig is what a flow shard is made of.
type FlowShardConfig struct {
	// ShardIndex and ShardCount say which part of the flows this instance owns.
	ShardIndex, ShardCount int
	// MaxFlows bounds the flow table; flows beyond it are steered but not remembered. Zero means 1,048,576.
	MaxFlows int
	// MaxHeldPackets bounds the packets that wait for other hosts. Zero means 2,048.
	MaxHeldPackets int
}

// FlowStats are the counts of one shard.
type FlowStats struct {
	// FlowsByTarget counts the flows that the shard knows, per target.
	FlowsByTarget map[pimentospread.TargetID]int
	// Records counts the records that the shard holds for the cell.
	Records int
	// Drops counts dropped packets by cause.
	Drops map[DropCause]int
	// RecordQueries counts the flows that holders were asked about, RecordedFlows the flows
	// that were recorded before their first packet was forwarded.
	RecordQueries, RecordedFlows int
	// Resets counts flows that were found silent.
	Resets int
	// Memory is the size of all tables.
	Memory pimentospread.Bytes
}

// FlowShard steers the packets of the flows of one shard. It is owned by one duty.
type FlowShard struct {
	deps FlowShardConfig
	view *View
	// active are the tables of the last view that was active on this host. New
	// flows go by them until the next view is active.
	active  map[pimentospread.ServiceID]*pool.Table
	flows   *flow.Table
	records *flow.Table
	holders holders
	// suspended are targets whose buckets may have records because the targets are or were avoided.
	suspended map[pimentospread.TargetID]suspension
	pending   pending
	mail      mail
	walk      walk
	silence   silence
	stats     FlowStats
	start     time.Time
	ticked    time.Time
	// cautiousUntil is the time until which every bucket counts as changed.
	// pausedUntil is the same after a pause, when the host takes no new flow: the
	// peers may have activated a release without it.
	cautiousUntil, pausedUntil time.Time
	// unsettledUntil is the time until which a repeated SYN may have gone by an earlier view.
	unsettledUntil time.Time
	leaving        bool
	// spill stands in for an entry of a full flow table.
	spill flow.Entry
}

// NewFlowShard returns a shard without a view, which drops every packet.
func NewFlowShard(deps FlowShardConfig) *FlowShard {
	deps.ShardCount = max(deps.ShardCount, 1)
	if deps.MaxFlows == 0 {
		deps.MaxFlows = defaultMaxFlows
	}
	if deps.MaxHeldPackets == 0 {
		deps.MaxHeldPackets = defaultMaxHeld
	}
	return &FlowShard{
		deps:      deps,
		active:    map[pimentospread.ServiceID]*pool.Table{},
		flows:     flow.NewTable(),
		records:   flow.NewTable(),
		suspended: map[pimentospread.TargetID]suspension{},
		pending:   pending{flows: map[pimentospread.FlowID]*heldFlow{}},
		mail:      newMail(deps),
		silence:   newSilence(),
		stats:     FlowStats{FlowsByTarget: map[pimentospread.TargetID]int{}, Drops: map[DropCause]int{}},
	}
}

// Configure takes a new view of the cell.
func (f *FlowShard) Configure(now time.Time, v *View, a *FlowActions) {
	if f.view == nil {
		f.begin(now)
	}
	old, oldHolders := f.view, f.holders
	f.view = v
	f.holders = newHolders(v.Self, v.LiveHosts)
	f.silence.within, f.walk.idle = longest(v)
	newlySuspended := f.suspend(now)
	if !v.Active || !old.steersLike(v) {
		f.unsettledUntil = now.Add(synRepeats)
	}
	if v.Active {
		f.active = make(map[pimentospread.ServiceID]*pool.Table, len(v.Services))
		for id, s := range v.Services {
			f.active[id] = s.Table
		}
	}
	if newlySuspended || old.Generation() != v.Generation() {
		f.walk.again()
		f.announceRecent(now, a)
	}
	if !oldHolders.same(&f.holders) {
		f.walk.repair()
		f.lostHosts(now, a)
		f.tellSuspended(now, a)
	}
}

// HandlePeerMessage takes a message from another host.
func (f *FlowShard) HandlePeerMessage(now time.Time, in pimentospread.Inbound, a *FlowActions) {
	if f.view == nil {
		return
	}
	switch m := in.Message.(type) {
	case *flow.RecordPut:
		f.recordPut(now, in.From, m, a)
	case *flow.RecordPutReply:
		f.recordPutReply(now, in.From, m, a)
	case *flow.RecordQuery:
		f.recordQuery(now, in.From, m, a)
	case *flow.RecordQueryReply:
		f.recordQueryReply(now, in.From, m, a)
	case *flow.RecordHandover:
		f.recordHandover(now, in.From, m, a)
	case *flow.SilenceQuery:
		f.silenceQuery(now, in.From, m, a)
	case *flow.SilenceReply:
		f.silenceReply(now, in.From, m)
	}
}

// Tick does what is due. The duty calls it every few milliseconds; a gap of
// one second counts as a pause of the host.
func (f *FlowShard) Tick(now time.Time, a *FlowActions) {
	if f.view == nil {
		return
	}
	f.noticePause(now)
	f.ticked = now
	f.expireBatches(now, a)
	f.walkOn(now, a)
	f.askSilent(now, a)
	f.flush(now, a)
}

// StartHandover starts the handover of the records to the hosts that stay.
func (f *FlowShard) StartHandover(now time.Time, _ *FlowActions) {
	f.leaving = true
	f.walk.handOver(now)
}

// HandoverDone reports whether the handover that Leave started is done.
func (f *FlowShard) HandoverDone() bool {
	return f.leaving && f.walk.handedOver && !f.mail.waits(kindHandover)
}

// Prepared reports whether the peers may rely on this shard's knowledge of the
// last view. The control duty announces a generation, and acknowledges the
// flag of a target, only once every shard is prepared. Before that, a host
// that takes a repeated SYN of a recent flow may not find its record.
func (f *FlowShard) Prepared() bool { return f.view != nil && !f.mail.waits(kindRecent) }

// Stats returns a copy of the counts.
func (f *FlowShard) Stats() FlowStats {
	s := f.stats
	s.Records = f.records.Len()
	s.Memory = f.flows.Size() + f.records.Size()
	s.FlowsByTarget = make(map[pimentospread.TargetID]int, len(f.stats.FlowsByTarget))
	for t, n := range f.stats.FlowsByTarget {
		s.FlowsByTarget[t] = n
	}
	s.Drops = make(map[DropCause]int, len(f.stats.Drops))
	for c, n := range f.stats.Drops {
		s.Drops[c] = n
	}
	return s
}

// steersLike reports whether new flows go to the same targets by both views.
func (v *View) steersLike(o *View) bool {
	return v != nil && v.Active == o.Active && v.Generation() == o.Generation() &&
		maps.Equal(v.Flagged, o.Flagged) && maps.Equal(v.Avoided, o.Avoided)
}

func (f *FlowShard) begin(now time.Time) {
	f.start, f.ticked = now, now
	f.cautiousUntil = now.Add(cautionAfterStart)
}

func (f *FlowShard) noticePause(now time.Time) {
	if now.Sub(f.ticked) > pauseAfter {
		f.ticked = now
		f.cautiousUntil = now.Add(cautionAfterPause)
		f.pausedUntil = f.cautiousUntil
	}
}

func (f *FlowShard) seconds(now time.Time) uint32 {
	return uint32(now.Sub(f.start)/time.Second) + secondsAtStart
}

func (f *FlowShard) drop(cause DropCause, a *FlowActions) {
	f.stats.Drops[cause]++
	a.Drops = append(a.Drops, cause)
}
