package dataplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/request"
)

// maxCountedCallers bounds the callers that are counted one by one for each
// service and class; the work of all others is added up under OtherCallers.
const maxCountedCallers = 1 << 14

// OtherCallers stands for the callers that are not counted one by one.
const OtherCallers pimentospread.CallerID = 0

// RequestStats counts what became of the requests of one service and class.
type RequestStats struct {
	Service pimentospread.ServiceID
	Class   pimentospread.Class
	// Arrived counts requests, not their transmissions.
	Arrived uint64
	Done    uint64
	NotRun  uint64
	Unknown uint64
	Failed  uint64
	// Delegated requests were taken over from another host's claim, which replies to them.
	Delegated uint64
	// Shed requests were refused by the admission or by the last target; they count as NotRun or Unknown as well.
	Shed    uint64
	Retried uint64
	// Malformed and Expired transmissions do not count as arrived.
	Malformed uint64
	Expired   uint64
	// InTime counts the requests done before their deadline for each caller.
	InTime map[pimentospread.CallerID]uint64
}

type statKey struct {
	service pimentospread.ServiceID
	class   pimentospread.Class
}

type statistics map[statKey]*RequestStats

func (s statistics) of(key statKey) *RequestStats {
	v := s[key]
	if v == nil {
		v = &RequestStats{Service: key.service, Class: key.class, InTime: map[pimentospread.CallerID]uint64{}}
		s[key] = v
	}
	return v
}

func (r *RequestDispatcher) statsOf(e *request.Entry) *RequestStats {
	return r.stats.of(statKey{e.Request.Service, e.Request.Class})
}

// conclude counts the outcome of a request.
func (s *RequestStats) conclude(now time.Time, e *request.Entry) {
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
