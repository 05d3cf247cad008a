package dataplane

import (
	"maps"
	"time"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/pool"
)

const (
	// initialSeconds is the time of the shard's clock at its start. It leaves room
	// for records that are older than the shard.
	initialSeconds = 1 << 20
	// pauseThreshold is the time without a tick after which the host may have
	// missed actions of its peers. They consider it dead 2 s after its last
	// heartbeat, which may have been sent 500 ms before the pause.
	pauseThreshold = time.Second
	// assumeRecordsAfterPause is the time in which a message from every peer that is alive arrives again.
	assumeRecordsAfterPause = 2 * time.Second
	// assumeRecordsAfterStart is the time in which a new host receives the suspended targets.
	assumeRecordsAfterStart = time.Second
	// synRetransmissionPeriod covers the first three retransmissions of a SYN, after 1, 3 and 7 s.
	synRetransmissionPeriod = 8 * time.Second
	defaultMaxFlows         = 1 << 20
	defaultMaxHeldPackets   = 2048
)

// FlowShardConfig configures a flow shard.
type FlowShardConfig struct {
	// ShardIndex and ShardCount define which part of the flows the shard owns.
	ShardIndex, ShardCount int
	// MaxFlows bounds the flow table. Flows beyond it are steered but not stored. Zero means 1,048,576.
	MaxFlows int
	// MaxHeldPackets bounds the packets that are held for replies of other hosts. Zero means 2,048.
	MaxHeldPackets int
}

// FlowStats holds the counts of one shard.
type FlowStats struct {
	// FlowsByTarget counts the flows in the flow table of the shard, by target.
	FlowsByTarget map[pimentospread.TargetID]int
	// Records counts the records that the shard keeps as a holder.
	Records int
	// Drops counts dropped packets by cause.
	Drops map[DropCause]int
	// RecordQueries counts the flows whose holders were queried. RecordedFlows
	// counts the flows that were recorded before their first packet was forwarded.
	RecordQueries, RecordedFlows int
	// Resets counts the flows that were reset because their target stopped answering.
	Resets int
	// Memory is the size of the flow and record tables.
	Memory pimentospread.Bytes
}

// FlowShard steers the packets of one shard's flows. It is not safe for
// concurrent use; each shard belongs to one duty.
type FlowShard struct {
	config FlowShardConfig
	view   *View
	// activeTables are the tables of the last view that was active on this host.
	// They place new flows until the next view is active.
	activeTables map[pimentospread.ServiceID]*pool.Table
	flows        *flow.Table
	records      *flow.Table
	holders      holderRanking
	// suspended holds the targets whose buckets may have records because the targets are or were avoided.
	suspended map[pimentospread.TargetID]suspension
	pending   pendingFlows
	batcher   peerBatcher
	scan      backgroundScan
	silence   silenceDetector
	stats     FlowStats
	startedAt time.Time
	lastTick  time.Time
	// assumeRecordsUntil is the time until which every bucket counts as changed.
	// pausedUntil is the time until which the host accepts no new flow after a
	// pause, because its peers may have activated a release without it.
	assumeRecordsUntil, pausedUntil time.Time
	// synRetransmissionsUntil is the time until which a retransmitted SYN may belong to a flow
	// that was placed by an earlier view.
	synRetransmissionsUntil time.Time
	leaving                 bool
	// overflowEntry holds the entry of the current flow when the flow table is full.
	overflowEntry flow.Entry
}

// NewFlowShard returns a shard without a view. It drops every packet until Configure is called.
func NewFlowShard(config FlowShardConfig) *FlowShard {
	config.ShardCount = max(config.ShardCount, 1)
	if config.MaxFlows == 0 {
		config.MaxFlows = defaultMaxFlows
	}
	if config.MaxHeldPackets == 0 {
		config.MaxHeldPackets = defaultMaxHeldPackets
	}
	return &FlowShard{
		config:       config,
		activeTables: map[pimentospread.ServiceID]*pool.Table{},
		flows:        flow.NewTable(),
		records:      flow.NewTable(),
		suspended:    map[pimentospread.TargetID]suspension{},
		pending:      pendingFlows{flows: map[pimentospread.FlowID]*pendingFlow{}},
		batcher:      newPeerBatcher(config),
		silence:      newSilenceDetector(),
		stats:        FlowStats{FlowsByTarget: map[pimentospread.TargetID]int{}, Drops: map[DropCause]int{}},
	}
}

// Configure replaces the view of the cell.
func (f *FlowShard) Configure(now time.Time, v *View, a *FlowActions) {
	if f.view == nil {
		f.initializeClock(now)
	}
	old, oldHolders := f.view, f.holders
	f.view = v
	f.holders = newHolderRanking(v.Self, v.LiveHosts)
	f.silence.answerWindow, f.scan.idleTimeout = longestTimeouts(v)
	newlySuspended := f.suspendFlaggedTargets(now)
	if !v.Active || !old.steersNewFlowsLike(v) {
		f.synRetransmissionsUntil = now.Add(synRetransmissionPeriod)
	}
	if v.Active {
		f.activeTables = make(map[pimentospread.ServiceID]*pool.Table, len(v.Services))
		for id, s := range v.Services {
			f.activeTables[id] = s.Table
		}
	}
	if newlySuspended || old.Generation() != v.Generation() {
		f.scan.startRound()
		f.announceRecent(now, a)
	}
	if !oldHolders.sameHosts(&f.holders) {
		f.scan.startRepairRound()
		f.dropLostHosts(now, a)
		f.sendSuspended(now, a)
	}
}

// HandlePeerMessage handles a message from another host.
func (f *FlowShard) HandlePeerMessage(now time.Time, in pimentospread.Inbound, a *FlowActions) {
	if f.view == nil {
		return
	}
	switch m := in.Message.(type) {
	case *flow.RecordPut:
		f.handleRecordPut(now, in.From, m, a)
	case *flow.RecordPutReply:
		f.handleRecordPutReply(now, in.From, m, a)
	case *flow.RecordQuery:
		f.handleRecordQuery(now, in.From, m, a)
	case *flow.RecordQueryReply:
		f.handleRecordQueryReply(now, in.From, m, a)
	case *flow.RecordHandover:
		f.handleRecordHandover(now, in.From, m, a)
	case *flow.SilenceQuery:
		f.handleSilenceQuery(now, in.From, m, a)
	case *flow.SilenceReply:
		f.handleSilenceReply(now, in.From, m)
	}
}

// Tick performs the work that is due. It must be called every few milliseconds;
// a gap of one second counts as a pause of the host.
func (f *FlowShard) Tick(now time.Time, a *FlowActions) {
	if f.view == nil {
		return
	}
	f.recoverFromPause(now)
	f.lastTick = now
	f.expireBatches(now, a)
	f.runScan(now, a)
	f.processSuspects(now, a)
	f.sendDueBatches(now, a)
}

// StartHandover starts the handover of the records to the remaining hosts.
func (f *FlowShard) StartHandover(now time.Time, _ *FlowActions) {
	f.leaving = true
	f.scan.startHandover(now)
}

// HandoverDone reports whether the handover that StartHandover began is complete.
func (f *FlowShard) HandoverDone() bool {
	return f.leaving && f.scan.handedOver && !f.batcher.hasUnfinished(kindHandover)
}

// Prepared reports whether the shard has finished applying the last view. The
// control plane announces a generation, and acknowledges the flag of a target,
// only when every shard is prepared. Before that, a host that receives a
// retransmitted SYN of a recent flow may not find its record.
func (f *FlowShard) Prepared() bool { return f.view != nil && !f.batcher.hasUnfinished(kindRecent) }

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

// steersNewFlowsLike reports whether both views place new flows on the same targets.
func (v *View) steersNewFlowsLike(o *View) bool {
	return v != nil && v.Active == o.Active && v.Generation() == o.Generation() &&
		maps.Equal(v.Flagged, o.Flagged) && maps.Equal(v.Avoided, o.Avoided)
}

func (f *FlowShard) initializeClock(now time.Time) {
	f.startedAt, f.lastTick = now, now
	f.assumeRecordsUntil = now.Add(assumeRecordsAfterStart)
}

// recoverFromPause runs before a packet is steered and on each tick. If the last
// tick was more than pauseThreshold ago, the shard assumes for
// assumeRecordsAfterPause that every flow may have a record, and drops the packets
// of new flows and of flows whose record it would have to query.
func (f *FlowShard) recoverFromPause(now time.Time) {
	if now.Sub(f.lastTick) > pauseThreshold {
		f.lastTick = now
		f.assumeRecordsUntil = now.Add(assumeRecordsAfterPause)
		f.pausedUntil = f.assumeRecordsUntil
	}
}

func (f *FlowShard) seconds(now time.Time) uint32 {
	return uint32(now.Sub(f.startedAt)/time.Second) + initialSeconds
}

func (f *FlowShard) drop(cause DropCause, a *FlowActions) {
	f.stats.Drops[cause]++
	a.Drops = append(a.Drops, cause)
}
