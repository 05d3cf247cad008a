package steer

import (
	"math"
	"time"

	"pimentospread"
	"pimentospread/inflight"
	"pimentospread/outlier"
)

// maxCompared bounds the time of a choice. The least loaded of 16 is nearly as
// good as the least loaded of all.
const maxCompared = 16

// Weights say how targets are compared.
type Weights struct {
	// RemotePenalty is what a target of another failure domain must be less loaded,
	// in requests for each slot, than one of the own to get a flow.
	RemotePenalty float64
	// WarmupSpeed is the speed of a target that is still warming up, where a warm one has 1.
	WarmupSpeed float64
}

// option is a candidate with what this host has seen of it.
type option struct {
	candidate
	load  *inflight.Target
	doubt *outlier.Target
}

// options are the candidates of a service, those of the own failure domain apart.
type options struct {
	local, remote []option
}

// choose returns the option with the least load for each slot among those that
// are not in doubt. When all are, the doubt is not believed. A target in doubt
// whose trial is due gets the flow, so that it can come back.
func (s *Steerer) choose(now time.Time, service pimentospread.ServiceName, id pimentospread.FlowID, trial bool) (option, Cause) {
	of := s.options[service]
	if trial {
		if o, ok := trialDue(now, of.local); ok {
			s.doubts.RecordTrial(now, o.doubt)
			return o, CauseTrial
		}
	}
	if o, ok := s.cheapest(now, of, id, false); ok {
		// A flow that leaves the failure domain may try a target there instead.
		if t, due := trialDue(now, of.remote); trial && due && !o.local {
			s.doubts.RecordTrial(now, t.doubt)
			return t, CauseTrial
		}
		return o, CauseLeastLoad
	}
	if o, ok := s.cheapest(now, of, id, true); ok {
		return o, CauseAllSuspected
	}
	return option{}, CauseNoTarget
}

func trialDue(now time.Time, list []option) (option, bool) {
	for _, o := range list {
		if o.doubt.TrialDue(now) {
			return o, true
		}
	}
	return option{}, false
}

// cheapest looks at remote options only when the own failure domain has none
// that costs less than the cheapest remote one can.
func (s *Steerer) cheapest(now time.Time, of options, id pimentospread.FlowID, doubted bool) (option, bool) {
	local, cost, found := s.least(now, of.local, id, doubted)
	if found && cost <= s.weights.RemotePenalty {
		return local, true
	}
	remote, far, ok := s.least(now, of.remote, id, doubted)
	if ok && (!found || far+s.weights.RemotePenalty < cost) {
		return remote, true
	}
	return local, found
}

// least returns the option with the least load for each slot among the first few
// from a place that the flow's hash gives. Hosts that see no load agree.
func (s *Steerer) least(now time.Time, list []option, id pimentospread.FlowID, doubted bool) (option, float64, bool) {
	best, low, compared := -1, math.Inf(1), 0
	if len(list) == 0 {
		return option{}, 0, false
	}
	at := int(mix(uint64(id)) % uint64(len(list)))
	for range list {
		if at++; at == len(list) {
			at = 0
		}
		o := &list[at]
		if o.doubt.Suspected() && !doubted {
			continue
		}
		if c := s.cost(now, o); c < low {
			best, low = at, c
		}
		if compared++; compared == maxCompared {
			break
		}
	}
	if best < 0 {
		return option{}, 0, false
	}
	return list[best], low, true
}

// cost is the load of a target for each of its slots.
func (s *Steerer) cost(now time.Time, o *option) float64 {
	speed := o.slots
	if now.Before(o.target.WarmUntil) {
		speed *= s.weights.WarmupSpeed
	}
	return s.tracker.Load(now, o.load) / speed
}
