package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// configApply is the bound config_apply_ms.
	configApply = 3 * time.Second
	// idleRoutes are those of two big_config of the grown deployments. They make a configuration
	// of 0.53 MB; the store takes up to 1 MB.
	idleRoutes = 2800
	// stormLength and stormGap are those of a config_storm of the site's standard days.
	stormLength = 2 * time.Second
	stormGap    = 80 * time.Millisecond
	// observation exceeds the 15 s after which a host lists everything again.
	observation = 17 * time.Second

	addedPort   = 8445
	removedPort = 8444
)

// playConfiguration checks the rule CONFIG while configurations come in quick succession.
func playConfiguration(ctx context.Context, s *stage) error {
	zones := []string{"lk-west-neg", "lk-west-col", "lk-west-ber", "lk-west-neg", "lk-west-col", "lk-west-ber", "lk-west-neg"}
	c := configuration{version: 1, idle: idleRoutes, timeout: 800, routes: map[int]string{8443: "auction-desk", removedPort: "auction-desk"}}
	r, err := s.deploy(ctx, layout{
		hosts: zones[:number("HOSTS", 1)], endpoints: []string{"auction-desk", "auction-desk", "cert-office"}, configuration: c,
	})
	if err != nil {
		return err
	}
	defer r.stop()
	for _, h := range r.cluster.hosts[:number("LOST", 0)] {
		s.record.add("%s is lost for good", h.name)
		h.remove()
	}
	if number("LOST", 0) > 0 {
		sleep(ctx, calmTime)
	}
	if s.trouble {
		for range stormLength / stormGap {
			c.version, c.timeout = c.version+2, c.timeout+1
			s.write(c)
			sleep(ctx, stormGap)
		}
	}
	c.version, c.routes = c.version+3, map[int]string{8443: "auction-desk", addedPort: "cert-office"}
	return s.observe(ctx, r.client, s.write(c))
}

// observe opens flows of the route that was added and of the one that was removed.
func (s *stage) observe(ctx context.Context, cl *client, acknowledged time.Time) error {
	var broken error
	for time.Since(acknowledged) < observation && ctx.Err() == nil {
		for _, port := range []int{addedPort, removedPort} {
			f := cl.newFlow(address(port))
			sent := time.Since(acknowledged)
			err := f.open(ctx)
			s.record.add("flow %s to port %d, sent %.1f s after the acknowledgement: %s", f.own, port, sent.Seconds(), outcome(err))
			f.close()
			if sent > configApply && (port == addedPort) == (err != nil) {
				broken = fmt.Errorf("%w: CONFIG: a SYN to port %d, sent %.1f s after the acknowledgement, was handled as by an older version: %s",
					errBroken, port, sent.Seconds(), outcome(err))
				s.record.add("%s", broken)
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return broken
}

// outcome returns what became of the SYN of a flow.
func outcome(err error) string {
	if err == nil {
		return "open"
	}
	return err.Error()
}
