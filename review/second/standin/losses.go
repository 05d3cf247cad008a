package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// rounds is the number of times that datagrams are lost, and roundTime the time between.
	rounds    = 6
	roundTime = 3 * time.Second
	// quietFlows is the number of flows that are opened for each round. Those at one endpoint
	// through one host wait, and the others ask.
	quietFlows = 24
	askPause   = 100 * time.Millisecond
	// lostOfFirst and lostOfSecond are the datagrams that the two flows lose.
	lostOfFirst  = 2
	lostOfSecond = 1
)

// drops counts the datagrams with data that are still to be lost on their way to an endpoint.
type drops struct {
	mutex  sync.Mutex
	left   map[netip.AddrPort]int
	record *record
}

// arm lets the next datagrams of a client be lost.
func (d *drops) arm(client netip.AddrPort, n int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.left[client] = n
}

// drop reports whether a packet is lost.
func (d *drops) drop(p packet) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(p.data) == 0 || d.left[p.from] == 0 {
		return false
	}
	d.left[p.from]--
	d.record.add("a datagram of %s with request %s is lost", p.from, p.data)
	return true
}

// playLosses checks the rule FLOW while three datagrams to one endpoint are lost.
func playLosses(ctx context.Context, s *stage) error {
	d := &drops{left: map[netip.AddrPort]int{}, record: s.record}
	l := layout{
		hosts: []string{"lk-west-neg", "lk-west-neg"}, endpoints: []string{"auction-desk", "auction-desk", "auction-desk", "auction-desk"},
		drop: d.drop, configuration: configuration{version: 1, timeout: 800, routes: map[int]string{8443: "auction-desk"}},
	}
	r, err := s.deploy(ctx, l)
	if err != nil {
		return err
	}
	defer r.stop()
	reset := 0
	for n := range rounds {
		err := s.playRound(ctx, r, d, n)
		switch {
		case errors.Is(err, errReset):
			reset++
		case err != nil:
			return err
		}
		sleep(ctx, roundTime)
	}
	if reset > 0 {
		return fmt.Errorf("%w: FLOW: in %d of %d rounds the system reset a flow whose endpoint lives", errBroken, reset, rounds)
	}
	return nil
}

// playRound opens flows, lets datagrams of two of them be lost, and returns errReset if the
// system resets one of the two.
func (s *stage) playRound(ctx context.Context, r *running, d *drops, n int) error {
	var flows []*flow
	for range quietFlows {
		f := r.client.newFlow(address(8443))
		if err := f.open(ctx); err != nil {
			return fmt.Errorf("flow %s does not open: %w", f.own, err)
		}
		defer f.close()
		flows = append(flows, f)
	}
	sleep(ctx, time.Second)
	pair, others := s.choose(r, flows)
	if len(pair) < 2 {
		return fmt.Errorf("no two of %d flows are open at one endpoint through one host", len(flows))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, f := range others {
		go s.ask(ctx, f, fmt.Sprintf("%d.%d", n, i))
	}
	sleep(ctx, time.Second)
	if s.trouble {
		d.arm(pair[0].own, lostOfFirst)
		d.arm(pair[1].own, lostOfSecond)
	}
	results := make(chan error, len(pair))
	for i, f := range pair {
		go func() {
			err := f.request(ctx, fmt.Sprintf("%d.pair%d", n, i))
			s.record.add("flow %s: %s", f.own, outcome(err))
			results <- err
		}()
	}
	var reset error
	for range pair {
		if err := <-results; errors.Is(err, errReset) && strings.Contains(err.Error(), "the system") {
			reset = err
		}
	}
	return reset
}

// choose returns two flows that are open at one endpoint through one host, and those that are
// open at other endpoints.
func (s *stage) choose(r *running, flows []*flow) (pair, others []*flow) {
	type place struct{ endpoint, host string }
	at := map[place][]*flow{}
	var chosen place
	for _, f := range flows {
		holder, _ := s.holders.of(f.own)
		p := place{holder, r.cluster.route(packet{from: f.own, to: f.service}).name}
		at[p] = append(at[p], f)
		if len(at[p]) == 2 && pair == nil {
			pair, chosen = at[p], p
		}
	}
	for p, list := range at {
		if p.endpoint != chosen.endpoint {
			others = append(others, list...)
		}
	}
	if pair != nil {
		s.record.add("flows %s and %s are open at %s through %s", pair[0].own, pair[1].own, chosen.endpoint, chosen.host)
	}
	return pair, others
}

// ask sends requests on a flow until the context ends.
func (s *stage) ask(ctx context.Context, f *flow, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		if err := f.request(ctx, fmt.Sprintf("%s.%d", name, i)); err != nil {
			return
		}
		if err := f.pause(ctx, askPause); err != nil {
			return
		}
	}
}
