// Package fabric is a small stand-in of the fabric between callers, hosts and
// targets: it hands each packet to a random ready host.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"pimentospread/packet"
)

// maxCallers bounds the outer addresses that the fabric learns.
const maxCallers = 1 << 20

// Hosts are the entry hosts as the fabric knows them.
type Hosts struct {
	// Known are the data addresses of all listed hosts. A packet from one of them goes to a caller.
	Known map[netip.AddrPort]bool
	// Ready are the data addresses of those that take packets.
	Ready []netip.AddrPort
}

// Counts are what the fabric has done with packets.
type Counts struct {
	FromCallers, FromTargets, FromHosts          atomic.Uint64
	Lost, Duplicated, NoHost, NoCaller, NotValid atomic.Uint64
	// Forgotten are answers of targets to flows that the fabric has lost track of.
	Forgotten atomic.Uint64
}

// Router decides where a packet goes. One duty owns it.
type Router struct {
	random          *rand.Rand
	decoder         packet.Decoder
	loss, duplicate float64
	hosts           Hosts
	callers         map[netip.AddrPort]netip.AddrPort
	// flows are the inner addresses that opened a flow; false when it is forgotten.
	flows  map[netip.AddrPort]bool
	counts *Counts
}

// Deps are what a Spray works with.
type Deps struct {
	Seed uint64
	// Loss and Duplicate are probabilities for each packet.
	Loss, Duplicate float64
	Counts          *Counts
}

// NewRouter returns a spray without hosts.
func NewRouter(d Deps) *Router {
	return &Router{
		random: rand.New(rand.NewPCG(d.Seed, 0)), loss: d.Loss, duplicate: d.Duplicate,
		callers: map[netip.AddrPort]netip.AddrPort{}, flows: map[netip.AddrPort]bool{}, counts: d.Counts,
	}
}

// SetHosts replaces the hosts.
func (s *Router) SetHosts(h Hosts) { s.hosts = h }

// Forget loses track of one in so many of the open flows for good and returns
// how many these are: answers of targets to them are dropped. Other flows and
// new ones work.
func (s *Router) Forget(oneIn int) int {
	n := 0
	for a := range s.flows {
		if b := a.Addr().As16(); int(b[15])%oneIn == 0 {
			s.flows[a] = false
			n++
		}
	}
	return n
}

// Route appends the addresses to which the datagram goes: none when it is
// lost, two when it is duplicated.
func (s *Router) Route(to []netip.AddrPort, from netip.AddrPort, data []byte) []netip.AddrPort {
	d, err := s.decoder.Decode(data)
	if err != nil {
		s.counts.NotValid.Add(1)
		return to
	}
	copies := 1
	switch {
	case s.random.Float64() < s.loss:
		s.counts.Lost.Add(1)
		return to
	case s.random.Float64() < s.duplicate:
		s.counts.Duplicated.Add(1)
		copies = 2
	}
	for range copies {
		if next, ok := s.next(from, d); ok {
			to = append(to, next)
		}
	}
	return to
}

func (s *Router) next(from netip.AddrPort, d packet.Datagram) (netip.AddrPort, bool) {
	switch {
	case s.hosts.Known[from]:
		s.counts.FromHosts.Add(1)
		caller, ok := s.callers[d.To]
		if !ok {
			s.counts.NoCaller.Add(1)
		}
		return caller, ok
	case d.Source != 0:
		s.counts.FromTargets.Add(1)
		if known, opened := s.flows[d.To]; opened && !known {
			s.counts.Forgotten.Add(1)
			return netip.AddrPort{}, false
		}
	default:
		s.counts.FromCallers.Add(1)
		if _, known := s.callers[d.From]; known || len(s.callers) < maxCallers {
			s.callers[d.From] = from
			if _, opened := s.flows[d.From]; d.Protocol == packet.TCP && !opened {
				s.flows[d.From] = true
			}
		}
	}
	if len(s.hosts.Ready) == 0 {
		s.counts.NoHost.Add(1)
		return netip.AddrPort{}, false
	}
	return s.hosts.Ready[s.random.IntN(len(s.hosts.Ready))], true
}
