package dataplane

import (
	"time"

	"pimentospread/flow"
)

const (
	// announceRate is the budget of the background scan for control traffic, in bytes per second.
	announceRate = 2000
	// handoverRate is the same for a leaving host. It allows some 80,000 records in the 30 s of a shutdown.
	handoverRate = 32000
	// minScanRate is what the scan gets while records of new flows use up the budget.
	minScanRate = 300
	// recordWireSize is the size in bytes of an encoded record with its share of the envelope.
	recordWireSize = 14
	// maxScanTime is the longest time in which the scan visits each position of a
	// table once. A visit takes some 100 ns, so a table of 300,000 positions takes
	// 0.3% of a core.
	maxScanTime = 10 * time.Second
	// handoverScanTime is the same for a leaving host.
	handoverScanTime = 2 * time.Second
	// recentFlowAge is the age in whole seconds up to which the first repetition
	// of a flow's SYN may be due. With two seconds, announcing these flows sent a
	// burst of 18 KB at 3,000 new flows per second.
	recentFlowAge = 1
	// closedRetention is the time in seconds for which a closed flow is kept, so that its last packets are forwarded.
	closedRetention = 30
	// recordIdleGrace is the time in seconds for which a record outlives the idle
	// timeout, so that it is kept longer than any host keeps the flow.
	recordIdleGrace = 600
	// roundsPerIdle is the number of rounds of announcements per idle timeout, so
	// that records are refreshed well before they expire.
	roundsPerIdle = 4
)

// backgroundScan is the state of the continuous scan of the flow and record
// tables. The scan removes expired entries and announces to the holders the flows
// in buckets whose flows may have different targets.
type backgroundScan struct {
	// round numbers the rounds in which all flows are announced again, and
	// repairRound those in which records are sent to new holders.
	round, repairRound              uint8
	roundStartedAt, suspendedSentAt time.Time
	refilledAt                      time.Time
	// budget is the remaining control traffic in bytes; the quotas are the table
	// positions that may be visited.
	budget, flowsQuota, recordsQuota float64
	// putRate approximates the bytes of records of new flows in the last second.
	putRate float64
	// idleTimeout is the longest idle timeout of any service, in seconds.
	idleTimeout                    uint32
	flowsPosition, recordsPosition int
	// flowsLeft and recordsLeft report that a leaving host has not handed over the table yet.
	flowsLeft, recordsLeft bool
	handedOver             bool
}

func (s *backgroundScan) startRound() { s.round++ }

func (s *backgroundScan) startRepairRound() {
	s.round++
	s.repairRound++
}

func (s *backgroundScan) startHandover(now time.Time) {
	s.startRepairRound()
	s.flowsPosition, s.recordsPosition = 0, 0
	s.flowsLeft, s.recordsLeft = true, true
	s.refilledAt = now
}

// runScan continues the scan as far as its budget allows.
func (f *FlowShard) runScan(now time.Time, a *FlowActions) {
	scan := &f.scan
	if now.Sub(scan.roundStartedAt) > time.Duration(scan.idleTimeout)*time.Second/roundsPerIdle {
		scan.roundStartedAt = now
		scan.startRound()
	}
	if now.Sub(scan.suspendedSentAt) > suspendedInterval {
		f.sendSuspended(now, a)
	}
	f.refillScanBudget(now)
	for ; scan.flowsQuota >= 1 && scan.budget > 0; scan.flowsQuota-- {
		f.scanFlow(now)
	}
	for ; scan.recordsQuota >= 1 && scan.budget > 0; scan.recordsQuota-- {
		f.scanRecord(now)
	}
	scan.handedOver = f.leaving && !scan.flowsLeft && !scan.recordsLeft
}

// refillScanBudget adds to the budget and the quotas what the time since the last call allows.
func (f *FlowShard) refillScanBudget(now time.Time) {
	scan := &f.scan
	rate, scanTime := max(minScanRate, announceRate-scan.putRate), min(maxScanTime, time.Duration(scan.idleTimeout)*time.Second/roundsPerIdle)
	if f.leaving {
		rate, scanTime = handoverRate, handoverScanTime
	}
	elapsed := min(now.Sub(scan.refilledAt), time.Second)
	scan.putRate -= scan.putRate * elapsed.Seconds()
	scan.refilledAt = now
	scan.budget = min(rate, scan.budget+rate*elapsed.Seconds())
	scanShare := elapsed.Seconds() / scanTime.Seconds()
	scan.flowsQuota = min(float64(f.flows.Slots()), scan.flowsQuota+float64(f.flows.Slots())*scanShare)
	scan.recordsQuota = min(float64(f.records.Slots()), scan.recordsQuota+float64(f.records.Slots())*scanShare)
}

func (f *FlowShard) scanFlow(now time.Time) {
	scan := &f.scan
	if scan.flowsPosition >= f.flows.Slots() {
		scan.flowsPosition, scan.flowsLeft = 0, false
	}
	e := f.flows.At(scan.flowsPosition)
	if e != nil && f.isFlowEnded(now, e) {
		f.removeFlow(e.ID)
		return
	}
	scan.flowsPosition++
	if e == nil || e.VisitRound == scan.round {
		return
	}
	e.VisitRound = scan.round
	s := f.view.Services[e.Service]
	if e.Closed() || e.Flags&(flow.Confirmed|flow.Recorded) == 0 || !f.needsAnnouncement(now, s, e) {
		return
	}
	f.announce(now, e, f.announceKind())
}

func (f *FlowShard) scanRecord(now time.Time) {
	scan := &f.scan
	if scan.recordsPosition >= f.records.Slots() {
		scan.recordsPosition, scan.recordsLeft = 0, false
	}
	r := f.records.At(scan.recordsPosition)
	if r != nil && (f.age(now, r) > scan.idleTimeout+recordIdleGrace || f.recordEnded(now, r, storeExisting)) {
		f.records.Delete(r.ID)
		return
	}
	scan.recordsPosition++
	if r == nil || r.VisitRound == scan.repairRound {
		return
	}
	r.VisitRound = scan.repairRound
	f.needsAnnouncement(now, f.view.Services[r.Service], r)
	f.announce(now, r, f.announceKind())
}

func (f *FlowShard) announceKind() batchKind {
	if f.leaving {
		return kindHandover
	}
	return kindAnnounce
}

func (f *FlowShard) age(now time.Time, e *flow.Entry) uint32 { return f.seconds(now) - e.LastSeen }

// isFlowEnded reports whether a flow was idle for too long, or its target or service was removed.
func (f *FlowShard) isFlowEnded(now time.Time, e *flow.Entry) bool {
	s := f.view.Services[e.Service]
	if s == nil || f.targetRemoved(s, e.Target) {
		return true
	}
	if e.Closed() {
		return f.age(now, e) > closedRetention
	}
	return f.age(now, e) > uint32(s.Policy.IdleTimeout.Seconds())
}

// needsAnnouncement reports whether a flow needs a record now or once the oldest
// epoch ends. If a flow is not at the target on which all epochs agree for its
// bucket, that target was avoided. It is then marked as suspended, so that
// flows of the bucket are still assumed to have records.
func (f *FlowShard) needsAnnouncement(now time.Time, s *ServiceView, e *flow.Entry) bool {
	choice := s.Table.Lookup(e.ID)
	if !choice.Changed && e.Target != choice.Default {
		f.markSuspended(now, choice.Current)
		return true
	}
	return f.targetMayDiffer(now, choice)
}

// announce queues the record of a flow for its holders.
func (f *FlowShard) announce(now time.Time, e *flow.Entry, kind batchKind) {
	r := flow.Record{Flow: e.ID, Service: e.Service, Target: e.Target, Age: flow.Minutes(min(255, f.age(now, e)/60))}
	list := f.holders.rank(e.ID, recordHolders)
	for _, i := range list.index[:list.n] {
		host := f.holders.hosts[i].id
		if host == f.view.Self {
			f.storeRecord(now, r, storeExisting)
			continue
		}
		f.batcher.outbox(host).addRecord(r, kind)
		f.scan.budget -= recordWireSize
	}
}

// announceRecent sends the holders at once the records of the flows that started
// just before their bucket changed. If a SYN of such a flow is retransmitted at a
// host that already uses the new choice, that host then finds the flow's target.
func (f *FlowShard) announceRecent(now time.Time, a *FlowActions) {
	sec := f.seconds(now)
	for i := range f.flows.Slots() {
		e := f.flows.At(i)
		if e == nil || e.Has(flow.Recorded) || e.Closed() || uint8(sec)-e.FirstSeen > recentFlowAge {
			continue
		}
		if s := f.view.Services[e.Service]; s != nil && f.targetMayDiffer(now, s.Table.Lookup(e.ID)) {
			f.announce(now, e, kindRecent)
		}
	}
	f.sendDueBatches(now, a)
}

// longestTimeouts returns the longest silence and idle timeouts of all services, in seconds.
func longestTimeouts(v *View) (silence, idle uint32) {
	for _, s := range v.Services {
		silence = max(silence, uint32(s.Policy.SilenceAfter.Seconds()))
		idle = max(idle, uint32(s.Policy.IdleTimeout.Seconds()))
	}
	return max(silence, 1), max(idle, 1)
}
