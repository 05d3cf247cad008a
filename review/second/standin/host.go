package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// probeInterval and probeMisses set when a host leaves the rotation.
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
	// restartDelay is the time after which a process that ended starts again.
	restartDelay = 300 * time.Millisecond
)

// hostProcess is an entry host of the system, which runs as a process.
type hostProcess struct {
	name     string
	address  netip.Addr
	settings string
	log      *os.File
	record   *record
	// remove ends the process for good.
	remove context.CancelFunc
	// ready is set while the host is in rotation.
	ready atomic.Bool
	ports ports
}

// ports are the ports of the hosts, the same for all.
type ports struct{ data, ready, control, admin uint16 }

// freePorts returns ports that are free at the address.
func freePorts(ctx context.Context, address netip.Addr) (ports, error) {
	var p ports
	for _, port := range []*uint16{&p.data, &p.ready, &p.control, &p.admin} {
		var config net.ListenConfig
		l, err := config.Listen(ctx, "tcp4", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return p, nil
}

// cluster holds the hosts of a deployment.
type cluster struct {
	hosts  []*hostProcess
	dir    string
	record *record
	ports  ports
	wait   sync.WaitGroup
}

// newCluster writes the settings of hosts at the addresses after the base. The zone of a host
// is that at its position in the list.
func newCluster(ctx context.Context, base netip.Addr, zones []string, platform, dir string, r *record) (*cluster, error) {
	p, err := freePorts(ctx, base.Next())
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: r, ports: p}
	address := base
	for i, zone := range zones {
		address = address.Next()
		h := &hostProcess{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), address: address, record: r, ports: p}
		h.settings = filepath.Join(dir, h.name+".json")
		c.hosts = append(c.hosts, h)
	}
	for i, h := range c.hosts {
		if err := h.writeSettings(zones[i], platform, c.seeds()); err != nil {
			return nil, err
		}
		if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil { //nolint:gosec // a file in the temporary folder
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) seeds() []map[string]string {
	var seeds []map[string]string
	for _, h := range c.hosts[:min(3, len(c.hosts))] {
		seeds = append(seeds, map[string]string{"PeerAddress": h.at(c.ports.control)})
	}
	return seeds
}

func (h *hostProcess) at(port uint16) string { return netip.AddrPortFrom(h.address, port).String() }

// writeSettings writes the settings as the template of the deploy file renders them.
func (h *hostProcess) writeSettings(zone, platform string, seeds []map[string]string) error {
	data, err := json.Marshal(map[string]any{
		"Encapsulation": "token", "Host": h.name, "Region": "lk-west", "FailureDomain": zone,
		"DataAddress": h.at(h.ports.data), "ReadyAddress": h.at(h.ports.ready), "PeerAddress": h.at(h.ports.control),
		"Seeds": seeds, "AdminAddress": h.at(h.ports.admin), "AllowRemoteAdmin": true, "TrustedNetwork": true,
		"PlatformURL": "http://" + platform, "FlowLifetime": "60s", "ShutdownGrace": "6s",
		"MemoryLimitMB": 284, "LinkMbps": 1000.0, "EvenLoad": true, "LogFormat": "json",
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, data, 0o600)
}

// start starts all hosts. They run until the context ends.
func (c *cluster) start(ctx context.Context) {
	for _, h := range c.hosts {
		c.wait.Add(2)
		go func() { defer c.wait.Done(); h.run(ctx) }()
		go func() { defer c.wait.Done(); h.probe(ctx) }()
	}
}

// run starts the process again whenever it ends.
func (h *hostProcess) run(ctx context.Context) {
	ctx, h.remove = context.WithCancel(ctx)
	for ctx.Err() == nil {
		cmd := exec.CommandContext(ctx, "target/pimentospread", "serve", "--settings", h.settings)
		cmd.Stdout, cmd.Stderr = h.log, h.log
		if err := cmd.Start(); err != nil {
			h.record.add("%s cannot start: %v", h.name, err)
			return
		}
		h.record.add("%s started", h.name)
		err := cmd.Wait()
		if ctx.Err() == nil {
			h.record.add("%s ended: %v", h.name, err)
			sleep(ctx, restartDelay)
		}
	}
}

// probe keeps the host in rotation while it answers that it is ready.
func (h *hostProcess) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	misses := 0
	for ctx.Err() == nil {
		if h.answers(ctx, client) {
			misses = 0
			if !h.ready.Swap(true) {
				h.record.add("%s enters the rotation", h.name)
			}
		} else if misses++; misses >= probeMisses && h.ready.Swap(false) {
			h.record.add("%s leaves the rotation", h.name)
		}
		sleep(ctx, probeInterval)
	}
}

func (h *hostProcess) answers(ctx context.Context, client *http.Client) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.at(h.ports.ready)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are in rotation.
func (c *cluster) awaitReady(ctx context.Context, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		all := true
		for _, h := range c.hosts {
			all = all && h.ready.Load()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %s", limit)
}

// route returns the host that the fabric selects for a packet of a client.
func (c *cluster) route(p packet) *hostProcess {
	var rotation []*hostProcess
	for _, h := range c.hosts {
		if h.ready.Load() {
			rotation = append(rotation, h)
		}
	}
	if len(rotation) == 0 {
		rotation = c.hosts
	}
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, p.from, p.to)
	return rotation[int(hash.Sum32())%len(rotation)]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
