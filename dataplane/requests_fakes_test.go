package dataplane_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/request"
	"pimentospread/service"
)

const (
	deskID  pimentospread.ServiceID = 7
	maxLife                         = 10 * time.Second
)

// queue is an Admission with one bounded queue in order of arrival.
type queue struct {
	limit int
	works []pimentospread.Work
}

func (q *queue) Offer(_ time.Time, work pimentospread.Work) []pimentospread.Refusal {
	if len(q.works) >= q.limit {
		return []pimentospread.Refusal{{Work: work, Reason: "queue is full"}}
	}
	q.works = append(q.works, work)
	return nil
}

func (q *queue) Next(time.Time, pimentospread.ServiceID) (pimentospread.Work, bool) {
	if len(q.works) == 0 {
		return pimentospread.Work{}, false
	}
	work := q.works[0]
	q.works = q.works[1:]
	return work, true
}

func (q *queue) Remove(id pimentospread.RequestID) bool {
	before := len(q.works)
	q.works = slices.DeleteFunc(q.works, func(w pimentospread.Work) bool { return w.Request == id })
	return len(q.works) < before
}

func (q *queue) Expire(time.Time) []pimentospread.Refusal                { return nil }
func (q *queue) Ended(time.Time, pimentospread.ServiceID, time.Duration) {}
func (q *queue) Waiting(pimentospread.ServiceID) int                     { return len(q.works) }

// slots is a Placement with a fixed number of slots at each target.
type slots struct {
	results []pimentospread.Result
	free    map[pimentospread.TargetID]int
	order   []pimentospread.TargetID
	budget  int
	random  *rand.Rand
}

func (s *slots) Pick(_ time.Time, _ pimentospread.ServiceID, excluded []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	start := s.random.IntN(len(s.order))
	for i := range s.order {
		t := s.order[(start+i)%len(s.order)]
		if s.free[t] > 0 && !slices.Contains(excluded, t) {
			s.free[t]--
			return t, true
		}
	}
	return 0, false
}

func (s *slots) Finish(_ time.Time, t pimentospread.TargetID, result pimentospread.Result, _ time.Duration) {
	s.results = append(s.results, result)
	s.free[t]++
}

func (s *slots) Report(time.Time, pimentospread.LoadReport) {}
func (s *slots) Started(time.Time, pimentospread.ServiceID) {}
func (s *slots) AllowRetry(time.Time, pimentospread.ServiceID) bool {
	s.budget--
	return s.budget >= 0
}

// deskView is a view with one service and the given number of targets.
func deskView(targets int) *dataplane.View {
	p := pool.Pool{Name: "desk"}
	for i := range targets {
		p.Targets = append(p.Targets, pool.Target{ID: pimentospread.TargetID(i + 1), RequestAddress: targetAddress(pimentospread.TargetID(i + 1))})
	}
	rules := policy.Defaults()
	rules.Classes = []policy.Class{{Name: "transfer"}}
	return &dataplane.View{Services: map[pimentospread.ServiceID]*dataplane.ServiceView{
		deskID: {Service: service.Service{ID: deskID, Name: "auction-desk"}, Pool: p, Policy: rules},
	}}
}

func targetAddress(t pimentospread.TargetID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(t)}), 5683)
}

func newSlots(targets, each int, random *rand.Rand) *slots {
	s := &slots{free: map[pimentospread.TargetID]int{}, budget: 1 << 30, random: random}
	for i := range targets {
		s.order = append(s.order, pimentospread.TargetID(i+1))
		s.free[pimentospread.TargetID(i+1)] = each
	}
	return s
}

func newRequest(caller, sequence uint64, deadline time.Time, idempotent bool) request.Request {
	return request.Request{
		ID:      pimentospread.RequestID{Caller: pimentospread.CallerID(caller), Sequence: sequence},
		Origin:  request.Origin{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(caller)}), 40000), Token: fmt.Appendf(nil, "%d", sequence)},
		Service: deskID, Class: "transfer", Deadline: deadline, Idempotent: idempotent,
	}
}
