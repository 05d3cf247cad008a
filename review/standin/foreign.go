package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recovery is how long after the machines are back requests are not judged yet.
const recovery = 12 * time.Second

// foreignEntry lets another writer keep an entry of kind servers whose field slots has
// another type. A server begins to drain, and later all hosts are killed and start again.
func foreignEntry(w *world, trouble bool) ([]string, error) {
	for range 3 {
		w.addHost()
	}
	for range 3 {
		w.addServer("transfer-desk", 2000, func() time.Duration { return 20 * time.Millisecond })
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
	go writeForeignEntry(w, trouble)
	time.Sleep(2 * time.Second)
	late := drainOne(w)
	before := servedShare(w, c, "c")
	w.rec.add("before the fault %.0f%% of the requests are served; %d flows reach a draining server more than 3 s after the acknowledgement",
		100*before, late.Load())
	if err := killAll(w); err != nil {
		return nil, err
	}
	time.Sleep(recovery)
	after := servedShare(w, c, "d")
	w.rec.add("%s after the machines are back %.0f%% are served; hosts in rotation: %d", recovery, 100*after, w.router.inRotation())
	if before < 0.25 || after >= 0.25 {
		return nil, nil
	}
	return []string{fmt.Sprintf("RECOVER: %.0f%% of the requests sent later than %s after the machines are back are served, %.0f%% were before",
		100*after, recovery, 100*before)}, nil
}

// drainOne lets a server report that it is draining. It counts the flows that reach it later
// than the bound of 3 s.
func drainOne(w *world) *atomic.Int32 {
	var late atomic.Int32
	leaving := w.servers[0]
	drained := leaving.drain()
	w.rec.add("server %s is draining, acknowledged", leaving.id)
	w.onOpen = func(key flowKey, o opening) {
		if o.server == leaving && o.at.Sub(drained) > 3*time.Second && o.sent.at.After(drained) {
			late.Add(1)
			w.rec.add("flow %s reaches server %s %.3f s after the acknowledgement that it is draining, through host %s",
				key.client, leaving.id, o.at.Sub(drained).Seconds(), o.sent.host.name)
		}
	}
	return &late
}

// servedShare sends requests for six seconds and returns the share that is served.
func servedShare(w *world, c *client, id string) float64 {
	const requests = 240
	var served atomic.Int32
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() {
			if oneRequest(w, c, fmt.Sprintf("%s-%d", id, i)) == endAnswered {
				served.Add(1)
			}
		})
		time.Sleep(6 * time.Second / requests)
	}
	wait.Wait()
	return float64(served.Load()) / requests
}

// killAll kills all hosts at once and starts them again a second later.
func killAll(w *world) error {
	for _, h := range w.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		<-h.exited
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// writeForeignEntry writes the entry at each heartbeat, to the end of the run.
func writeForeignEntry(w *world, trouble bool) {
	slots := `"two"`
	if trouble {
		const depth = 10_001
		slots = strings.Repeat("[", depth) + strings.Repeat("]", depth)
	}
	spec := fmt.Sprintf(`{"service":"transfer-desk","address":"%s:9","zone":"z1","version":"v1","slots":%s,"state":"ready","warmup_left_ms":0,"sequence":1}`,
		w.ip(2, 200), slots)
	w.rec.add("another writer writes an entry of %d bytes", len(spec))
	for {
		w.store.put("servers", "backup-00000001", json.RawMessage(spec))
		time.Sleep(heartbeat)
	}
}
