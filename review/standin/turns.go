package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// routeInTurn restarts the hosts in turn. Once in each turn, the operator adds a route again
// that an earlier version has removed, just after a host was told to stop.
func routeInTurn(w *world, trouble bool) ([]string, error) {
	for range 3 {
		w.addHost()
	}
	for range 3 {
		w.addServer("board-desk", 2000, func() time.Duration { return 22 * time.Millisecond })
	}
	c, err := w.addClient()
	if err != nil {
		return nil, err
	}
	t := &turns{w: w, c: c}
	t.configure(true)
	if err := w.start(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	for round := range 9 {
		t.configure(false)
		time.Sleep(stableWindow)
		if err := t.turn(round, trouble); err != nil {
			return nil, err
		}
	}
	return t.found.list, nil
}

// turns is a rolling restart with changes of the configuration.
type turns struct {
	w       *world
	c       *client
	found   findings
	version int
}

// configure writes the next version, with or without the route of the feed.
func (t *turns) configure(withBoard bool) {
	t.version++
	routes := []map[string]any{t.w.routeOf("r-other", 2, "idempotent", "board-desk")}
	if withBoard {
		routes = append(routes, t.w.routeOf("r-board", 1, "idempotent", "board-desk"))
	}
	t.w.configure(t.version, routes, map[string]int{"board-desk": 2000})
}

// turn restarts one host and then stops the next one, which is started again in the end. The
// route is added 0.1 s after the next one was told to stop, and clients open flows then.
func (t *turns) turn(round int, trouble bool) error {
	hosts := t.w.hosts
	first, next := hosts[round%len(hosts)], hosts[(round+1)%len(hosts)]
	if trouble {
		first.signal(syscall.SIGTERM)
		<-first.exited
		if err := first.start(); err != nil {
			return err
		}
		next.signal(syscall.SIGTERM)
	}
	time.Sleep(100 * time.Millisecond)
	t.configure(true)
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() { t.flow(fmt.Sprintf("f-%d-%d", round, i)) })
		time.Sleep(3 * time.Millisecond)
	}
	wait.Wait()
	if !trouble {
		return nil
	}
	<-next.exited
	return next.start()
}

// flow opens a flow and sends requests on it for two seconds.
func (t *turns) flow(id string) {
	f, how := t.c.open(t.w.route(1))
	opened := time.Now()
	for n := 0; how == endOpen || how == endAnswered; n++ {
		if time.Since(opened) > 2*time.Second {
			f.close()
			return
		}
		how = f.request(fmt.Sprintf("%s-%d", id, n), "GET", 0, 3*time.Second)
		time.Sleep(60 * time.Millisecond)
	}
	o := t.w.opening(f.key)
	t.w.rec.add("flow %s: %s", f.key.client, how)
	if how == endSystemReset && o.server != nil {
		t.found.add("FLOW (a): flow %s is open at server %s, through host %s, and the system resets it %d ms later, through host %s; version %d has its route",
			f.key.client, o.server.id, o.sent.host.name, time.Since(opened).Milliseconds(), t.w.router.hostOf(f.key).name, t.version)
	}
}
