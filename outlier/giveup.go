package outlier

import (
	"time"

	"pimentospread"
)

// GiveUpConfig sets when a request to a silent target is given up. A target that runs a
// long request leaves it unacknowledged and looks the same as one that has crashed, so
// the time depends on how long the service usually takes.
type GiveUpConfig struct {
	// MinRetransmissions is how often one caller must have retransmitted a request to the target
	// since it last answered. A single one may follow a lost packet.
	MinRetransmissions int
	// MinTotalRetransmissions is how often all waiting callers of the target must have
	// retransmitted requests together. One caller alone may lose two packets in a row at a
	// target that runs.
	MinTotalRetransmissions int
	// MinSilence is the shortest time without an answer.
	MinSilence time.Duration
	// AnswerTimeFactor is the time without an answer as a multiple of the longest recent
	// answer time of the service.
	AnswerTimeFactor float64
	// AnswerTimeWindow is how long an answer time counts as recent, at least.
	AnswerTimeWindow time.Duration
}

// UnansweredRequest is a request that its caller has retransmitted.
type UnansweredRequest struct {
	Flow    pimentospread.FlowID
	Target  pimentospread.Token
	Service pimentospread.ServiceName
	// FirstSentAt is when the request was first sent, and LastSentAt when it was sent before
	// the retransmission that is handled now.
	FirstSentAt, LastSentAt time.Time
}

// Evidence is what a decision to give up a request is based on.
type Evidence struct {
	// Callers is the number of callers that wait for the target, and Retransmissions how often
	// they have sent their requests again since it last answered.
	Callers, Retransmissions int
	// Silence is how long the caller that has waited longest has got no answer.
	Silence time.Duration
}

// Evidence returns what the callers that wait for the target show about it.
func (d *Detector) Evidence(now time.Time, token pimentospread.Token) Evidence {
	e := Evidence{}
	for _, w := range d.Target(token).waits {
		if now.After(w.until) {
			continue
		}
		e.Callers++
		e.Retransmissions += w.retransmissions
		e.Silence = max(e.Silence, now.Sub(w.since))
	}
	return e
}

// GivesUp reports whether the target of a request that was just retransmitted is considered
// unable to answer it: a caller of the target still waits after several copies
// of its request and after a time in which the service answers even its slowest requests, nobody
// got an answer meanwhile, all waiting callers together have lost more packets than one caller
// may lose by chance, and other targets answered packets that this host sent. The caller may
// then repeat an idempotent request elsewhere.
func (d *Detector) GivesUp(now time.Time, r UnansweredRequest) bool {
	target := d.Target(r.Target)
	target.expireWaits(now)
	if d.Evidence(now, r.Target).Retransmissions < d.config.GiveUp.MinTotalRetransmissions {
		return false
	}
	silence := d.config.GiveUp.MinSilence
	if times, ok := d.answerTimes[r.Service]; ok {
		silence = max(silence, time.Duration(d.config.GiveUp.AnswerTimeFactor*float64(times.longest(now, d.config.GiveUp.AnswerTimeWindow))))
	}
	for i := range target.waits {
		w := &target.waits[i]
		if w.retransmissions < d.config.GiveUp.MinRetransmissions || now.Sub(w.since) < silence {
			continue
		}
		if d.deliveries.between(w.since, r.LastSentAt.Add(deliveryMargin)) {
			w.until = now.Add(givenUpLifetime)
			return true
		}
	}
	return false
}

// deliveryMargin is how much later than a lost packet one may be sent that shows that the
// link worked. Whole lists and configurations that fill a link take a few tenths of a second.
const deliveryMargin = 100 * time.Millisecond

// RecordDelivery records that a packet which this host sent at the given time reached its
// target, which answered.
func (d *Detector) RecordDelivery(sent time.Time) { d.deliveries.add(sent) }

// deliveries holds when this host last sent packets that were answered. They show that its
// own link was not cut or full at the time: a host whose packets are lost sees silence at
// every target.
type deliveries struct {
	// sent is a ring of the last times, which are nearly in order, and next its oldest item.
	sent [256]time.Time
	next int
}

func (l *deliveries) add(sent time.Time) {
	l.sent[l.next] = sent
	l.next = (l.next + 1) % len(l.sent)
}

// between reports whether a packet that was sent within the two times was answered.
func (l *deliveries) between(from, to time.Time) bool {
	for _, sent := range l.sent {
		if !sent.Before(from) && !sent.After(to) {
			return true
		}
	}
	return false
}

// RecordAnswerTime records how long a target of the service took to answer a request.
func (d *Detector) RecordAnswerTime(now time.Time, service pimentospread.ServiceName, taken time.Duration) {
	times, ok := d.answerTimes[service]
	if !ok {
		times = &answerTimes{since: now}
		d.answerTimes[service] = times
	}
	times.record(now, d.config.GiveUp.AnswerTimeWindow, taken)
}

// RetainServices drops the answer times of all services that are not in the set.
func (d *Detector) RetainServices(keep func(pimentospread.ServiceName) bool) {
	for service := range d.answerTimes {
		if !keep(service) {
			delete(d.answerTimes, service)
		}
	}
}

// answerTimes holds the longest answer time of the current window and of the one before.
type answerTimes struct {
	since             time.Time
	current, previous time.Duration
}

// record adds an answer time.
func (a *answerTimes) record(now time.Time, window, taken time.Duration) {
	a.advance(now, window)
	a.current = max(a.current, taken)
}

// longest returns the longest answer time of the last one to two windows.
func (a *answerTimes) longest(now time.Time, window time.Duration) time.Duration {
	a.advance(now, window)
	return max(a.current, a.previous)
}

// advance starts a new window if the current one is over.
func (a *answerTimes) advance(now time.Time, window time.Duration) {
	elapsed := now.Sub(a.since)
	if elapsed < window {
		return
	}
	a.previous, a.current, a.since = a.current, 0, now
	if elapsed >= 2*window {
		a.previous = 0
	}
}
