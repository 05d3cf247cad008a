package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// foreignEntry lets another writer keep an entry of kind servers whose field slots has
// another type. A server begins to drain meanwhile.
func foreignEntry(w *world, trouble bool) ([]string, error) {
	const drainBound = 3 * time.Second
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
	leaving := w.servers[0]
	drained := leaving.drain()
	w.rec.add("server %s is draining, acknowledged", leaving.id)
	found := &findings{}
	w.onOpen = func(key flowKey, o opening) {
		if late := o.at.Sub(drained); o.server == leaving && late > drainBound && o.sent.at.After(drained) {
			found.add("DRAIN: flow %s of a client reaches server %s %d ms after the acknowledgement that it is draining, through host %s",
				key.client, leaving.id, late.Milliseconds(), o.sent.host.name)
		}
	}
	var wait sync.WaitGroup
	for i := range 400 {
		wait.Go(func() { oneRequest(w, c, fmt.Sprintf("c-%d", i)) })
		time.Sleep(25 * time.Millisecond)
	}
	wait.Wait()
	found.mu.Lock()
	defer found.mu.Unlock()
	return found.list, nil
}

// writeForeignEntry writes the entry at each heartbeat.
func writeForeignEntry(w *world, trouble bool) {
	slots := `"two"`
	if trouble {
		const depth = 10_001
		slots = strings.Repeat("[", depth) + strings.Repeat("]", depth)
	}
	spec := fmt.Sprintf(`{"service":"transfer-desk","address":"%s:9","zone":"z1","version":"v1","slots":%s,"state":"ready","warmup_left_ms":0,"sequence":1}`,
		w.ip(2, 200), slots)
	w.rec.add("another writer writes an entry of %d bytes", len(spec))
	for range 40 {
		w.store.put("servers", "backup-00000001", json.RawMessage(spec))
		time.Sleep(heartbeat)
	}
}
