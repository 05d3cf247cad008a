package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// moveRoute lets the operator move a route to another service, in the midst of a burst that
// fills the servers of the present one.
func moveRoute(w *world, trouble bool) ([]string, error) {
	for range 2 {
		w.addHost()
	}
	work := func() time.Duration { return time.Duration(15+rand.IntN(29)) * time.Millisecond }
	for i := range 4 {
		w.addServer([]string{"desk-a", "desk-b"}[i%2], 10, work)
	}
	c, err := w.addClient()
	if err != nil {
		return nil, err
	}
	configureMove(w, 1)
	if err := w.start(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	var violations []string
	for version := 2; version <= 9; version++ {
		violations = append(violations, moveRound(w, c, version, trouble)...)
	}
	return violations, nil
}

// serviceOf returns the service of the route in a version.
func serviceOf(version int) string { return []string{"desk-a", "desk-b"}[(version+1)%2] }

// configureMove writes a version. Each version removes the route of the one before and adds
// another one for the same address.
func configureMove(w *world, version int) time.Time {
	route := w.routeOf(fmt.Sprintf("r-%d", version), 1, "non_idempotent", serviceOf(version))
	return w.configure(version, []map[string]any{route}, map[string]int{"desk-a": 10, "desk-b": 10})
}

// moveRound plays one burst and one move, and returns what broke the rule.
func moveRound(w *world, c *client, version int, trouble bool) []string {
	const usual, burst = 70, 2.4
	var mu sync.Mutex
	var taken []flowKey
	w.onOpen = func(key flowKey, _ opening) {
		mu.Lock()
		defer mu.Unlock()
		taken = append(taken, key)
	}
	rate := float64(usual)
	if trouble {
		rate *= burst
	}
	var wait sync.WaitGroup
	moved := make(chan time.Time, 1)
	time.AfterFunc(1500*time.Millisecond, func() { moved <- configureMove(w, version) })
	for i := range int(3 * rate) {
		wait.Go(func() { oneRequest(w, c, fmt.Sprintf("b-%d-%d", version, i)) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	return staleOpenings(w, version, <-moved, taken)
}

// oneRequest opens a flow for one request and returns how that ended.
func oneRequest(w *world, c *client, id string) string {
	f, how := c.open(w.route(1))
	if how == endOpen {
		how = f.request(id, "POST", 900, time.Second)
		f.close()
	}
	if how != endAnswered {
		w.rec.add("request %s on flow %s: %s", id, f.key.client, how)
	}
	return how
}

// staleOpenings returns the flows that the old service got from a host through which the
// new one had got a flow before. The slack counts from then to the sending of the packet.
func staleOpenings(w *world, version int, moved time.Time, taken []flowKey) []string {
	effect := map[*host]time.Time{}
	for _, key := range taken {
		o := w.opening(key)
		if seen, ok := effect[o.sent.host]; o.server.service == serviceOf(version) && (!ok || o.at.Before(seen)) {
			effect[o.sent.host] = o.at
		}
	}
	var violations []string
	for _, key := range taken {
		o := w.opening(key)
		seen, ok := effect[o.sent.host]
		if !ok || o.server.service == serviceOf(version) || o.sent.at.Sub(seen) <= rollbackSlack {
			continue
		}
		w.mu.Lock()
		id, ran := w.ranOn[key]
		w.mu.Unlock()
		if ran {
			violations = append(violations, fmt.Sprintf(
				"CONFIG: version %d (acknowledged at %.3f) moves the route to %s, which had a flow through %s at %.3f; copy %d of flow %s, sent at %.3f (%d ms later), goes to %s of %s, which runs request %s",
				version, w.since(moved), serviceOf(version), o.sent.host.name, w.since(seen), o.copy, key.client, w.since(o.sent.at),
				o.sent.at.Sub(seen).Milliseconds(), o.server.id, o.server.service, id))
		}
	}
	w.rec.add("version %d: %d flows opened, %d by the old service too late", version, len(taken), len(violations))
	return violations
}

// since returns the time from the start of the run in seconds.
func (w *world) since(t time.Time) float64 { return t.Sub(w.rec.start).Seconds() }
