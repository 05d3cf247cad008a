package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	boardConnections = 40
	boardUsers       = 60
	// burstUsers come beside the usual ones: 2.4 times as many in all.
	burstUsers  = 84
	burstLength = 6500 * time.Millisecond
	// lossInterval is the number of requests of a flow of which one loses a datagram.
	lossInterval = 8
)

// fullServers lets many users come at once, six times for 6.5 s, so that the servers of a feed
// are full. Usual users keep their flow open and ask seldom. On each of their flows, the
// packet with every eighth request is lost once on its way to the server.
func fullServers(w *world, trouble bool) ([]string, error) {
	for range 3 {
		w.addHost()
	}
	lost := &losses{armed: map[flowKey]bool{}}
	for range 3 {
		s := w.addServer("board-desk", boardConnections, func() time.Duration { return 22 * time.Millisecond })
		s.answerBytes, s.loseArriving = 2000, lost.lose
	}
	for range 2 {
		w.addServer("cert-office", 2000, func() time.Duration { return 5 * time.Millisecond })
	}
	routes := []map[string]any{w.routeOf("r-board", 1, "idempotent", "board-desk"), w.routeOf("r-cert", 2, "download", "cert-office")}
	w.configure(1, routes, map[string]int{"board-desk": boardConnections, "cert-office": 2000})
	c, err := w.addClient()
	if err != nil {
		return nil, err
	}
	if err := w.start(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	b := &board{w: w, c: c, lost: lost, stop: make(chan struct{})}
	b.wait.Go(func() { downloads(w, c, b.stop) })
	for i := range boardUsers {
		b.wait.Go(func() { b.usual(fmt.Sprintf("d-%d", i)) })
		time.Sleep(4 * time.Second / boardUsers)
	}
	for burst := range 6 {
		time.Sleep(5 * time.Second)
		if trouble {
			b.burst(burst)
		} else {
			time.Sleep(burstLength)
		}
	}
	close(b.stop)
	b.wait.Wait()
	return b.found.list, nil
}

// board is a feed with users who keep their flows open.
type board struct {
	w     *world
	c     *client
	lost  *losses
	found findings
	stop  chan struct{}
	wait  sync.WaitGroup
}

// burst lets more users come. Each of them tries three times, as clients do, and keeps its
// flow to the end of the burst.
func (b *board) burst(n int) {
	b.w.rec.add("burst %d begins", n)
	over := time.Now().Add(burstLength)
	var wait sync.WaitGroup
	for i := range burstUsers {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / burstUsers)
			for range 3 {
				f, how := b.c.open(b.w.route(1))
				if how != endOpen {
					continue
				}
				f.request(fmt.Sprintf("x-%d-%d", n, i), "GET", 0, 3*time.Second)
				time.Sleep(time.Until(over))
				f.close()
				return
			}
		})
	}
	wait.Wait()
	b.w.rec.add("burst %d ends", n)
}

// downloads requests certificates at a steady rate.
func downloads(w *world, c *client, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		go func() {
			f, how := c.open(w.route(2))
			if how == endOpen {
				how = f.request(fmt.Sprintf("e-%d", i), "GET", 0, 3*time.Second)
				f.close()
			}
			if how != endAnswered {
				w.rec.add("download e-%d: %s", i, how)
			}
		}()
	}
}

// usual is a user who keeps a flow open, and opens another one when it ends.
func (b *board) usual(id string) {
	for try := 0; ; try++ {
		f, how := b.c.open(b.w.route(1))
		if how == endOpen {
			b.ask(f, id)
		}
		select {
		case <-b.stop:
			return
		case <-time.After(time.Duration(500+rand.IntN(1000)) * time.Millisecond):
		}
	}
}

// ask sends requests on a flow, with pauses, until the flow ends.
func (b *board) ask(f *clientFlow, id string) {
	for n := 1 + rand.IntN(lossInterval-1); ; n++ {
		loses := n%lossInterval == 0
		if loses {
			b.lost.arm(f.key)
		}
		how := f.request(fmt.Sprintf("%s-%s-%d", id, f.key.client, n), "GET", 0, 3*time.Second)
		o := b.w.opening(f.key)
		if o.server == nil {
			return // the handshake's last packet never reached a server
		}
		if how != endAnswered || loses {
			b.w.rec.add("flow %s at server %s: request %d, first copy lost %t: %s", f.key.client, o.server.id, n, loses, how)
		}
		if how == endSystemReset {
			b.found.add("FLOW (a): flow %s is open at server %s, which has run undisturbed for %.1f s, and the system resets it",
				f.key.client, o.server.id, time.Since(o.server.startedAt()).Seconds())
		}
		if how != endAnswered {
			return
		}
		select {
		case <-b.stop:
			f.close()
			return
		case <-time.After(time.Duration(6000+rand.IntN(6000)) * time.Millisecond):
		}
	}
}
