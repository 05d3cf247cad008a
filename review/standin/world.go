package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// zone is the zone of all machines of a deployment.
const zone = "z1"

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	text  bytes.Buffer
}

// add appends a line with the time since the start of the run.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, r.text.Bytes(), 0o600)
}

// synSent is one copy of an opening packet that a client has sent.
type synSent struct {
	at   time.Time
	host *host
}

// opening is a flow as its server has opened it.
type opening struct {
	server *server
	copy   uint32
	sent   synSent
	at     time.Time
}

// world is a small deployment: hosts of the system as processes, and stand-ins for all else.
type world struct {
	rec    *record
	folder string
	base   byte
	ports
	store   *store
	router  *router
	hosts   []*host
	servers []*server
	clients []*client

	mu       sync.Mutex
	syns     map[flowKey][]synSent
	openings map[flowKey]opening
	runs     map[string]int
	ranOn    map[flowKey]string
	// onOpen is called for each flow that a server opens.
	onOpen func(flowKey, opening)
}

// ports are the ports of the hosts, the same on all of them.
type ports struct{ dataPort, readyPort, peerPort, adminPort, storePort, serverPort uint16 }

// newWorld prepares a deployment without machines on addresses of its own.
func newWorld() (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	first := uint16(20000 + rand.IntN(8000))
	w := &world{
		rec: &record{start: time.Now()}, folder: folder, base: byte(20 + rand.IntN(200)),
		ports: ports{first, first + 1, first + 2, first + 3, first + 4, first + 5},
		syns:  map[flowKey][]synSent{}, openings: map[flowKey]opening{}, runs: map[string]int{}, ranOn: map[flowKey]string{},
	}
	w.router = newRouter(w)
	if w.store, err = newStore(netip.AddrPortFrom(w.ip(0, 1), w.storePort).String()); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			w.store.expire()
		}
	}()
	return w, nil
}

// ip returns a loopback address of the deployment. Group 1 holds hosts, 2 servers, 3
// clients and 9 the routes.
func (w *world) ip(group, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.base, group, n}) }

// route returns the address of a route.
func (w *world) route(n byte) netip.AddrPort { return netip.AddrPortFrom(w.ip(9, n), 8443) }

// routeOf returns a route as the operator writes it.
func (w *world) routeOf(name string, n byte, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": w.route(n).Addr().String(), "path_prefix": "/8443/", "route_type": kind, "timeout_ms": 3000,
		"target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2,
	}
}

// configure writes a configuration and returns when the store has acknowledged it.
func (w *world) configure(version int, routes []map[string]any, services map[string]int) time.Time {
	var list []map[string]any
	for name, connections := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false})
	}
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	at := w.store.put("config", "main", map[string]any{"version": version, "routes": routes, "services": list, "limits": limits})
	w.rec.add("configuration %d with %d routes is acknowledged", version, len(routes))
	return at
}

// addServer adds a server that is not started yet.
func (w *world) addServer(service string, connections int, work func() time.Duration) *server {
	n := len(w.servers) + 1
	s := &server{
		w: w, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), service: service,
		address: netip.AddrPortFrom(w.ip(2, byte(n)), w.serverPort), slots: 2, queue: 8, maxConnections: connections,
		work: work, answerBytes: 600,
	}
	w.servers = append(w.servers, s)
	return s
}

// addClient adds a client.
func (w *world) addClient() (*client, error) {
	c, err := newClient(w, w.ip(3, byte(len(w.clients)+1)))
	if err == nil {
		w.clients = append(w.clients, c)
	}
	return c, err
}

// start starts all servers and hosts that were added and waits until the hosts are ready.
func (w *world) start() error {
	for _, s := range w.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	time.Sleep(200 * time.Millisecond)
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	go w.router.pollAll()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if w.router.inRotation() == len(w.hosts) {
			return nil
		}
	}
	return fmt.Errorf("hosts are not ready")
}

// stop ends all processes, writes the record and removes the temporary folder.
func (w *world) stop(dir string) {
	for _, h := range w.hosts {
		h.end()
	}
	if err := w.rec.write(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", w.folder)
	}
}

// sentSYN records a copy of an opening packet.
func (w *world) sentSYN(key flowKey, h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syns[key] = append(w.syns[key], synSent{time.Now(), h})
}

// opened records that a server has opened a flow.
func (w *world) opened(s *server, f *serverFlow) {
	w.mu.Lock()
	o := opening{server: s, copy: f.copy, at: f.synAt}
	if sent := w.syns[f.key]; int(f.copy) < len(sent) {
		o.sent = sent[f.copy]
	}
	w.openings[f.key] = o
	w.mu.Unlock()
	if w.onOpen != nil {
		w.onOpen(f.key, o)
	}
}

// ran records that a server began to work on a request.
func (w *world) ran(s *server, j job) {
	w.mu.Lock()
	w.runs[j.id]++
	n := w.runs[j.id]
	w.ranOn[j.flow.key] = j.id
	w.mu.Unlock()
	if n > 1 {
		w.rec.add("server %s runs request %s, for the %d. time", s.id, j.id, n)
	}
}

// ranTimes returns how often a request has run.
func (w *world) ranTimes(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// opening returns the flow as its server opened it.
func (w *world) opening(key flowKey) opening {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.openings[key]
}

// mustJSON returns the value as JSON.
func mustJSON(v any) []byte {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}
	return b
}
