// Package outlier detects targets that do not answer, from the packets that
// their callers send. A suspected target gets no new flows except for an
// occasional trial flow. A request to a target that stays silent is given up.
package outlier

import (
	"time"

	"pimentospread"
)

// Config sets how often a suspected target is tried.
type Config struct {
	// MinTrialInterval is the time from the start of a suspicion to its first trial
	// flow. The interval doubles after each trial up to MaxTrialInterval.
	MinTrialInterval, MaxTrialInterval time.Duration
	// GiveUp sets when a request is given up.
	GiveUp GiveUpConfig
}

// Detector holds what was observed about targets. It is not safe for concurrent use.
type Detector struct {
	config  Config
	targets map[pimentospread.Token]*Target
	// answerTimes holds the recent answer times of each service.
	answerTimes map[pimentospread.ServiceName]*answerTimes
	deliveries  deliveries
}

// Target is what was observed about one target.
type Target struct {
	// answered is a time at which the target still answered.
	answered  time.Time
	suspected bool
	// silentSince is when the packet was sent that the suspected target did not answer.
	silentSince time.Time
	// waits holds the callers of open flows that wait for an answer.
	waits []wait
	// nextTrial is when the next trial flow may be sent.
	nextTrial time.Time
	// interval is the current time between trials.
	interval time.Duration
}

// New returns a detector that suspects no target.
func New(c Config) *Detector {
	return &Detector{
		config: c, targets: map[pimentospread.Token]*Target{},
		answerTimes: map[pimentospread.ServiceName]*answerTimes{},
	}
}

// Target returns the state of a target and creates it if needed. The pointer
// stays valid until Retain drops the target.
func (d *Detector) Target(token pimentospread.Token) *Target {
	target, ok := d.targets[token]
	if !ok {
		target = &Target{}
		d.targets[token] = target
	}
	return target
}

// RecordAnswer records that the target answered a caller at the given time or later. It
// reports whether this ends a suspicion: an answer that may be older than the packet that
// stayed unanswered does not.
func (d *Detector) RecordAnswer(at time.Time, token pimentospread.Token) bool {
	target := d.Target(token)
	target.recordAnswer(at)
	recovered := target.suspected && at.After(target.silentSince)
	target.suspected = target.suspected && !recovered
	return recovered
}

// RecordRetransmission records that a caller retransmitted what it had sent to
// the target at the given time. If the target has answered any caller
// since then, a packet was lost and the target is not suspected. It reports
// whether the target became suspected.
func (d *Detector) RecordRetransmission(now time.Time, token pimentospread.Token, sent time.Time) bool {
	target := d.Target(token)
	switch {
	case target.suspected, target.answered.After(sent):
		return false
	}
	target.suspected, target.silentSince = true, sent
	target.interval = d.config.MinTrialInterval
	target.nextTrial = now.Add(target.interval)
	return true
}

// RecordTrial records that a trial flow was sent to a suspected target.
func (d *Detector) RecordTrial(now time.Time, target *Target) {
	target.interval = min(2*target.interval, d.config.MaxTrialInterval)
	target.nextTrial = now.Add(target.interval)
}

// Suspected reports whether the target is suspected of not answering.
func (t *Target) Suspected() bool { return t.suspected }

// TrialDue reports whether the target is suspected and a trial flow may be sent to it.
func (t *Target) TrialDue(now time.Time) bool { return t.suspected && !now.Before(t.nextTrial) }

// Retain drops the state of all targets that are not in the set.
func (d *Detector) Retain(keep func(pimentospread.Token) bool) {
	for token := range d.targets {
		if !keep(token) {
			delete(d.targets, token)
		}
	}
}
