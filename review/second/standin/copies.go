package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// flowsOfCopies is the number of flows, of which each lossInterval-th loses one datagram.
	flowsOfCopies = 12
	lossInterval  = 3
	// requestsOfFlow and pauseOfFlow are the requests of a flow and the pauses between them.
	requestsOfFlow = 6
	pauseOfFlow    = 500 * time.Millisecond
	deadlineOfFlow = 2 * time.Second
)

// losses drops the first answer to the SYN of some clients. All later packets arrive.
type losses struct {
	mutex sync.Mutex
	lost  map[netip.AddrPort]bool
	// every is 0 if nothing is lost.
	every  int
	record *record
}

// lose reports whether a packet to a client is lost.
func (l *losses) lose(p packet) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.every == 0 || !p.is(flagSYN) || int(p.to.Port())%l.every != 0 || l.lost[p.to] {
		return false
	}
	l.lost[p.to] = true
	l.record.add("the SYN+ACK for %s is lost", p.to)
	return true
}

// playCopies checks the rule FLOW while single datagrams are lost.
func playCopies(ctx context.Context, s *stage) error {
	l := &losses{lost: map[netip.AddrPort]bool{}, record: s.record}
	if s.trouble {
		l.every = lossInterval
	}
	r, err := s.deploy(ctx, layout{
		hosts: []string{"lk-west-neg", "lk-west-neg"}, endpoints: []string{"auction-desk", "auction-desk", "auction-desk", "auction-desk"},
		lose: l.lose, configuration: configuration{version: 1, timeout: 800, routes: map[int]string{8443: "auction-desk"}},
	})
	if err != nil {
		return err
	}
	defer r.stop()
	reset := 0
	for n := range flowsOfCopies {
		f := r.client.newFlow(address(8443))
		err := s.runFlow(ctx, f, n)
		s.record.add("flow %s: %s", f.own, ending(err))
		f.close()
		if holder, by := s.holders.of(f.own); errors.Is(err, errReset) && holder != "" && by != holder {
			s.record.add("the flow of %s is open at %s, which lives, and was reset by %s", f.own, holder, by)
			reset++
		}
	}
	if reset > 0 {
		return fmt.Errorf("%w: FLOW: %d of %d flows were reset by an endpoint that does not hold them, while their own endpoints live", errBroken, reset, flowsOfCopies)
	}
	return nil
}

// runFlow opens a flow and sends requests with pauses between them.
func (s *stage) runFlow(ctx context.Context, f *flow, n int) error {
	if err := f.open(ctx); err != nil {
		return fmt.Errorf("not opened: %w", err)
	}
	for i := range requestsOfFlow {
		id := fmt.Sprintf("%d.%d", n, i)
		s.record.add("flow %s sends request %s", f.own, id)
		if err := f.request(ctx, id); err != nil {
			return err
		}
		s.record.add("flow %s got the answer to %s", f.own, id)
		if err := f.pause(ctx, pauseOfFlow); err != nil {
			return err
		}
	}
	return nil
}

// ending returns how a flow ended.
func ending(err error) string {
	if err == nil {
		return "all requests are answered"
	}
	return err.Error()
}
