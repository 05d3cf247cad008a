package dataplane

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/flow"
)

const (
	// answerWithin is the time in which a holder answers.
	answerWithin = 200 * time.Millisecond
	// batchInterval is the least time between two messages of a kind to one
	// peer. The first one goes out at once.
	batchInterval = 200 * time.Millisecond
	// putInterval is longer: with seven peers the envelopes of puts and their
	// replies took 5 of the 11 KB/s at 200 ms. A SYN is repeated after 1 s only.
	putInterval = 500 * time.Millisecond
	// announceInterval is longer, because no packet waits for an announcement.
	announceInterval = 2 * time.Second
	// maxBatch keeps a frame far below its limit.
	maxBatch = 4096
)

// batchKind says what a batch is about.
type batchKind uint8

const (
	// kindPut records new flows.
	kindPut batchKind = iota
	// kindForce settles two records of one flow.
	kindForce
	// kindRecent tells holders of recent flows whose bucket has changed.
	kindRecent
	// kindHandover gives the records of a leaving host to the others.
	kindHandover
	// kindAnnounce tells holders of flows in the background and expects no reply.
	kindAnnounce
	// kindQuery asks holders for records.
	kindQuery
	// kindSilence asks peers whether they saw an answer.
	kindSilence
	kinds
)

// mail gathers what one shard has for its peers into few messages.
type mail struct {
	shard, shards int
	next          flow.Batch
	boxes         map[pimentospread.HostID]*outbox
	// order has the peers in the order of their first use, so that messages
	// leave in the same order in every run.
	order   []pimentospread.HostID
	batches map[flow.Batch]*batch
	// open has the batches in the order of sending.
	open []flow.Batch
}

// outbox is what waits for one peer.
type outbox struct {
	records [kinds]flow.Records
	flows   [kinds]flow.IDs
	sent    [kinds]time.Time
}

// batch is a message whose replies are not complete.
type batch struct {
	host      pimentospread.HostID
	kind      batchKind
	flows     flow.IDs
	records   flow.Records
	remaining uint32
	due       time.Time
	told      map[pimentospread.FlowID]bool
}

func newMail(deps FlowShardConfig) mail {
	return mail{
		shard: deps.ShardIndex, shards: deps.ShardCount, next: flow.Batch(deps.ShardCount + deps.ShardIndex),
		boxes: map[pimentospread.HostID]*outbox{}, batches: map[flow.Batch]*batch{},
	}
}

func (m *mail) box(host pimentospread.HostID) *outbox {
	b := m.boxes[host]
	if b == nil {
		b = &outbox{}
		m.boxes[host] = b
		m.order = append(m.order, host)
	}
	return b
}

func (o *outbox) put(r flow.Record, kind batchKind) { o.records[kind] = append(o.records[kind], r) }

func (o *outbox) ask(id pimentospread.FlowID) { o.flows[kindQuery] = append(o.flows[kindQuery], id) }

// waits reports whether messages of a kind wait to be sent or answered.
func (m *mail) waits(kind batchKind) bool {
	for _, o := range m.boxes {
		if len(o.records[kind]) > 0 {
			return true
		}
	}
	for _, b := range m.batches {
		if b.kind == kind {
			return true
		}
	}
	return false
}

// flush sends what has waited long enough.
func (f *FlowShard) flush(now time.Time, a *FlowActions) {
	m := &f.mail
	for _, host := range m.order {
		o := m.boxes[host]
		for kind := range kinds {
			if len(o.records[kind])+len(o.flows[kind]) == 0 {
				continue
			}
			if now.Sub(o.sent[kind]) < kind.interval() {
				continue
			}
			o.sent[kind] = now
			f.send(now, host, kind, a)
		}
	}
}

// interval is the least time between two messages of a kind to one peer.
func (k batchKind) interval() time.Duration {
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

func (f *FlowShard) send(now time.Time, host pimentospread.HostID, kind batchKind, a *FlowActions) {
	m := &f.mail
	o := m.boxes[host]
	n := min(maxBatch, max(len(o.records[kind]), len(o.flows[kind])))
	records := slices.Clone(o.records[kind][:min(n, len(o.records[kind]))])
	flows := slices.Clone(o.flows[kind][:min(n, len(o.flows[kind]))])
	o.records[kind] = slices.Delete(o.records[kind], 0, len(records))
	o.flows[kind] = slices.Delete(o.flows[kind], 0, len(flows))
	if kind.announces() {
		records = f.refresh(records)
		n = len(records)
	}
	if n == 0 {
		return
	}
	var number flow.Batch
	if kind != kindForce && kind != kindAnnounce {
		number = m.number()
		b := &batch{host: host, kind: kind, flows: flows, records: records, remaining: uint32(n), due: now.Add(answerWithin)}
		m.batches[number] = b
		m.open = append(m.open, number)
	}
	a.PeerMessages = append(a.PeerMessages, pimentospread.Outbound{To: host, Message: f.message(kind, number, records, flows)})
}

// announces reports whether a message of the kind tells what this host knows,
// not what it asks for.
func (k batchKind) announces() bool {
	return k == kindRecent || k == kindHandover || k == kindAnnounce
}

// refresh returns the records with what this host knows now. An announcement
// can wait for seconds; if its record was corrected meanwhile, another holder
// would keep the old target for good.
func (f *FlowShard) refresh(records flow.Records) flow.Records {
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

func (f *FlowShard) message(kind batchKind, n flow.Batch, records flow.Records, flows flow.IDs) pimentospread.Message {
	switch kind {
	case kindPut, kindForce:
		return &flow.RecordPut{Batch: n, Force: kind == kindForce, Records: records}
	case kindQuery:
		return &flow.RecordQuery{Batch: n, Flows: flows}
	case kindSilence:
		return &flow.SilenceQuery{Batch: n, Within: max(f.silence.within, minWithin), Flows: flows, Targets: f.targetsOf(flows)}
	default:
		return &flow.RecordHandover{Batch: n, Records: records}
	}
}

// number returns the next batch number, which leaves the shard as its remainder.
func (m *mail) number() flow.Batch {
	n := m.next
	m.next += flow.Batch(m.shards)
	if m.next < n {
		m.next = flow.Batch(m.shards + m.shard)
	}
	return n
}

// reply finds the batch that a reply covers a part of. It removes the batch
// when the reply completes it.
func (m *mail) reply(from pimentospread.HostID, n flow.Batch, count uint32) (*batch, bool) {
	b := m.batches[n]
	if b == nil || b.host != from {
		return nil, false
	}
	b.remaining -= min(b.remaining, count)
	if b.remaining == 0 {
		delete(m.batches, n)
	}
	return b, b.remaining == 0
}

// expireBatches gives up replies that did not come in time.
func (f *FlowShard) expireBatches(now time.Time, a *FlowActions) {
	m := &f.mail
	for len(m.open) > 0 {
		b := m.batches[m.open[0]]
		if b != nil && now.Before(b.due) {
			return
		}
		if b != nil {
			delete(m.batches, m.open[0])
			f.missed(now, b, answerMissed, a)
		}
		m.open = m.open[1:]
	}
}

// lostHosts stops waiting for hosts that are no longer live.
func (f *FlowShard) lostHosts(now time.Time, a *FlowActions) {
	m := &f.mail
	for _, n := range slices.Clone(m.open) {
		if b := m.batches[n]; b != nil && !f.holders.has(b.host) {
			delete(m.batches, n)
			f.missed(now, b, answerLost, a)
		}
	}
	for _, host := range slices.Clone(m.order) {
		if f.holders.has(host) {
			continue
		}
		o := m.boxes[host]
		delete(m.boxes, host)
		m.order = slices.DeleteFunc(m.order, func(h pimentospread.HostID) bool { return h == host })
		for kind := range kinds {
			f.missed(now, &batch{host: host, kind: kind, flows: o.flows[kind], records: o.records[kind]}, answerLost, a)
		}
	}
}

func (f *FlowShard) missed(now time.Time, b *batch, state answerState, a *FlowActions) {
	switch b.kind {
	case kindPut:
		for _, r := range b.records {
			if !b.told[r.Flow] {
				f.answered(now, r.Flow, holderAnswer{host: b.host, state: state}, a)
			}
		}
	case kindQuery:
		for _, id := range b.flows {
			f.answered(now, id, holderAnswer{host: b.host, state: state}, a)
		}
	case kindSilence:
		f.silenceMissed(now, b.flows)
	}
}
