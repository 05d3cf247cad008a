package dataplane

import (
	"time"

	"pimentospread/flow"
)

const (
	// announceRate is the control budget of the background walk in bytes a second.
	announceRate = 2000
	// handoverRate lets a leaving host hand over some 80,000 records in its 30 s.
	handoverRate = 32000
	// leastRate is what the walk gets while new flows take the control budget.
	leastRate = 300
	// recordCost is what a record and its share of the envelope take on the wire.
	recordCost = 14
	// maxLap is the time in which the walk sees each position of a table once. A
	// look takes some 100 ns, so a table of 300,000 takes 0.3% of a core.
	maxLap = 10 * time.Second
	// leaveLap is the same for a leaving host.
	leaveLap = 2 * time.Second
	// recentFor is the age in whole seconds of flows whose SYN may be repeated for
	// the first time. Two seconds made a burst of 18 KB at 3,000 new flows a second.
	recentFor = 1
	// closedFor is the time in seconds for which a closed flow is kept, so that its last packets pass.
	closedFor = 30
	// idleGrace keeps a record longer than any host keeps the flow.
	idleGrace = 600
	// roundsPerIdle refreshes records well before they expire.
	roundsPerIdle = 4
)

// walk goes through both tables without end: it expires flows and records, and
// tells holders of flows in buckets where hosts may differ.
type walk struct {
	// round counts the reasons to tell the holders of all flows again, and
	// repairRound those to hand records to other holders.
	round, repairRound uint8
	roundAt, toldAt    time.Time
	filledAt           time.Time
	// budget is in bytes; the quotas are in positions of a table.
	budget, flowsQuota, recordsQuota float64
	// putRate is about the bytes of records of new flows in the last second.
	putRate float64
	// idle is the longest idle timeout of any service, in seconds.
	idle           uint32
	flows, records int
	// left counts the tables that a leaving host has yet to hand over.
	flowsLeft, recordsLeft bool
	handedOver             bool
}

func (w *walk) again() { w.round++ }

func (w *walk) repair() {
	w.round++
	w.repairRound++
}

func (w *walk) handOver(now time.Time) {
	w.repair()
	w.flows, w.records = 0, 0
	w.flowsLeft, w.recordsLeft = true, true
	w.filledAt = now
}

// walkOn goes on with the walk as far as its budget allows.
func (f *FlowShard) walkOn(now time.Time, a *FlowActions) {
	w := &f.walk
	if now.Sub(w.roundAt) > time.Duration(w.idle)*time.Second/roundsPerIdle {
		w.roundAt = now
		w.again()
	}
	if now.Sub(w.toldAt) > suspendedInterval {
		f.tellSuspended(now, a)
	}
	f.fill(now)
	for ; w.flowsQuota >= 1 && w.budget > 0; w.flowsQuota-- {
		f.walkFlows(now)
	}
	for ; w.recordsQuota >= 1 && w.budget > 0; w.recordsQuota-- {
		f.walkRecords(now)
	}
	w.handedOver = f.leaving && !w.flowsLeft && !w.recordsLeft
}

// fill adds to the budgets what the time since the last tick allows.
func (f *FlowShard) fill(now time.Time) {
	w := &f.walk
	rate, lap := max(leastRate, announceRate-w.putRate), min(maxLap, time.Duration(w.idle)*time.Second/roundsPerIdle)
	if f.leaving {
		rate, lap = handoverRate, leaveLap
	}
	past := min(now.Sub(w.filledAt), time.Second)
	w.putRate -= w.putRate * past.Seconds()
	w.filledAt = now
	w.budget = min(rate, w.budget+rate*past.Seconds())
	laps := past.Seconds() / lap.Seconds()
	w.flowsQuota = min(float64(f.flows.Slots()), w.flowsQuota+float64(f.flows.Slots())*laps)
	w.recordsQuota = min(float64(f.records.Slots()), w.recordsQuota+float64(f.records.Slots())*laps)
}

func (f *FlowShard) walkFlows(now time.Time) {
	w := &f.walk
	if w.flows >= f.flows.Slots() {
		w.flows, w.flowsLeft = 0, false
	}
	e := f.flows.At(w.flows)
	if e != nil && f.flowEnded(now, e) {
		f.forget(e.ID)
		return
	}
	w.flows++
	if e == nil || e.Round == w.round {
		return
	}
	e.Round = w.round
	s := f.view.Services[e.Service]
	if e.Closed() || e.Marks&(flow.Confirmed|flow.Recorded) == 0 || !f.wantsRecord(now, s, e) {
		return
	}
	f.announce(now, e, f.announceKind())
}

func (f *FlowShard) walkRecords(now time.Time) {
	w := &f.walk
	if w.records >= f.records.Slots() {
		w.records, w.recordsLeft = 0, false
	}
	r := f.records.At(w.records)
	if r != nil && (f.age(now, r) > w.idle+idleGrace || f.over(now, r, keepOld)) {
		f.records.Delete(r.ID)
		return
	}
	w.records++
	if r == nil || r.Round == w.repairRound {
		return
	}
	r.Round = w.repairRound
	f.wantsRecord(now, f.view.Services[r.Service], r)
	f.announce(now, r, f.announceKind())
}

func (f *FlowShard) announceKind() batchKind {
	if f.leaving {
		return kindHandover
	}
	return kindAnnounce
}

func (f *FlowShard) age(now time.Time, e *flow.Entry) uint32 { return f.seconds(now) - e.Seen }

// flowEnded reports whether a flow is idle for too long or its target or service is gone.
func (f *FlowShard) flowEnded(now time.Time, e *flow.Entry) bool {
	s := f.view.Services[e.Service]
	if s == nil || f.gone(s, e.Target) {
		return true
	}
	if e.Closed() {
		return f.age(now, e) > closedFor
	}
	return f.age(now, e) > uint32(s.Policy.IdleTimeout.Seconds())
}

// wantsRecord reports whether a flow needs a record now or once the oldest
// epoch ends. A displaced flow in a bucket on which all epochs agree shows
// that the target of the bucket was avoided, so the bucket still counts as changed.
func (f *FlowShard) wantsRecord(now time.Time, s *ServiceView, e *flow.Entry) bool {
	c := s.Table.Lookup(e.ID)
	if !c.Changed && e.Target != c.Default {
		f.ownSuspended(now, c.Current)
		return true
	}
	return f.differs(now, c)
}

// announce tells the holders of a flow its target.
func (f *FlowShard) announce(now time.Time, e *flow.Entry, kind batchKind) {
	r := flow.Record{Flow: e.ID, Service: e.Service, Target: e.Target, Age: flow.Minutes(min(255, f.age(now, e)/60))}
	l := f.holders.rank(e.ID, writtenHolders)
	for _, i := range l.index[:l.n] {
		host := f.holders.hosts[i].id
		if host == f.view.Self {
			f.keep(now, r, keepOld)
			continue
		}
		f.mail.box(host).put(r, kind)
		f.walk.budget -= recordCost
	}
}

// announceRecent tells the holders at once of the flows that began just before
// their bucket changed. A repeated SYN of such a flow at a host that already
// goes by the new choice then finds the first one.
func (f *FlowShard) announceRecent(now time.Time, a *FlowActions) {
	sec := f.seconds(now)
	for i := range f.flows.Slots() {
		e := f.flows.At(i)
		if e == nil || e.Has(flow.Recorded) || e.Closed() || uint8(sec)-e.Born > recentFor {
			continue
		}
		if s := f.view.Services[e.Service]; s != nil && f.differs(now, s.Table.Lookup(e.ID)) {
			f.announce(now, e, kindRecent)
		}
	}
	f.flush(now, a)
}

// longest returns the longest silence and idle timeouts of all services, in seconds.
func longest(v *View) (silence, idle uint32) {
	for _, s := range v.Services {
		silence = max(silence, uint32(s.Policy.SilenceAfter.Seconds()))
		idle = max(idle, uint32(s.Policy.IdleTimeout.Seconds()))
	}
	return max(silence, 1), max(idle, 1)
}
