package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"
)

const (
	// startTime is how long the hosts may take to become ready, and calmTime exceeds the bound
	// stable_window_ms of 4 s, after which machines are in touch.
	startTime = 15 * time.Second
	calmTime  = 5 * time.Second
	// firstInstance is the number in the id of the first endpoint.
	firstInstance = 0x7f3a910000
)

// layout is what a case deploys.
type layout struct {
	// hosts are the zones of the entry hosts.
	hosts []string
	// endpoints are the services of the endpoints.
	endpoints []string
	// lose reports whether a packet of an endpoint to a client is lost.
	lose func(p packet) bool
	// drop reports whether a packet to an endpoint is lost.
	drop func(p packet) bool
	// configuration is the first configuration.
	configuration configuration
}

// running is a deployment that runs.
type running struct {
	cluster *cluster
	client  *client
	// added counts the endpoints that were started.
	added int
	stop  context.CancelFunc
}

// deploy starts hosts, endpoints and clients, and waits until the hosts are ready and in touch.
func (s *stage) deploy(ctx context.Context, l layout) (*running, error) {
	ctx, cancel := context.WithCancel(ctx)
	c, err := newCluster(ctx, s.base, l.hosts, s.store.address, s.dir, s.record)
	if err != nil {
		cancel()
		return nil, err
	}
	r := &running{cluster: c, stop: func() { cancel(); c.wait.Wait() }}
	s.write(l.configuration)
	for i, service := range l.endpoints {
		id := identity{instance: firstInstance + uint64(i), born: time.Now().UnixMilli()}
		if err := r.addEndpoint(ctx, s, id, service, l); err != nil {
			cancel()
			return nil, err
		}
	}
	if r.client, err = newClient(s.after(200), c, s.record); err != nil {
		cancel()
		return nil, err
	}
	go r.client.run(ctx)
	c.start(ctx)
	if err := c.awaitReady(ctx, startTime); err != nil {
		r.stop()
		return nil, err
	}
	sleep(ctx, calmTime)
	return r, nil
}

// addEndpoint starts an endpoint in the zone that its number gives.
func (r *running) addEndpoint(ctx context.Context, s *stage, i identity, service string, l layout) error {
	n := r.added
	r.added++
	e, err := newEndpoint(i, service, l.hosts[n%len(l.hosts)], s.after(100+n), s)
	if err != nil {
		return err
	}
	e.clientPort, e.lose, e.drop = r.cluster.ports.data, l.lose, l.drop
	go e.run(ctx)
	return nil
}

// configuration is a configuration of the operator.
type configuration struct {
	version int
	// idle is the number of routes without traffic.
	idle    int
	timeout int
	// routes maps ports of 198.18.0.1 to services.
	routes map[int]string
}

// address returns the address of the route of a port.
func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(port))
}

// spec returns the configuration as the operator writes it.
func (c configuration) spec() json.RawMessage {
	var routes []map[string]any
	route := func(name, host string, port int, service string) {
		routes = append(routes, map[string]any{
			"name": name, "host": host, "path_prefix": fmt.Sprintf("/%d/", port), "route_type": "idempotent", "timeout_ms": c.timeout,
			"target_latency_ms": 120, "priority": 2, "service": service, "max_attempts": 2,
		})
	}
	for port, service := range c.routes {
		route(fmt.Sprintf("r-live%d", port), "198.18.0.1", port, service)
	}
	for i := range c.idle {
		route(fmt.Sprintf("r-idle%d", i), fmt.Sprintf("198.18.%d.%d", 4+i/200, 1+i%200), 443, "auction-desk")
	}
	services := []map[string]any{}
	for _, name := range []string{"auction-desk", "cert-office"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

// write writes a configuration and returns the time of the acknowledgement.
func (s *stage) write(c configuration) time.Time {
	spec := c.spec()
	s.store.put("config", "main", spec)
	now := time.Now()
	s.record.add("configuration %d is acknowledged (%d routes, %d bytes)", c.version, c.idle+len(c.routes), len(spec))
	return now
}

// number returns the number in an environment variable.
func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
