package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// stableWindow and rollbackSlack are the bounds of the sites' sheets.
const (
	stableWindow  = 4 * time.Second
	rollbackSlack = 250 * time.Millisecond
)

// losses loses one packet with data of each flow that was armed.
type losses struct {
	mu    sync.Mutex
	armed map[flowKey]bool
}

func (l *losses) arm(key flowKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed[key] = true
}

func (l *losses) lose(key flowKey, p packet) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.armed[key] && len(p.data) > 0
	if lost {
		delete(l.armed, key)
	}
	return lost
}

// findings collects violations.
type findings struct {
	mu   sync.Mutex
	list []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// restartUnderOldName restarts servers under their ids while clients open flows. Each flow
// later loses one datagram with an answer.
func restartUnderOldName(w *world, trouble bool) ([]string, error) {
	for range 3 {
		w.addHost()
	}
	lost := &losses{armed: map[flowKey]bool{}}
	for range 7 {
		s := w.addServer("transfer-desk", 2000, func() time.Duration { return 20 * time.Millisecond })
		s.lose = lost.lose
	}
	w.configure(1, []map[string]any{w.routeOf("r-transfer", 1, "non_idempotent", "transfer-desk")}, map[string]int{"transfer-desk": 2000})
	c, err := w.addClient()
	if err != nil {
		return nil, err
	}
	if err := w.start(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	found := &findings{}
	for round := range 9 {
		restartRound(w, c, round, trouble, lost, found)
	}
	return found.list, nil
}

// restartRound opens flows for 0.8 s. In the midst of it one of the seven servers is down for
// 0.1 s.
func restartRound(w *world, c *client, round int, trouble bool, lost *losses, found *findings) {
	const flows, perSecond = 200, 250
	var wait sync.WaitGroup
	for i := range flows {
		if i == flows/4 && trouble {
			s := w.servers[round%len(w.servers)]
			s.crash()
			time.AfterFunc(100*time.Millisecond, func() {
				if err := s.start(); err != nil {
					w.rec.add("server %s does not start: %v", s.id, err)
				}
			})
		}
		wait.Go(func() { longFlow(w, c, fmt.Sprintf("a-%d-%d", round, i), lost, found) })
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
}

// longFlow opens a flow for two requests with a pause longer than the stable window. The
// first packet with the second answer is lost.
func longFlow(w *world, c *client, id string, lost *losses, found *findings) {
	f, how := c.open(w.route(1))
	if how == endOpen {
		how = f.request(id+"-1", "POST", 900, 3*time.Second)
	}
	if how != endAnswered {
		w.rec.add("flow %s: request %s-1: %s", f.key.client, id, how)
		return
	}
	time.Sleep(stableWindow + time.Second + time.Duration(rand.IntN(1000))*time.Millisecond)
	lost.arm(f.key)
	how = f.request(id+"-2", "POST", 900, 3*time.Second)
	o := w.opening(f.key)
	w.rec.add("flow %s at server %s through host %s: request %s-2: %s, ran %d times", f.key.client, o.server.id, o.sent.host.name, id, how, w.ranTimes(id+"-2"))
	age := time.Since(o.server.startedAt())
	if how == endSystemReset && o.at.After(o.server.startedAt()) && age > stableWindow {
		found.add("FLOW (a): flow %s is open at server %s, which has run for %.1f s, and the system resets it; request %s-2 has run %d times and is never answered",
			f.key.client, o.server.id, age.Seconds(), id, w.ranTimes(id+"-2"))
	}
	f.close()
}
