package fabric

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/ring"
	"pimentospread/standin/loopback"
)

const (
	// probeInterval is the time between two reads of a host's /readyz.
	probeInterval = 250 * time.Millisecond
	// probesPerRosterRead is the number of probe rounds from one read of the roster to the next.
	probesPerRosterRead = 4
)

// host holds the addresses of a listed entry host.
type host struct {
	data, admin netip.AddrPort
}

// readinessProber probes the listed hosts and puts the ready ones into a ring for the router.
type readinessProber struct {
	client *loopback.Client
	hosts  []host
	// roster is the URL of the Roster object, or empty if the hosts are given by flag.
	roster string
	output *ring.Ring[Hosts]
}

// run is the duty that probes the hosts until the context ends.
func (r *readinessProber) run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		if r.roster != "" && round%probesPerRosterRead == 0 {
			r.readRoster(ctx)
		}
		if err := r.output.Put(ctx, r.probe(ctx)); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readRoster replaces the list of hosts by that of the Roster object. It keeps
// the old list if the platform does not answer.
func (r *readinessProber) readRoster(ctx context.Context) {
	var object struct{ Value member.Roster }
	if err := r.client.GetJSON(ctx, r.roster, &object); err != nil {
		return
	}
	r.hosts = r.hosts[:0]
	for _, h := range object.Value.Hosts {
		r.hosts = append(r.hosts, host{data: h.DataAddress, admin: h.AdminAddress})
	}
}

// probe reads /readyz of all hosts concurrently, so that a host that hangs does
// not delay the others.
func (r *readinessProber) probe(ctx context.Context) Hosts {
	ready := make([]bool, len(r.hosts))
	done := make(chan int, len(r.hosts))
	for i, h := range r.hosts {
		go func() {
			_, err := r.client.Call(ctx, http.MethodGet, "http://"+h.admin.String()+"/readyz", nil, nil)
			ready[i] = err == nil
			done <- i
		}()
	}
	for range r.hosts {
		<-done
	}
	known := make(map[netip.AddrPort]bool, len(r.hosts))
	var readyAddresses []netip.AddrPort
	for i, h := range r.hosts {
		known[h.data] = true
		if ready[i] {
			readyAddresses = append(readyAddresses, h.data)
		}
	}
	return Hosts{Known: known, Ready: readyAddresses}
}

// parseHosts parses a list in which the data address and the admin address of each host follow each other.
func parseHosts(addresses []string) ([]host, error) {
	if len(addresses)%2 != 0 {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("--host needs pairs of data and admin address, got %d addresses", len(addresses)), "decode", "")
	}
	var hosts []host
	for i := 0; i < len(addresses); i += 2 {
		data, err := netip.ParseAddrPort(addresses[i])
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "data address %q is not an address with a port", addresses[i]), "decode", "")
		}
		admin, err := netip.ParseAddrPort(addresses[i+1])
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "admin address %q is not an address with a port", addresses[i+1]), "decode", "")
		}
		hosts = append(hosts, host{data, admin})
	}
	return hosts, nil
}
