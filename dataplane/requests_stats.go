package dataplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/request"
)

// maxCountedCallers bounds the callers that are counted individually for each
// service and class. All others are counted together as OtherCallers.
const maxCountedCallers = 1 << 14

// OtherCallers is the key under which callers are counted that are not counted individually.
const OtherCallers pimentospread.CallerID = 0

// RequestStats counts the requests of one service and class by their outcome.
type RequestStats struct {
	Service pimentospread.ServiceID
	Class   pimentospread.Class
	// Arrived counts requests, not their transmissions.
	Arrived uint64
	Done    uint64
	NotRun  uint64
	Unknown uint64
	Failed  uint64
	// Delegated counts the requests that another host owns and replies to.
	Delegated uint64
	// Shed counts the requests that the admission or the last target refused. They count as NotRun or Unknown as well.
	Shed    uint64
	Retried uint64
	// Malformed and Expired count transmissions that do not count as Arrived.
	Malformed uint64
	Expired   uint64
	// InTime counts the requests that were answered before their deadline, by caller.
	InTime map[pimentospread.CallerID]uint64
}

type statKey struct {
	service pimentospread.ServiceID
	class   pimentospread.Class
}

type requestStatsByKey map[statKey]*RequestStats

func (s requestStatsByKey) entry(key statKey) *RequestStats {
	v := s[key]
	if v == nil {
		v = &RequestStats{Service: key.service, Class: key.class, InTime: map[pimentospread.CallerID]uint64{}}
		s[key] = v
	}
	return v
}

func (r *RequestDispatcher) statsFor(e *request.Entry) *RequestStats {
	return r.stats.entry(statKey{e.Request.Service, e.Request.Class})
}

// countOutcome adds the outcome of a finished request to the counts.
func (s *RequestStats) countOutcome(now time.Time, e *request.Entry) {
	switch e.Outcome {
	case request.Answered:
		s.Done++
		if now.Before(e.Request.Deadline) {
			s.countInTime(e.Request.ID.Caller)
		}
	case request.TargetFailed:
		s.Failed++
	case request.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}

func (s *RequestStats) countInTime(caller pimentospread.CallerID) {
	if _, known := s.InTime[caller]; !known && len(s.InTime) >= maxCountedCallers {
		caller = OtherCallers
	}
	s.InTime[caller]++
}

// Stats returns a copy of the counts, ordered by service and class.
func (r *RequestDispatcher) Stats() []RequestStats {
	all := make([]RequestStats, 0, len(r.stats))
	for _, v := range r.stats {
		c := *v
		c.InTime = maps.Clone(v.InTime)
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b RequestStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return all
}
