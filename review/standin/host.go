package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is a process of the system.
type host struct {
	w       *world
	name    string
	address netip.Addr
	cmd     *exec.Cmd
	exited  chan struct{}
	// inRotation is set while the routers send packets to the host; misses counts the
	// readiness checks in a row that failed.
	inRotation bool
	misses     int
}

// addHost adds a host that is not started yet.
func (w *world) addHost() {
	n := len(w.hosts) + 1
	w.hosts = append(w.hosts, &host{w: w, name: fmt.Sprintf("frontend-%s-%d", zone, n), address: w.ip(1, byte(n))})
}

// settings returns the settings as deploy/settings.json.tmpl makes them of the platform's.
func (h *host) settings() map[string]any {
	at := func(port uint16) string { return netip.AddrPortFrom(h.address, port).String() }
	var seeds []map[string]any
	for _, other := range h.w.hosts[:min(3, len(h.w.hosts))] {
		seeds = append(seeds, map[string]any{"PeerAddress": netip.AddrPortFrom(other.address, h.w.peerPort).String()})
	}
	return map[string]any{
		"Encapsulation": "token", "Host": h.name, "Region": "review", "FailureDomain": zone,
		"DataAddress": at(h.w.dataPort), "ReadyAddress": at(h.w.readyPort), "PeerAddress": at(h.w.peerPort), "Seeds": seeds,
		"AdminAddress": at(h.w.adminPort), "AllowRemoteAdmin": true, "TrustedNetwork": true,
		"PlatformURL": "http://" + h.w.store.address, "FlowLifetime": "60s", "ShutdownGrace": "6s",
		"MemoryLimitMB": 284, "LinkMbps": 1000.0, "LogFormat": "json",
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	path := filepath.Join(h.w.folder, h.name+".json")
	if err := os.WriteFile(path, mustJSON(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.CommandContext(context.Background(), "target/pimentospread", "serve", "--settings", path)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.folder, "LANG=C", "PIMENTOSPREAD_BOOT=" + path}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.w.rec.add("host %s starts", h.name)
	cmd, exited := h.cmd, make(chan struct{})
	h.exited = exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.w.rec.add("host %s ends: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.w.rec.add("host %s gets %s", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// end kills the process, if it runs, and waits for its end.
func (h *host) end() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// router stands for the platform's routers.
type router struct {
	w     *world
	mu    sync.Mutex
	http  *http.Client
	polls time.Duration
}

func newRouter(w *world) *router {
	return &router{w: w, polls: 500 * time.Millisecond, http: &http.Client{Timeout: 400 * time.Millisecond}}
}

// pollAll checks the readiness of each host twice a second.
func (r *router) pollAll() {
	for _, h := range r.w.hosts {
		go func() {
			for range time.Tick(r.polls) {
				r.poll(h)
			}
		}()
	}
}

// poll checks a host. After two misses it is out of rotation until it responds with 200.
func (r *router) poll(h *host) {
	ok := r.ready(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := h.inRotation
	switch {
	case ok:
		h.misses, h.inRotation = 0, true
	default:
		h.misses++
		h.inRotation = h.inRotation && h.misses < 2
	}
	if before != h.inRotation {
		r.w.rec.add("host %s in rotation: %t", h.name, h.inRotation)
	}
}

func (r *router) ready(h *host) bool {
	url := fmt.Sprintf("http://%s/readyz", netip.AddrPortFrom(h.address, r.w.readyPort))
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := r.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// inRotation returns the number of hosts in rotation.
func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.w.hosts {
		if h.inRotation {
			n++
		}
	}
	return n
}

// hostOf returns the host that gets the packets of a flow: by a hash of the four addresses
// and ports over the hosts of the zone that are in rotation, or over all of them
// if fewer than half are.
func (r *router) hostOf(key flowKey) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready []*host
	for _, h := range r.w.hosts {
		all = append(all, h)
		if h.inRotation {
			ready = append(ready, h)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	sum := fnv.New32a()
	_, _ = fmt.Fprint(sum, key.client, key.route)
	return ready[int(sum.Sum32()%uint32(len(ready)))]
}

// forward passes a packet of a client to a host.
func (r *router) forward(c *client, p packet) {
	key := flowKey{p.src, p.dst}
	h := r.hostOf(key)
	if p.has(flagSYN) {
		r.w.sentSYN(key, h)
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(h.address, r.w.dataPort))
}
