package capacity_test

import (
	"fmt"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/dataplane"
	"pimentospread/host"
	"pimentospread/member"
	"pimentospread/peer"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/service"
)

// startTime is fixed, so that every run measures the same work.
var startTime = time.Date(2026, 5, 4, 3, 0, 0, 0, time.UTC)

// failureDomains are the failure domains of a region.
var failureDomains = []pimentospread.FailureDomain{"lk-west-neg", "lk-west-col", "lk-west-ber"}

// address returns the address of a host. Hosts are spread over a network of 24 bits
// because a release with consecutive addresses would compress better than a real
// one.
func address(host, port int) netip.AddrPort {
	host = (host + 1) * 0x9e3779 & 0xffffff
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(host >> 16), byte(host >> 8), byte(host)}), uint16(port))
}

func hostID(i int) pimentospread.HostID { return pimentospread.HostID(fmt.Sprintf("host-%04d", i)) }

func incarnation(i int) pimentospread.Incarnation {
	return pimentospread.Incarnation(startTime.Add(-time.Hour).UnixNano() + int64(i))
}

func rosterHosts(n int) []member.Host {
	all := make([]member.Host, n)
	for i := range all {
		all[i] = member.Host{
			ID: hostID(i), FailureDomain: failureDomains[i%len(failureDomains)], State: member.Live,
			PeerAddress: address(i, 7001), DataAddress: address(i, 7002), AdminAddress: address(i, 7003),
		}
	}
	return all
}

func liveHosts(n int) []member.Candidate {
	all := make([]member.Candidate, n)
	for i, h := range rosterHosts(n) {
		all[i] = member.Candidate{ID: h.ID, FailureDomain: h.FailureDomain}
	}
	return all
}

// newObjects returns a set in which the targets and the services are spread over
// the pools.
func newObjects(services, pools, targets int) release.Set {
	var set release.Set
	rules := policy.Defaults()
	rules.Name = "auction"
	rules.Classes = []policy.Class{
		{Name: "bid", Urgency: 200, Weight: 5, QueueLength: 1 << 20, MaxWait: pimentospread.Duration{Duration: 9 * time.Second}, Floor: 0.05, Objective: 0.99},
		{Name: "transfer", Urgency: 150, Weight: 10, QueueLength: 1 << 20, MaxWait: pimentospread.Duration{Duration: 9 * time.Second}, Floor: 0.05, Objective: 0.99},
	}
	set.Policies = []policy.Policy{rules}
	for i := range pools {
		set.TargetPools = append(set.TargetPools, pool.Pool{Name: pimentospread.PoolName(fmt.Sprintf("pool-%04d", i))})
	}
	for i := range targets {
		p := &set.TargetPools[i%pools]
		p.Targets = append(p.Targets, pool.Target{
			Name:        pimentospread.TargetName(fmt.Sprintf("auction-desk-%06x", i*0x5bd1e9&0xffffff)),
			FlowAddress: address(i, 4789), RequestAddress: address(i, 5683), HealthAddress: address(i, 8080),
			FailureDomain: failureDomains[i%len(failureDomains)], Slots: 2, Connections: 1 << 30,
		})
	}
	for i := range services {
		set.Services = append(set.Services, service.Service{
			Name: pimentospread.ServiceName(fmt.Sprintf("auction-%04d", i)), Addresses: []netip.AddrPort{address(i, 443)},
			Pool: set.TargetPools[i%pools].Name, Policy: rules.Name,
		})
	}
	return set
}

// nextRelease returns the release that follows current.
func nextRelease(current *release.Release, set release.Set) *release.Release {
	p := release.Publication{ID: "3f0c6f1e-2b1d-4a68-9f43-7a5e1c0d9b11", At: startTime, Publisher: "operator", Seed: 7}
	if current != nil {
		p.At = current.PublishedAt.Add(time.Minute)
	}
	next, faults := release.Next(current, set, p)
	if len(faults) > 0 {
		panic(faults[0].String())
	}
	return &next
}

// releaseWithEpochs publishes releases until the first pool has the given number of
// epochs. In each release, another target drains and the previous one is active
// again.
func releaseWithEpochs(set release.Set, epochs int) *release.Release {
	r := nextRelease(nil, set)
	for i := 1; i < epochs; i++ {
		next := r.SourceSet()
		targets := next.TargetPools[0].Targets
		for j := range targets {
			targets[j].State = pool.Active
		}
		targets[i%len(targets)].State = pool.Draining
		r = nextRelease(r, next)
	}
	return r
}

// serviceViews returns the service views of a release.
func serviceViews(r *release.Release) map[pimentospread.ServiceID]*dataplane.ServiceView {
	tables := map[pimentospread.PoolName]*pool.Table{}
	pools := map[pimentospread.PoolName]pool.Pool{}
	for _, p := range r.Set.TargetPools {
		pools[p.Name], tables[p.Name] = p, pool.NewTable(p, r.Seed)
	}
	all := map[pimentospread.ServiceID]*dataplane.ServiceView{}
	for _, s := range r.Set.Services {
		rules, _ := r.Set.Policy(s.Policy)
		all[s.ID] = &dataplane.ServiceView{Service: s, Pool: pools[s.Pool], Policy: rules, Table: tables[s.Pool]}
	}
	return all
}

// newView returns the view of a host in a cell of n hosts without failures.
func newView(r *release.Release, self, n int) *dataplane.View {
	v := &dataplane.View{
		Sequence: uint64(r.Generation), Self: hostID(self), Incarnation: incarnation(self), Release: r, Services: serviceViews(r),
		ServiceByAddress: map[netip.AddrPort]pimentospread.ServiceID{}, Active: true, LiveHosts: liveHosts(n), Ready: true,
		Roster: member.Roster{Version: 5, Hosts: rosterHosts(n)}, PeerRosterVersions: map[pimentospread.HostID]pimentospread.ObjectVersion{},
	}
	for _, s := range r.Set.Services {
		for _, a := range s.Addresses {
			v.ServiceByAddress[a] = s.ID
		}
	}
	for _, c := range v.LiveHosts {
		v.PeerRosterVersions[c.ID] = 5
	}
	return v
}

// transport encodes and decodes the messages between hosts and counts their frames.
type transport struct {
	messages  int
	bytes     pimentospread.Bytes
	codecTime cpuMeter
	registry  peer.Registry
}

func newTransport() *transport { return &transport{registry: host.MessageRegistry()} }

// deliver returns the message as its receiver decodes it.
func (t *transport) deliver(from pimentospread.HostID, i pimentospread.Incarnation, m pimentospread.Message) pimentospread.Inbound {
	t.codecTime.start()
	frame, err := peer.Encode(from, i, m)
	if err != nil {
		panic(err)
	}
	in, _, err := t.registry.Decode(frame[4:])
	if err != nil {
		panic(err)
	}
	t.codecTime.stop()
	t.messages++
	t.bytes += pimentospread.Bytes(len(frame))
	return in
}
