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
	testServiceID      pimentospread.ServiceID = 7
	maxRequestLifetime                         = 10 * time.Second
)

// fifoAdmission is an Admission with one bounded queue in order of arrival.
type fifoAdmission struct {
	limit int
	works []pimentospread.Work
}

func (q *fifoAdmission) Offer(_ time.Time, work pimentospread.Work) []pimentospread.Refusal {
	if len(q.works) >= q.limit {
		return []pimentospread.Refusal{{Work: work, Reason: "queue is full"}}
	}
	q.works = append(q.works, work)
	return nil
}

func (q *fifoAdmission) Next(time.Time, pimentospread.ServiceID) (pimentospread.Work, bool) {
	if len(q.works) == 0 {
		return pimentospread.Work{}, false
	}
	work := q.works[0]
	q.works = q.works[1:]
	return work, true
}

func (q *fifoAdmission) Remove(id pimentospread.RequestID) bool {
	before := len(q.works)
	q.works = slices.DeleteFunc(q.works, func(w pimentospread.Work) bool { return w.Request == id })
	return len(q.works) < before
}

func (q *fifoAdmission) Expire(time.Time) []pimentospread.Refusal                { return nil }
func (q *fifoAdmission) Ended(time.Time, pimentospread.ServiceID, time.Duration) {}
func (q *fifoAdmission) Waiting(pimentospread.ServiceID) int                     { return len(q.works) }

// slotPlacement is a Placement with a fixed number of slots at each target.
type slotPlacement struct {
	results     []pimentospread.Result
	freeSlots   map[pimentospread.TargetID]int
	targets     []pimentospread.TargetID
	retryBudget int
	random      *rand.Rand
}

func (s *slotPlacement) Pick(_ time.Time, _ pimentospread.ServiceID, excluded []pimentospread.TargetID) (pimentospread.TargetID, bool) {
	start := s.random.IntN(len(s.targets))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		if s.freeSlots[t] > 0 && !slices.Contains(excluded, t) {
			s.freeSlots[t]--
			return t, true
		}
	}
	return 0, false
}

func (s *slotPlacement) Finish(_ time.Time, t pimentospread.TargetID, result pimentospread.Result, _ time.Duration) {
	s.results = append(s.results, result)
	s.freeSlots[t]++
}

func (s *slotPlacement) Report(time.Time, pimentospread.LoadReport) {}
func (s *slotPlacement) Started(time.Time, pimentospread.ServiceID) {}
func (s *slotPlacement) AllowRetry(time.Time, pimentospread.ServiceID) bool {
	s.retryBudget--
	return s.retryBudget >= 0
}

// newTestView returns a view with one service and the given number of targets.
func newTestView(targets int) *dataplane.View {
	p := pool.Pool{Name: "desk"}
	for i := range targets {
		p.Targets = append(p.Targets, pool.Target{ID: pimentospread.TargetID(i + 1), RequestAddress: targetAddress(pimentospread.TargetID(i + 1))})
	}
	rules := policy.Defaults()
	rules.Classes = []policy.Class{{Name: "transfer"}}
	return &dataplane.View{Services: map[pimentospread.ServiceID]*dataplane.ServiceView{
		testServiceID: {Service: service.Service{ID: testServiceID, Name: "auction-desk"}, Pool: p, Policy: rules},
	}}
}

func targetAddress(t pimentospread.TargetID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(t)}), 5683)
}

func newSlotPlacement(targets, each int, random *rand.Rand) *slotPlacement {
	s := &slotPlacement{freeSlots: map[pimentospread.TargetID]int{}, retryBudget: 1 << 30, random: random}
	for i := range targets {
		s.targets = append(s.targets, pimentospread.TargetID(i+1))
		s.freeSlots[pimentospread.TargetID(i+1)] = each
	}
	return s
}

func newRequest(caller, sequence uint64, deadline time.Time, idempotent bool) request.Request {
	return request.Request{
		ID:      pimentospread.RequestID{Caller: pimentospread.CallerID(caller), Sequence: sequence},
		Origin:  request.Origin{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(caller)}), 40000), Token: fmt.Appendf(nil, "%d", sequence)},
		Service: testServiceID, Class: "transfer", Deadline: deadline, Idempotent: idempotent,
	}
}
