package steer

import (
	"math"
	"time"

	"pimentospread"
	"pimentospread/balance"
	"pimentospread/inflight"
	"pimentospread/outlier"
)

// maxCompared limits the targets that are compared for one flow, and so the time
// that this takes. The least loaded of 16 is nearly as good as that of all.
const maxCompared = 16

// maxWindowCompared limits the targets of the window that are compared. A host observes a large
// part of their load, so that more comparisons are worth their time.
const maxWindowCompared = 40

// Weights sets how targets are compared.
type Weights struct {
	// RemoteCost is added to the load of targets in other failure domains, in
	// running requests per slot, so that local targets are preferred.
	RemoteCost float64
	// ColdSpeed is the speed of a target that is warming up. A warm target has 1.
	ColdSpeed float64
	// EvenLoad makes each host prefer a window of the targets of its failure domain, and makes
	// slow targets cost more. See package balance.
	EvenLoad bool
}

// option is a candidate with the load and health that this host observed.
type option struct {
	candidate
	load   *inflight.Target
	health *outlier.Target
	// speed is nil unless Weights.EvenLoad is set.
	speed *balance.Speed
}

// options holds the candidates of a service, split into those of the host's own
// failure domain and the others.
type options struct {
	local, remote []option
	// window and outside are the parts of local that are in the window of the host and that are
	// not. Both are empty if Weights.EvenLoad is not set or the host is not in its own list.
	window, outside []option
}

// choose returns the target of a new flow: the option with the lowest load per
// slot among those that are not suspected. If all are suspected, it ignores the
// suspicion. A suspected target whose trial is due gets the first SYN of a flow instead,
// so that it can recover. Cold targets of which this host has no share left are skipped.
// Each retransmission compares other options: neighbors in the list may be machines of one
// rack, which fail together.
func (s *Steerer) choose(now time.Time, service pimentospread.ServiceName, flow pimentospread.FlowID, retransmissions uint32) (option, Cause) {
	candidates, trial := s.options[service], retransmissions == 0
	id := flow + pimentospread.FlowID(retransmissions)
	if trial {
		if o, ok := s.trialDue(now, candidates.local); ok {
			s.detector.RecordTrial(now, o.health)
			return o, CauseTrial
		}
	}
	if o, ok := s.cheapest(now, candidates, id, false); ok {
		// The flow goes to another failure domain, so it may try a suspected target there.
		if trial && !o.local {
			if remote, due := s.trialDue(now, candidates.remote); due {
				s.detector.RecordTrial(now, remote.health)
				return remote, CauseTrial
			}
		}
		return o, CauseLeastLoad
	}
	// Without a suspected target, a second comparison would find none either. It takes longest
	// if there are many cold targets without a share left.
	if candidates.suspected() {
		if o, ok := s.cheapest(now, candidates, id, true); ok {
			return o, CauseAllSuspected
		}
	}
	if candidates.limited(now) {
		return option{}, CauseCold
	}
	if s.view.evacuatedServices[service] {
		return option{}, CauseEvacuated
	}
	return option{}, CauseNoTarget
}

// suspected reports whether any of the options is suspected.
func (o *options) suspected() bool { return anySuspected(o.local) || anySuspected(o.remote) }

func anySuspected(list []option) bool {
	for i := range list {
		if list[i].health.Suspected() {
			return true
		}
	}
	return false
}

// trialDue returns the first suspected option whose trial is due.
func (s *Steerer) trialDue(now time.Time, list []option) (option, bool) {
	for i := range list {
		if o := &list[i]; o.health.TrialDue(now) && s.cold.allows(now, o) {
			return *o, true
		}
	}
	return option{}, false
}

// cheapest returns the option with the lowest cost including RemoteCost. It
// compares remote options only if no local one costs RemoteCost or less,
// because no remote one can cost less than that. Suspected options are compared
// only if includeSuspected is set.
func (s *Steerer) cheapest(now time.Time, candidates options, id pimentospread.FlowID, includeSuspected bool) (option, bool) {
	local, cost, found := s.cheapestLocal(now, candidates, id, includeSuspected)
	if found && cost <= s.weights.RemoteCost {
		return local, true
	}
	remote, costOfRemote, ok := s.leastLoaded(now, candidates.remote, id, maxCompared, includeSuspected)
	if ok && (!found || costOfRemote+s.weights.RemoteCost < cost) {
		return remote, true
	}
	return local, found
}

// cheapestLocal returns the local option with the lowest cost, and that cost. It compares the
// options outside the window only if none in the window costs maxWindowCost or less.
func (s *Steerer) cheapestLocal(now time.Time, candidates options, id pimentospread.FlowID, includeSuspected bool) (option, float64, bool) {
	if len(candidates.window) == 0 {
		return s.leastLoaded(now, candidates.local, id, maxCompared, includeSuspected)
	}
	inside, cost, found := s.leastLoaded(now, candidates.window, id, maxWindowCompared, includeSuspected)
	if found && cost <= s.even.maxWindowCost {
		return inside, cost, true
	}
	outside, costOutside, ok := s.leastLoaded(now, candidates.outside, id, maxCompared, includeSuspected)
	if ok && (!found || costOutside < cost) {
		return outside, costOutside, true
	}
	return inside, cost, found
}

// leastLoaded returns the option with the lowest cost, and that cost. It compares
// up to maxCompared options, starting at an index that the hash of the SYN gives,
// so that hosts that see no load choose the same target.
func (s *Steerer) leastLoaded(now time.Time, list []option, id pimentospread.FlowID, limit int, includeSuspected bool) (option, float64, bool) {
	best, lowest, compared := -1, math.Inf(1), 0
	if len(list) == 0 {
		return option{}, 0, false
	}
	i := int(mix(uint64(id)) % uint64(len(list)))
	for range list {
		if i++; i == len(list) {
			i = 0
		}
		o := &list[i]
		if o.health.Suspected() && !includeSuspected || !s.cold.allows(now, o) {
			continue
		}
		if c := s.cost(now, o); c < lowest {
			best, lowest = i, c
		}
		if compared++; compared == limit {
			break
		}
	}
	if best < 0 {
		return option{}, 0, false
	}
	return list[best], lowest, true
}

// cost returns the load of a target per slot. The slots of a target that is
// warming up count less, and those of a slow target too.
func (s *Steerer) cost(now time.Time, o *option) float64 {
	speed := o.slots
	if now.Before(o.warmUntil) {
		speed *= s.weights.ColdSpeed
	}
	load := s.tracker.Load(now, o.load)
	if o.speed != nil {
		factor, concealed := s.speeds.Weights(now, o.speed)
		running := float64(o.load.Running())
		load = s.even.weigh(running, (load-running)*concealed, factor)
	}
	return load / speed
}
