// Package policy defines policies: the classes of requests with their limits, and
// the timeouts of flows and requests.
package policy

import (
	"fmt"
	"time"

	"pimentospread"
)

// Class holds the limits and the priority of one class of requests.
type Class struct {
	// Name is the value of the request's Class option.
	Name pimentospread.Class `json:"Name"`
	// Urgency is the priority of the class. A higher one is served first.
	Urgency pimentospread.Urgency `json:"Urgency"`
	// Weight is the weight of a request of the class in the burn report.
	Weight pimentospread.Weight `json:"Weight"`
	// QueueLength bounds the requests of this class that wait at one host.
	QueueLength int `json:"QueueLength"`
	// MaxWait bounds the time in the queue. A request never waits beyond its deadline.
	MaxWait pimentospread.Duration `json:"MaxWait"`
	// Floor is the share of a pool's slots that the class keeps while more urgent work waits.
	Floor pimentospread.Ratio `json:"Floor"`
	// Objective is the share of requests that should be done in time.
	Objective pimentospread.Ratio `json:"Objective"`
}

// Policy is a configuration object of the operator. Services refer to it by name.
type Policy struct {
	Name    pimentospread.PolicyName `json:"Name"`
	Classes []Class                  `json:"Classes"`
	// IdleTimeout is the time without a packet after which a flow ends.
	IdleTimeout pimentospread.Duration `json:"IdleTimeout"`
	// SilenceAfter is the time with packets to the target but none from it after which a flow counts as silent.
	SilenceAfter pimentospread.Duration `json:"SilenceAfter"`
	// ColdStart is the time over which a new target's limit grows from one slot to all slots.
	ColdStart pimentospread.Duration `json:"ColdStart"`
	// MaxLifetime is the longest time from the arrival of a request to its deadline.
	MaxLifetime pimentospread.Duration `json:"MaxLifetime"`
}

// Defaults returns a policy with the default timeouts and no classes.
func Defaults() Policy {
	return Policy{
		IdleTimeout:  pimentospread.Duration{Duration: 2*time.Hour + 15*time.Minute},
		SilenceAfter: pimentospread.Duration{Duration: 30 * time.Second},
		ColdStart:    pimentospread.Duration{Duration: 10 * time.Second},
		MaxLifetime:  pimentospread.Duration{Duration: 10 * time.Second},
	}
}

// Check returns the faults within the policy. path is the location of the policy in
// the set of objects.
func (p Policy) Check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if p.Name == "" {
		faults = append(faults, pimentospread.Faultf(path+".Name", "is empty"))
	}
	if len(p.Classes) == 0 {
		faults = append(faults, pimentospread.Faultf(path+".Classes", "needs at least one class"))
	}
	seen := map[pimentospread.Class]bool{}
	for i, c := range p.Classes {
		at := fmt.Sprintf("%s.Classes[%d]", path, i)
		if seen[c.Name] {
			faults = append(faults, pimentospread.Faultf(at+".Name", "%q appears twice", c.Name))
		}
		seen[c.Name] = true
		faults = append(faults, c.check(at)...)
	}
	return append(faults, p.checkTimeouts(path)...)
}

func (p Policy) checkTimeouts(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	timeouts := []struct {
		name  string
		value pimentospread.Duration
	}{
		{"IdleTimeout", p.IdleTimeout}, {"SilenceAfter", p.SilenceAfter},
		{"ColdStart", p.ColdStart}, {"MaxLifetime", p.MaxLifetime},
	}
	for _, t := range timeouts {
		// Flow entries store times in whole seconds.
		if t.value.Duration < time.Second {
			faults = append(faults, pimentospread.Faultf(path+"."+t.name, "must be at least 1s, is %s", t.value))
		}
	}
	return faults
}

func (c Class) check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if c.Name == "" {
		faults = append(faults, pimentospread.Faultf(path+".Name", "is empty"))
	}
	if c.QueueLength <= 0 {
		faults = append(faults, pimentospread.Faultf(path+".QueueLength", "must be above zero, is %d", c.QueueLength))
	}
	if c.MaxWait.Duration <= 0 {
		faults = append(faults, pimentospread.Faultf(path+".MaxWait", "must be above zero, is %s", c.MaxWait))
	}
	if c.Floor < 0 || c.Floor > 0.5 {
		faults = append(faults, pimentospread.Faultf(path+".Floor", "must be between 0 and 0.5, is %g", float64(c.Floor)))
	}
	if c.Objective <= 0 || c.Objective >= 1 {
		faults = append(faults, pimentospread.Faultf(path+".Objective", "must be between 0 and 1, is %g", float64(c.Objective)))
	}
	return faults
}

// WithDefaults returns the policy with the defaults for omitted timeouts.
func (p Policy) WithDefaults() Policy {
	d := Defaults()
	p.IdleTimeout = orDefault(p.IdleTimeout, d.IdleTimeout)
	p.SilenceAfter = orDefault(p.SilenceAfter, d.SilenceAfter)
	p.ColdStart = orDefault(p.ColdStart, d.ColdStart)
	p.MaxLifetime = orDefault(p.MaxLifetime, d.MaxLifetime)
	return p
}

func orDefault(value, fallback pimentospread.Duration) pimentospread.Duration {
	if value.Duration == 0 {
		return fallback
	}
	return value
}
