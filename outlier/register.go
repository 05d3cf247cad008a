// Package outlier judges by what callers' packets show which targets do not
// answer. A target in doubt gets no new flows but a trial now and then.
package outlier

import (
	"time"

	"pimentospread"
)

// Config bounds a doubt.
type Config struct {
	// MinTrialInterval is the time from the doubt to the first trial flow. It doubles up to MaxTrialInterval.
	MinTrialInterval, MaxTrialInterval time.Duration
}

// Detector holds the evidence about targets. It belongs to one duty.
type Detector struct {
	config  Config
	targets map[pimentospread.Token]*Target
}

// Target is the evidence about one target.
type Target struct {
	// answered is the last time at which a packet showed that the target lives.
	answered time.Time
	doubted  bool
	// trial is when the next flow may try the target, and pause the time between trials.
	trial time.Time
	pause time.Duration
}

// New returns a register without evidence.
func New(c Config) *Detector {
	return &Detector{config: c, targets: map[pimentospread.Token]*Target{}}
}

// Target returns the evidence about a target. It stays valid until Retain drops the target.
func (r *Detector) Target(t pimentospread.Token) *Target {
	k, ok := r.targets[t]
	if !ok {
		k = &Target{}
		r.targets[t] = k
	}
	return k
}

// RecordAnswer says that a caller has heard from the target. It reports whether a doubt ended.
func (r *Detector) RecordAnswer(now time.Time, t pimentospread.Token) bool {
	k := r.Target(t)
	k.answered = now
	ended := k.doubted
	k.doubted = false
	return ended
}

// RecordRetransmission says that a caller sent something to the target again that it had
// sent at the given time. That is evidence only if nothing was heard of the
// target since then; otherwise a packet was lost. It reports whether a doubt began.
func (r *Detector) RecordRetransmission(now time.Time, t pimentospread.Token, sent time.Time) bool {
	k := r.Target(t)
	if k.doubted || k.answered.After(sent) {
		return false
	}
	k.doubted, k.pause = true, r.config.MinTrialInterval
	k.trial = now.Add(k.pause)
	return true
}

// RecordTrial says that a flow was sent to a target in doubt.
func (r *Detector) RecordTrial(now time.Time, k *Target) {
	k.pause = min(2*k.pause, r.config.MaxTrialInterval)
	k.trial = now.Add(k.pause)
}

// Suspected reports whether the target is in doubt.
func (k *Target) Suspected() bool { return k.doubted }

// TrialDue reports whether a flow may try the target although it is in doubt.
func (k *Target) TrialDue(now time.Time) bool { return k.doubted && !now.Before(k.trial) }

// Retain forgets the targets that are not in the set.
func (r *Detector) Retain(keep func(pimentospread.Token) bool) {
	for t := range r.targets {
		if !keep(t) {
			delete(r.targets, t)
		}
	}
}
