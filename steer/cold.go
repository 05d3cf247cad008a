package steer

import (
	"slices"
	"time"

	"pimentospread"
	"pimentospread/warmup"
)

const (
	// coldMargin is by how much longer than by the clock of this host a target may be cold:
	// a registration takes up to a second to arrive.
	coldMargin = time.Second
	// hostsSettle exceeds the time in which a change of the hosts reaches all hosts, some seconds.
	hostsSettle = 5 * time.Second
	// deliverySpread is the difference in delay between packets to one target, with room for a
	// host that sends late.
	deliverySpread = 100 * time.Millisecond
)

// coldTargets limits the new flows to cold targets of services with a warm-up rate.
type coldTargets struct {
	limiter *warmup.Limiter
	// hosts and self are passed to the limiter with the time of the next packet if changed is set.
	hosts   []pimentospread.HostID
	self    pimentospread.HostID
	changed bool
}

func newColdTargets() coldTargets {
	return coldTargets{limiter: warmup.New(warmup.Config{Settle: hostsSettle, DeliverySpread: deliverySpread})}
}

// setView passes on the hosts of the view. The rate of a target is split among the hosts of
// its failure domain alone: hosts prefer targets of their own, and they list each other even
// if the domain is cut off.
func (c *coldTargets) setView(v *View) {
	c.self, c.hosts, c.changed = v.Self, c.hosts[:0], true
	for _, h := range v.Hosts {
		if h.FailureDomain == v.FailureDomain {
			c.hosts = append(c.hosts, h.ID)
		}
	}
	c.limiter.Retain(func(t pimentospread.Token) bool { return v.tokens[t] != nil })
}

// advance records that the host handles packets.
func (c *coldTargets) advance(now time.Time) {
	if c.changed {
		c.limiter.SetHosts(now, c.self, c.hosts)
		c.changed = false
		return
	}
	c.limiter.Advance(now)
}

// allows reports whether the target is warm, has no limit, or has a share left for this host.
func (c *coldTargets) allows(now time.Time, o *option) bool {
	return !o.limited(now) || o.local && c.limiter.Allows(now, o.target.Token, o.warmupRate)
}

// record records that a new flow is sent to the target.
func (c *coldTargets) record(now time.Time, o *option) {
	if o.limited(now) {
		c.limiter.Record(now, o.target.Token)
	}
}

// limited reports whether the target is cold, or may be, and has a warm-up rate.
func (o *option) limited(now time.Time) bool {
	return o.warmupRate > 0 && now.Sub(o.target.WarmUntil) < coldMargin
}

// limited reports whether any of the options is limited.
func (o *options) limited(now time.Time) bool {
	limited := func(o option) bool { return o.limited(now) }
	return slices.ContainsFunc(o.local, limited) || slices.ContainsFunc(o.remote, limited)
}
