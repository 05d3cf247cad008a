package main

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// flowsOfTokens is the number of flows that are open at the first endpoint.
	flowsOfTokens = 6
	// candidates is the number of ids among which two endpoints with one token are sought.
	candidates = 400_000
	// startDelay is the time until the endpoint starts that is added.
	startDelay = 12 * time.Second
	// afterAddition is how long flows are observed after it has started.
	afterAddition = 8 * time.Second
)

// token returns what an endpoint gets as its echo: a hash of its id and its start.
func token(i identity) uint32 {
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(i.id()), uint64(i.born))))
}

// sameToken returns the identities of two endpoints that start at the given times and have the
// same token. The id of the second one sorts before that of the first one.
func sameToken(first, second time.Time) (a, b identity, found bool) {
	seen := make(map[uint32]identity, candidates)
	for range candidates {
		i := identity{instance: rand.Uint64N(1 << 40), born: first.UnixMilli()}
		seen[token(i)] = i
	}
	for range candidates {
		b = identity{instance: rand.Uint64N(1 << 40), born: second.UnixMilli()}
		if a, found = seen[token(b)]; found && b.id() < a.id() {
			return a, b, true
		}
	}
	return a, b, false
}

// playTokens checks the rule FLOW while an endpoint is added whose token is that of another one.
func playTokens(ctx context.Context, s *stage) error {
	l := layout{
		hosts:         []string{"lk-west-neg", "lk-west-col", "lk-west-ber"},
		configuration: configuration{version: 1, timeout: 800, routes: map[int]string{8443: "auction-desk"}},
	}
	r, err := s.deploy(ctx, l)
	if err != nil {
		return err
	}
	defer r.stop()
	now := time.Now()
	start := now.Add(startDelay)
	a, b, found := sameToken(now, start)
	if !found {
		return errors.New("no two ids with one token among the candidates")
	}
	s.record.add("endpoint %s runs; endpoint %s will be added; both have the token %08x", a.id(), b.id(), token(a))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.addEndpoint(ctx, s, a, "auction-desk", l); err != nil {
		return err
	}
	sleep(ctx, calmTime)
	results := make(chan error)
	for n := range flowsOfTokens {
		go func() { results <- s.watchFlow(ctx, r.client, n, start.Add(afterAddition)) }()
	}
	sleep(ctx, time.Until(start))
	if s.trouble {
		s.record.add("endpoint %s is added", b.id())
		if err := r.addEndpoint(ctx, s, b, "cert-office", l); err != nil {
			return err
		}
	}
	reset := 0
	for range flowsOfTokens {
		if errors.Is(<-results, errReset) {
			reset++
		}
	}
	if reset > 0 {
		return fmt.Errorf("%w: FLOW: %d of %d flows were reset by an endpoint that does not hold them, while their own endpoint lives", errBroken, reset, flowsOfTokens)
	}
	return nil
}

// watchFlow keeps a flow open until the given time and returns the error that ended it.
func (s *stage) watchFlow(ctx context.Context, cl *client, n int, until time.Time) error {
	f := cl.newFlow(address(8443))
	defer f.close()
	err := f.open(ctx)
	for i := 0; err == nil && time.Now().Before(until); i++ {
		id := fmt.Sprintf("%d.%d", n, i)
		s.record.add("flow %s sends request %s", f.own, id)
		if err = f.request(ctx, id); err == nil {
			s.record.add("flow %s got the answer to %s", f.own, id)
			err = f.pause(ctx, pauseOfFlow)
		}
	}
	s.record.add("flow %s: %s", f.own, ending(err))
	if holder, by := s.holders.of(f.own); errors.Is(err, errReset) && holder != "" && by != holder {
		s.record.add("the flow of %s is open at %s, which lives, and was reset by %s", f.own, holder, by)
	}
	return err
}
