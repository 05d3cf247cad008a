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
	// probeEvery is how often each host's /readyz is read.
	probeEvery = 250 * time.Millisecond
	// rosterEvery is how many probes pass between two reads of the roster.
	rosterEvery = 4
)

// host is an entry host of the fabric's list.
type host struct {
	data, admin netip.AddrPort
}

// readiness follows the hosts and tells the spray which are ready.
type readiness struct {
	client *loopback.Client
	hosts  []host
	// roster is the URL of the Roster object; empty when the hosts are given by flag.
	roster string
	output *ring.Ring[Hosts]
}

// run is the duty that probes until the context ends.
func (r *readiness) run(ctx context.Context) error {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for round := 0; ; round++ {
		if r.roster != "" && round%rosterEvery == 0 {
			r.readRoster(ctx)
		}
		if err := r.output.Put(ctx, r.probe(ctx)); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// readRoster keeps the old list when the platform does not answer.
func (r *readiness) readRoster(ctx context.Context) {
	var o struct{ Value member.Roster }
	if err := r.client.GetJSON(ctx, r.roster, &o); err != nil {
		return
	}
	r.hosts = r.hosts[:0]
	for _, h := range o.Value.Hosts {
		r.hosts = append(r.hosts, host{data: h.DataAddress, admin: h.AdminAddress})
	}
}

// probe asks all hosts at once, so that one that hangs does not hold up the others.
func (r *readiness) probe(ctx context.Context) Hosts {
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
	var list []netip.AddrPort
	for i, h := range r.hosts {
		known[h.data] = true
		if ready[i] {
			list = append(list, h.data)
		}
	}
	return Hosts{Known: known, Ready: list}
}

// parseHosts reads pairs of data and admin address.
func parseHosts(pairs []string) ([]host, error) {
	if len(pairs)%2 != 0 {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("hosts need pairs of data and admin address, got %d addresses", len(pairs)), "decode", "")
	}
	var hosts []host
	for i := 0; i < len(pairs); i += 2 {
		data, err := netip.ParseAddrPort(pairs[i])
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "data address %q", pairs[i]), "decode", "")
		}
		admin, err := netip.ParseAddrPort(pairs[i+1])
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "admin address %q", pairs[i+1]), "decode", "")
		}
		hosts = append(hosts, host{data, admin})
	}
	return hosts, nil
}
