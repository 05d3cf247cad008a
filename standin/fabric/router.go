// Package fabric is a small stand-in for the network fabric between callers,
// hosts and targets. It forwards each packet of a caller or target to a randomly
// chosen ready host, and the packets of hosts to the callers.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"pimentospread/packet"
)

// maxCallers is the largest number of callers whose outer addresses the router stores.
const maxCallers = 1 << 20

// Hosts holds the addresses of the entry hosts.
type Hosts struct {
	// Known holds the data addresses of all listed hosts. A packet from one of
	// them is forwarded to a caller.
	Known map[netip.AddrPort]bool
	// Ready holds the data addresses of the hosts that accept packets.
	Ready []netip.AddrPort
}

// Counts holds the numbers of packets by sender, and of those that were lost,
// duplicated or dropped.
type Counts struct {
	FromCallers, FromTargets, FromHosts          atomic.Uint64
	Lost, Duplicated, NoHost, NoCaller, NotValid atomic.Uint64
	// Forgotten is the number of dropped packets of targets to forgotten flows.
	Forgotten atomic.Uint64
}

// Router chooses the destination of each packet. A single duty owns it.
type Router struct {
	random          *rand.Rand
	decoder         packet.Decoder
	loss, duplicate float64
	hosts           Hosts
	// callers holds the outer address of each caller by its inner address.
	callers map[netip.AddrPort]netip.AddrPort
	// flows contains the inner addresses that opened a flow. The value is false if
	// the flow is forgotten.
	flows  map[netip.AddrPort]bool
	counts *Counts
}

// Deps holds the parameters of a Router.
type Deps struct {
	// Seed is the seed of the random number generator.
	Seed uint64
	// Loss and Duplicate are the probabilities that a packet is lost or duplicated.
	Loss, Duplicate float64
	Counts          *Counts
}

// NewRouter returns a router without hosts.
func NewRouter(d Deps) *Router {
	return &Router{
		random: rand.New(rand.NewPCG(d.Seed, 0)), loss: d.Loss, duplicate: d.Duplicate,
		callers: map[netip.AddrPort]netip.AddrPort{}, flows: map[netip.AddrPort]bool{}, counts: d.Counts,
	}
}

// SetHosts replaces the known and ready hosts.
func (r *Router) SetHosts(h Hosts) { r.hosts = h }

// Forget drops the packets of targets to about one in oneIn of the open flows
// from now on, and returns the number of these flows. Other flows and new ones
// are not affected.
func (r *Router) Forget(oneIn int) int {
	n := 0
	for a := range r.flows {
		if address := a.Addr().As16(); int(address[15])%oneIn == 0 {
			r.flows[a] = false
			n++
		}
	}
	return n
}

// Route appends the addresses to which a datagram is sent: none if it is lost or
// dropped, and two if it is duplicated.
func (r *Router) Route(destinations []netip.AddrPort, from netip.AddrPort, data []byte) []netip.AddrPort {
	d, err := r.decoder.Decode(data)
	if err != nil {
		r.counts.NotValid.Add(1)
		return destinations
	}
	copies := 1
	switch {
	case r.random.Float64() < r.loss:
		r.counts.Lost.Add(1)
		return destinations
	case r.random.Float64() < r.duplicate:
		r.counts.Duplicated.Add(1)
		copies = 2
	}
	for range copies {
		if next, ok := r.nextHop(from, d); ok {
			destinations = append(destinations, next)
		}
	}
	return destinations
}

// nextHop returns the destination of a packet. It returns false if the packet is dropped.
func (r *Router) nextHop(from netip.AddrPort, d packet.Datagram) (netip.AddrPort, bool) {
	switch {
	case r.hosts.Known[from]:
		r.counts.FromHosts.Add(1)
		caller, ok := r.callers[d.To]
		if !ok {
			r.counts.NoCaller.Add(1)
		}
		return caller, ok
	case d.Source != 0:
		r.counts.FromTargets.Add(1)
		if known, opened := r.flows[d.To]; opened && !known {
			r.counts.Forgotten.Add(1)
			return netip.AddrPort{}, false
		}
	default:
		r.counts.FromCallers.Add(1)
		if _, known := r.callers[d.From]; known || len(r.callers) < maxCallers {
			r.callers[d.From] = from
			if _, opened := r.flows[d.From]; d.Protocol == packet.TCP && !opened {
				r.flows[d.From] = true
			}
		}
	}
	if len(r.hosts.Ready) == 0 {
		r.counts.NoHost.Add(1)
		return netip.AddrPort{}, false
	}
	return r.hosts.Ready[r.random.IntN(len(r.hosts.Ready))], true
}
