package dataplane

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/member"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/service"
)

// load is a cell of 8 hosts and one service of 14 targets without delays.
type load struct {
	rng    *rand.Rand
	now    time.Time
	hosts  []*FlowShard
	inbox  [][]pimentospread.Inbound
	sent   []int
	serial uint32
	raw    []byte
	// moving are the flows, by serial, whose next packet goes to another host
	// once their SYN was forwarded. moved are the packets due in the next step.
	moving map[uint32]flow.Packet
	moved  []movedPacket
}

type movedPacket struct {
	host   int
	packet flow.Packet
}

func newLoad(hosts int) *load {
	l := &load{rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_000_000, 0), raw: make([]byte, 60), moving: map[uint32]flow.Packet{}}
	l.inbox, l.sent = make([][]pimentospread.Inbound, hosts), make([]int, hosts)
	var p pool.Pool
	for i := range 14 {
		p.Targets = append(p.Targets, pool.Target{ID: pimentospread.TargetID(i + 1), State: pool.Active, FlowAddress: netip.MustParseAddrPort("10.0.0.1:4789")})
	}
	p.Epochs = pool.NextEpochs(nil, p, l.now, time.Hour)
	for range hosts {
		l.hosts = append(l.hosts, NewFlowShard(FlowShardConfig{ShardCount: 1}))
	}
	l.configure(p, 1, true)
	l.step()
	l.now = l.now.Add(synRepeats + time.Second)
	for _, f := range l.hosts {
		f.ticked = l.now
	}
	return l
}

func (l *load) configure(p pool.Pool, g pimentospread.Generation, active bool) {
	id := pimentospread.ServiceID(1)
	s := &ServiceView{Service: service.Service{ID: id}, Pool: p, Policy: policy.Defaults(), Table: pool.NewTable(p, 7)}
	var live []member.Candidate
	for i := range l.hosts {
		live = append(live, member.Candidate{ID: hostName(i), FailureDomain: pimentospread.FailureDomain(fmt.Sprint(i % 3))})
	}
	for i, f := range l.hosts {
		var a FlowActions
		f.Configure(l.now, &View{
			Self: hostName(i), Release: &release.Release{Generation: g, NextTargetID: 100}, Active: active, LiveHosts: live,
			Services: map[pimentospread.ServiceID]*ServiceView{id: s}, ServiceByAddress: map[netip.AddrPort]pimentospread.ServiceID{serviceAddress(id): id},
		}, &a)
		l.carry(i, &a)
	}
}

func hostName(i int) pimentospread.HostID { return pimentospread.HostID(fmt.Sprintf("host-%02d", i)) }

// packet returns a packet of a flow that was not used before.
func (l *load) packet() flow.Packet {
	l.serial++
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], l.serial)
	copy(l.raw, b[:])
	p := flow.Packet{Key: pimentospread.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4(b), 1024), Service: serviceAddress(1)}, Service: 1, SYN: true}
	p.ID = p.Key.ID()
	return p
}

// carry counts the bytes of the messages as package peer frames them.
func (l *load) carry(from int, a *FlowActions) {
	type envelope struct {
		From        pimentospread.HostID
		Incarnation pimentospread.Incarnation
		Kind        pimentospread.MessageKind
		Body        pimentospread.Message
	}
	for _, x := range a.PeerMessages {
		data, err := msgpack.Marshal(envelope{hostName(from), 1 << 60, x.Message.MessageKind(), x.Message})
		if err != nil {
			panic(err)
		}
		l.sent[from] += 4 + len(data)
		for to := range l.hosts {
			if hostName(to) == x.To {
				l.inbox[to] = append(l.inbox[to], pimentospread.Inbound{From: hostName(from), Message: x.Message})
			}
		}
	}
	for _, x := range a.Forwards {
		serial := binary.BigEndian.Uint32(x.Packet)
		if p, ok := l.moving[serial]; ok {
			delete(l.moving, serial)
			l.moved = append(l.moved, movedPacket{(from + 1 + l.rng.IntN(len(l.hosts)-1)) % len(l.hosts), p})
		}
	}
	a.Clear()
}

func (l *load) give(host int, p flow.Packet) {
	var a FlowActions
	l.hosts[host].HandlePacket(l.now, p, l.raw, &a)
	l.carry(host, &a)
}

// step lets 10 ms pass.
func (l *load) step() {
	l.now = l.now.Add(cellStep)
	moved := l.moved
	l.moved = nil
	clear(l.raw) // No packet given here is the SYN of the last serial.
	for _, m := range moved {
		l.give(m.host, m.packet)
	}
	boxes := l.inbox
	l.inbox = make([][]pimentospread.Inbound, len(l.hosts))
	var a FlowActions
	for i, f := range l.hosts {
		for _, in := range boxes[i] {
			f.HandlePeerMessage(l.now, in, &a)
		}
		f.Tick(l.now, &a)
		l.carry(i, &a)
	}
}

// draining returns the pool with its first target draining.
func (l *load) draining() pool.Pool {
	old := l.hosts[0].view.Services[1].Pool
	next := pool.Pool{Targets: append([]pool.Target{}, old.Targets...)}
	next.Targets[0].State = pool.Draining
	next.Epochs = pool.NextEpochs(&old, next, l.now, time.Hour)
	return next
}

// drain opens 3,000 flows a second at each host while one of 14 targets
// drains, and returns the highest control rate of a host over 10 s. moving is
// the share of flows whose later packets come to another host. A caller sends
// them only when its SYN was answered, so the SYN was forwarded before.
func drain(moving float64) int {
	l := newLoad(8)
	for range 8 * 20000 {
		p := l.packet()
		i := l.rng.IntN(8)
		l.give(i, p)
		p.SYN = false
		l.give(i, p)
	}
	next := l.draining()
	l.sent = make([]int, 8)
	l.configure(next, 2, false)
	for i := range 1000 {
		if i == 50 {
			l.configure(next, 2, true)
		}
		for h := range 8 {
			for range 30 {
				p := l.packet()
				if l.rng.Float64() < moving {
					later := p
					later.SYN = false
					l.moving[l.serial] = later
				}
				l.give(h, p)
			}
		}
		l.step()
	}
	most := 0
	for _, n := range l.sent {
		most = max(most, n/10)
	}
	return most
}

// controlBound is what a host has for control, 11 KB/s, less 2 KB/s for
// heartbeats, which are 14 a second of up to 140 bytes.
const controlBound = 9000

// Guards against control traffic above what a host has for it.
func TestControlTrafficDuringDrain(t *testing.T) {
	if got := drain(0); got > controlBound {
		t.Errorf("a host sends %d bytes a second, bound %d", got, controlBound)
	} else {
		t.Logf("%d bytes a second without heartbeats; %d and %d when 1%% and 10%% of the flows move to another host", got, drain(0.01), drain(0.1))
	}
}

// Guards against control traffic above what a host has for it when the fabric
// sprays packets, so that every flow reaches another host.
func TestControlTrafficOfSprayedFlows(t *testing.T) {
	if got := drain(1); got > controlBound {
		t.Errorf("a host sends %d bytes a second, bound %d", got, controlBound)
	}
}

// Guards against a table that spreads flows unevenly.
func TestImbalanceAt2000FlowsATarget(t *testing.T) {
	l := newLoad(1)
	for range 14 * 2000 {
		l.give(0, l.packet())
	}
	most := 0
	for _, n := range l.hosts[0].Stats().FlowsByTarget {
		most = max(most, n)
	}
	t.Logf("max over mean %.4f", float64(most)/2000)
	if most > 2200 {
		t.Errorf("a target holds %d flows, mean 2000, bound 1.10", most)
	}
}

// Guards against tables that take more than 100 bytes for a held flow, at any size.
func TestMemoryOfHeldFlow(t *testing.T) {
	l := newLoad(1)
	f := l.hosts[0]
	highest := 0.0
	for n := 1; n <= 300_000; n++ {
		l.give(0, l.packet())
		if n > 10_000 {
			highest = max(highest, float64(f.Stats().Memory)/float64(n))
		}
	}
	t.Logf("at most %.1f bytes a flow between 10,000 and 300,000 flows", highest)
	if highest > 100 {
		t.Errorf("a held flow takes %.1f bytes, bound 100", highest)
	}
}

func BenchmarkKnownFlow(b *testing.B) {
	l := newLoad(1)
	packets := make([]flow.Packet, 100_000)
	for i := range packets {
		packets[i] = l.packet()
		l.give(0, packets[i])
		packets[i].SYN = false
	}
	var a FlowActions
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		a.Clear()
		l.hosts[0].HandlePacket(l.now, packets[i], l.raw, &a)
		if i++; i == len(packets) {
			i = 0
		}
	}
}

func BenchmarkNewFlow(b *testing.B) {
	l := newLoad(1)
	l.hosts[0].deps.MaxFlows = 1 << 24
	var a FlowActions
	p := l.packet()
	b.ReportAllocs()
	for b.Loop() {
		a.Clear()
		p.ID = p.ID*6364136223846793005 + 1442695040888963407
		l.hosts[0].HandlePacket(l.now, p, l.raw, &a)
	}
}
