// Package warmup limits the opening packets that a host sends to targets that are
// warming up, such that the sum over all hosts stays within a bound although no host
// queries another. Each host derives its share from its list of hosts.
package warmup

import (
	"time"

	"pimentospread"
)

// Config sets how far the lists of hosts and the delivery of packets may diverge.
type Config struct {
	// Settle is longer than a change of the hosts takes to reach all hosts. For that long,
	// a host that left is still counted, and a host that joined or was paused sends nothing.
	Settle time.Duration
	// DeliverySpread is the difference between the longest and the shortest time from a
	// decision to the arrival of its packet.
	DeliverySpread time.Duration
}

// Limiter decides whether this host may send an opening packet to a cold target. It is not
// safe for concurrent use.
type Limiter struct {
	config  Config
	hosts   hostList
	targets map[pimentospread.Token]*target
	// settled is when the list of hosts has been known for long enough, and advanced is the
	// time of the last Advance.
	settled, advanced time.Time
}

// target is the share of this host in one cold target.
type target struct {
	plan plan
	// rate and revision are what plan and rank were derived from.
	rate     float64
	revision uint64
	// rank is the position of this host in the target's rendezvous order of hosts.
	rank int
	// next is when the next packet may be sent, and sent is when the last one was.
	next, sent time.Time
}

// New returns a limiter without a list of hosts, which has no share in any target.
func New(c Config) *Limiter {
	return &Limiter{config: c, targets: map[pimentospread.Token]*target{}}
}

// SetHosts replaces the hosts that share the targets. The host sends nothing to cold targets
// unless the list has the host itself.
func (l *Limiter) SetHosts(now time.Time, self pimentospread.HostID, hosts []pimentospread.HostID) {
	if joined := l.hosts.set(now, self, hosts); joined {
		l.settled = now.Add(l.config.Settle)
	}
	l.Advance(now)
}

// Advance records that the host runs. It is called for each packet: after an interval of
// Settle without a call, the host may have been paused, and others may have taken over its
// shares.
func (l *Limiter) Advance(now time.Time) {
	if now.Sub(l.advanced) >= l.config.Settle {
		l.settled = now.Add(l.config.Settle)
	}
	l.advanced = now
	l.hosts.expire(now, l.config.Settle)
}

// Allows reports whether the host may send an opening packet to the cold target, which
// bears the given number of packets a second. A rate of zero means that there is no limit.
func (l *Limiter) Allows(now time.Time, token pimentospread.Token, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if !l.hosts.listed || now.Before(l.settled) {
		return false
	}
	t := l.target(now, token, rate)
	return t.rank < t.plan.senders && !now.Before(t.next)
}

// Record records that the host sends an opening packet to the target.
func (l *Limiter) Record(now time.Time, token pimentospread.Token) {
	if t, ok := l.targets[token]; ok {
		t.sent, t.next = now, now.Add(t.plan.period)
	}
}

// Retain drops the state of all targets that are not in the set.
func (l *Limiter) Retain(keep func(pimentospread.Token) bool) {
	for token := range l.targets {
		if !keep(token) {
			delete(l.targets, token)
		}
	}
}

// target returns the share in a target, derived from the hosts and the rate in force.
func (l *Limiter) target(now time.Time, token pimentospread.Token, rate float64) *target {
	t, known := l.targets[token]
	if known && t.revision == l.hosts.revision && t.rate == rate {
		return t
	}
	if !known {
		t = &target{}
		l.targets[token] = t
	}
	t.rate, t.revision, t.rank = rate, l.hosts.revision, l.hosts.rank(token)
	t.plan = newPlan(rate, l.hosts.sharing(), time.Second+l.config.DeliverySpread)
	switch {
	case !known:
		// The first packets of the senders are spread over the period, because the queue of a
		// target does not hold one of each.
		t.next = now.Add(t.plan.period / time.Duration(max(t.plan.senders, 1)) * time.Duration(min(t.rank, t.plan.senders)))
	case !t.sent.IsZero():
		if next := t.sent.Add(t.plan.period); next.After(t.next) {
			t.next = next
		}
	}
	return t
}
