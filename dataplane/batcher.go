package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

const (
	// replyTimeout is the time after which a missing reply of a peer is given up.
	replyTimeout = 200 * time.Millisecond
	// batchInterval is the minimum time between two messages of a kind to one
	// peer. The first message is sent at once.
	batchInterval = 200 * time.Millisecond
	// putInterval is longer than batchInterval: at 200 ms and with seven peers,
	// the envelopes of puts and their replies took 5 of the 11 KB/s for control
	// traffic. The delay is acceptable because a SYN is retransmitted only after 1 s.
	putInterval = 500 * time.Millisecond
	// announceInterval is the longest, because no packet waits for an announcement.
	announceInterval = 2 * time.Second
	// maxBatchEntries keeps a frame far below its size limit.
	maxBatchEntries = 4096
)

// batchKind is the purpose of a batch.
type batchKind uint8

const (
	// kindPut records new flows.
	kindPut batchKind = iota
	// kindForce replaces conflicting records of a flow.
	kindForce
	// kindRecent sends the holders records of recent flows whose bucket has changed.
	kindRecent
	// kindHandover transfers the records of a leaving host to the remaining hosts.
	kindHandover
	// kindAnnounce sends records to holders in the background and expects no reply.
	kindAnnounce
	// kindQuery asks holders for records.
	kindQuery
	// kindSilence asks peers whether they saw an answer of a silent flow.
	kindSilence
	kindCount
)

// peerBatcher groups the records and queries of one shard into few messages to
// its peers, and tracks the replies that are due.
type peerBatcher struct {
	shardIndex, shardCount int
	nextNumber             flow.Batch
	outboxes               map[pimentospread.HostID]*outbox
	// hostOrder lists the peers in the order of their first use, which makes the
	// order of messages deterministic.
	hostOrder []pimentospread.HostID
	awaiting  map[flow.Batch]*batch
	// sendOrder lists the batches in the order of sending.
	sendOrder []flow.Batch
}

// outbox holds what is queued for one peer, by kind.
type outbox struct {
	records  [kindCount]flow.Records
	flows    [kindCount]flow.IDs
	lastSent [kindCount]time.Time
}

// batch is a sent message whose replies are not complete. Each shard of the peer replies for its part.
type batch struct {
	host      pimentospread.HostID
	kind      batchKind
	flows     flow.IDs
	records   flow.Records
	remaining uint32
	expiresAt time.Time
	conflicts map[pimentospread.FlowID]bool
}

func newPeerBatcher(config FlowShardConfig) peerBatcher {
	return peerBatcher{
		shardIndex: config.ShardIndex, shardCount: config.ShardCount, nextNumber: flow.Batch(config.ShardCount + config.ShardIndex),
		outboxes: map[pimentospread.HostID]*outbox{}, awaiting: map[flow.Batch]*batch{},
	}
}

func (p *peerBatcher) outbox(host pimentospread.HostID) *outbox {
	box := p.outboxes[host]
	if box == nil {
		box = &outbox{}
		p.outboxes[host] = box
		p.hostOrder = append(p.hostOrder, host)
	}
	return box
}

func (o *outbox) addRecord(r flow.Record, kind batchKind) {
	o.records[kind] = append(o.records[kind], r)
}

func (o *outbox) addQuery(id pimentospread.FlowID) {
	o.flows[kindQuery] = append(o.flows[kindQuery], id)
}

// hasUnfinished reports whether records of a kind are queued or batches of it await a reply.
func (p *peerBatcher) hasUnfinished(kind batchKind) bool {
	for _, box := range p.outboxes {
		if len(box.records[kind]) > 0 {
			return true
		}
	}
	for _, b := range p.awaiting {
		if b.kind == kind {
			return true
		}
	}
	return false
}

// sendDueBatches sends the queued entries whose minimum interval has passed.
func (f *FlowShard) sendDueBatches(now time.Time, a *FlowActions) {
	batcher := &f.batcher
	for _, host := range batcher.hostOrder {
		box := batcher.outboxes[host]
		for kind := range kindCount {
			if len(box.records[kind])+len(box.flows[kind]) == 0 {
				continue
			}
			if now.Sub(box.lastSent[kind]) < kind.minInterval() {
				continue
			}
			box.lastSent[kind] = now
			f.sendBatch(now, host, kind, a)
		}
	}
}

// minInterval returns the minimum time between two messages of a kind to one peer.
func (k batchKind) minInterval() time.Duration {
	switch k {
	case kindForce, kindRecent:
		return 0
	case kindAnnounce:
		return announceInterval
	case kindPut:
		return putInterval
	default:
		return batchInterval
	}
}

func (f *FlowShard) sendBatch(now time.Time, host pimentospread.HostID, kind batchKind, a *FlowActions) {
	batcher := &f.batcher
	box := batcher.outboxes[host]
	n := min(maxBatchEntries, max(len(box.records[kind]), len(box.flows[kind])))
	records := slices.Clone(box.records[kind][:min(n, len(box.records[kind]))])
	flows := slices.Clone(box.flows[kind][:min(n, len(box.flows[kind]))])
	box.records[kind] = slices.Delete(box.records[kind], 0, len(records))
	box.flows[kind] = slices.Delete(box.flows[kind], 0, len(flows))
	if kind.isAnnouncement() {
		records = f.refreshTargets(records)
		n = len(records)
	}
	if n == 0 {
		return
	}
	var number flow.Batch
	if kind != kindForce && kind != kindAnnounce {
		number = batcher.takeNumber()
		b := &batch{host: host, kind: kind, flows: flows, records: records, remaining: uint32(n), expiresAt: now.Add(replyTimeout)}
		batcher.awaiting[number] = b
		batcher.sendOrder = append(batcher.sendOrder, number)
	}
	a.PeerMessages = append(a.PeerMessages, pimentospread.Outbound{To: host, Message: f.newBatchMessage(kind, number, records, flows)})
}

// isAnnouncement reports whether messages of the kind carry established records
// rather than requests.
func (k batchKind) isAnnouncement() bool {
	return k == kindRecent || k == kindHandover || k == kindAnnounce
}

// refreshTargets returns the records with their current targets, without those
// of removed flows. An announcement can be queued for seconds. If it carried the
// old target of a record that was corrected meanwhile, the receiving holder would
// keep the old target permanently.
func (f *FlowShard) refreshTargets(records flow.Records) flow.Records {
	kept := records[:0]
	for _, r := range records {
		e := f.records.Get(r.Flow)
		if e == nil || e.Service != r.Service {
			e = f.flows.Get(r.Flow)
		}
		if e == nil || e.Service != r.Service {
			continue
		}
		r.Target = e.Target
		kept = append(kept, r)
	}
	return kept
}

func (f *FlowShard) newBatchMessage(kind batchKind, n flow.Batch, records flow.Records, flows flow.IDs) pimentospread.Message {
	switch kind {
	case kindPut, kindForce:
		return &flow.RecordPut{Batch: n, Force: kind == kindForce, Records: records}
	case kindQuery:
		return &flow.RecordQuery{Batch: n, Flows: flows}
	case kindSilence:
		return &flow.SilenceQuery{Batch: n, Within: max(f.silence.answerWindow, minAnswerWindow), Flows: flows, Targets: f.targetsOf(flows)}
	default:
		return &flow.RecordHandover{Batch: n, Records: records}
	}
}

// takeNumber returns the next batch number. Modulo the shard count it is the shard's index.
func (p *peerBatcher) takeNumber() flow.Batch {
	n := p.nextNumber
	p.nextNumber += flow.Batch(p.shardCount)
	if p.nextNumber < n {
		p.nextNumber = flow.Batch(p.shardCount + p.shardIndex)
	}
	return n
}

// matchReply returns the batch that a partial reply belongs to and whether the
// reply completes it. A completed batch is removed.
func (p *peerBatcher) matchReply(from pimentospread.HostID, n flow.Batch, count uint32) (*batch, bool) {
	b := p.awaiting[n]
	if b == nil || b.host != from {
		return nil, false
	}
	b.remaining -= min(b.remaining, count)
	if b.remaining == 0 {
		delete(p.awaiting, n)
	}
	return b, b.remaining == 0
}

// expireBatches handles the replies that did not arrive in time as missing.
func (f *FlowShard) expireBatches(now time.Time, a *FlowActions) {
	batcher := &f.batcher
	for len(batcher.sendOrder) > 0 {
		b := batcher.awaiting[batcher.sendOrder[0]]
		if b != nil && now.Before(b.expiresAt) {
			return
		}
		if b != nil {
			delete(batcher.awaiting, batcher.sendOrder[0])
			f.handleMissingReply(now, b, answerTimedOut, a)
		}
		batcher.sendOrder = batcher.sendOrder[1:]
	}
}

// dropLostHosts stops waiting for the replies of hosts that are no longer live.
func (f *FlowShard) dropLostHosts(now time.Time, a *FlowActions) {
	batcher := &f.batcher
	for _, n := range slices.Clone(batcher.sendOrder) {
		if b := batcher.awaiting[n]; b != nil && !f.holders.contains(b.host) {
			delete(batcher.awaiting, n)
			f.handleMissingReply(now, b, answerHostLost, a)
		}
	}
	for _, host := range slices.Clone(batcher.hostOrder) {
		if f.holders.contains(host) {
			continue
		}
		box := batcher.outboxes[host]
		delete(batcher.outboxes, host)
		batcher.hostOrder = slices.DeleteFunc(batcher.hostOrder, func(h pimentospread.HostID) bool { return h == host })
		for kind := range kindCount {
			f.handleMissingReply(now, &batch{host: host, kind: kind, flows: box.flows[kind], records: box.records[kind]}, answerHostLost, a)
		}
	}
}

func (f *FlowShard) handleMissingReply(now time.Time, b *batch, state answerState, a *FlowActions) {
	switch b.kind {
	case kindPut:
		for _, r := range b.records {
			if !b.conflicts[r.Flow] {
				f.handleHolderAnswer(now, r.Flow, holderAnswer{host: b.host, state: state}, a)
			}
		}
	case kindQuery:
		for _, id := range b.flows {
			f.handleHolderAnswer(now, id, holderAnswer{host: b.host, state: state}, a)
		}
	case kindSilence:
		f.handleMissingSilenceReply(now, b.flows)
	}
}
