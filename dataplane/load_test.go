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

// cluster runs flow shards, one per host, for one service of 14 targets, without delays.
type cluster struct {
	rng        *rand.Rand
	now        time.Time
	hosts      []*FlowShard
	inboxes    [][]pimentospread.Inbound
	bytesSent  []int
	lastSerial uint32
	raw        []byte
	// movingFlows are the flows, by serial, whose next packet goes to another host
	// once their SYN was forwarded. movedPackets are the packets due in the next step.
	movingFlows  map[uint32]flow.Packet
	movedPackets []movedPacket
}

type movedPacket struct {
	host   int
	packet flow.Packet
}

func newCluster(hosts int) *cluster {
	cl := &cluster{rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_000_000, 0), raw: make([]byte, 60), movingFlows: map[uint32]flow.Packet{}}
	cl.inboxes, cl.bytesSent = make([][]pimentospread.Inbound, hosts), make([]int, hosts)
	var p pool.Pool
	for i := range 14 {
		p.Targets = append(p.Targets, pool.Target{ID: pimentospread.TargetID(i + 1), State: pool.Active, FlowAddress: netip.MustParseAddrPort("10.0.0.1:4789")})
	}
	p.Epochs = pool.NextEpochs(nil, p, cl.now, time.Hour)
	for range hosts {
		cl.hosts = append(cl.hosts, NewFlowShard(FlowShardConfig{ShardCount: 1}))
	}
	cl.configure(p, 1, true)
	cl.step()
	cl.now = cl.now.Add(synRetransmissionPeriod + time.Second)
	for _, f := range cl.hosts {
		f.lastTick = cl.now
	}
	return cl
}

func (cl *cluster) configure(p pool.Pool, g pimentospread.Generation, active bool) {
	id := pimentospread.ServiceID(1)
	s := &ServiceView{Service: service.Service{ID: id}, Pool: p, Policy: policy.Defaults(), Table: pool.NewTable(p, 7)}
	var live []member.Candidate
	for i := range cl.hosts {
		live = append(live, member.Candidate{ID: hostName(i), FailureDomain: pimentospread.FailureDomain(fmt.Sprint(i % 3))})
	}
	for i, f := range cl.hosts {
		var a FlowActions
		f.Configure(cl.now, &View{
			Self: hostName(i), Release: &release.Release{Generation: g, NextTargetID: 100}, Active: active, LiveHosts: live,
			Services: map[pimentospread.ServiceID]*ServiceView{id: s}, ServiceByAddress: map[netip.AddrPort]pimentospread.ServiceID{serviceAddress(id): id},
		}, &a)
		cl.carryOut(i, &a)
	}
}

func hostName(i int) pimentospread.HostID { return pimentospread.HostID(fmt.Sprintf("host-%02d", i)) }

// newPacket returns the SYN of a new flow.
func (cl *cluster) newPacket() flow.Packet {
	cl.lastSerial++
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], cl.lastSerial)
	copy(cl.raw, b[:])
	p := flow.Packet{Key: pimentospread.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4(b), 1024), Service: serviceAddress(1)}, Service: 1, SYN: true}
	p.ID = p.Key.ID()
	return p
}

// carryOut delivers the messages and counts their bytes as package peer frames them.
func (cl *cluster) carryOut(from int, a *FlowActions) {
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
		cl.bytesSent[from] += 4 + len(data)
		for to := range cl.hosts {
			if hostName(to) == x.To {
				cl.inboxes[to] = append(cl.inboxes[to], pimentospread.Inbound{From: hostName(from), Message: x.Message})
			}
		}
	}
	for _, x := range a.Forwards {
		serial := binary.BigEndian.Uint32(x.Packet)
		if p, ok := cl.movingFlows[serial]; ok {
			delete(cl.movingFlows, serial)
			cl.movedPackets = append(cl.movedPackets, movedPacket{(from + 1 + cl.rng.IntN(len(cl.hosts)-1)) % len(cl.hosts), p})
		}
	}
	a.Clear()
}

func (cl *cluster) send(host int, p flow.Packet) {
	var a FlowActions
	cl.hosts[host].HandlePacket(cl.now, p, cl.raw, &a)
	cl.carryOut(host, &a)
}

// step advances the clock by 10 ms.
func (cl *cluster) step() {
	cl.now = cl.now.Add(simulationStep)
	moved := cl.movedPackets
	cl.movedPackets = nil
	clear(cl.raw) // None of these packets is the SYN of the last serial.
	for _, m := range moved {
		cl.send(m.host, m.packet)
	}
	inboxes := cl.inboxes
	cl.inboxes = make([][]pimentospread.Inbound, len(cl.hosts))
	var a FlowActions
	for i, f := range cl.hosts {
		for _, in := range inboxes[i] {
			f.HandlePeerMessage(cl.now, in, &a)
		}
		f.Tick(cl.now, &a)
		cl.carryOut(i, &a)
	}
}

// poolWithDrainingTarget returns the pool with its first target draining.
func (cl *cluster) poolWithDrainingTarget() pool.Pool {
	old := cl.hosts[0].view.Services[1].Pool
	next := pool.Pool{Targets: append([]pool.Target{}, old.Targets...)}
	next.Targets[0].State = pool.Draining
	next.Epochs = pool.NextEpochs(&old, next, cl.now, time.Hour)
	return next
}

// measureDrain opens 3,000 flows per second at each host while one of 14 targets
// drains, and returns the highest control traffic of a host in bytes per second,
// averaged over 10 s. moving is the share of flows whose later packets reach
// another host. A caller sends those packets only after its SYN was answered, so
// the SYN was forwarded before.
func measureDrain(moving float64) int {
	cl := newCluster(8)
	for range 8 * 20000 {
		p := cl.newPacket()
		i := cl.rng.IntN(8)
		cl.send(i, p)
		p.SYN = false
		cl.send(i, p)
	}
	next := cl.poolWithDrainingTarget()
	cl.bytesSent = make([]int, 8)
	cl.configure(next, 2, false)
	for i := range 1000 {
		if i == 50 {
			cl.configure(next, 2, true)
		}
		for h := range 8 {
			for range 30 {
				p := cl.newPacket()
				if cl.rng.Float64() < moving {
					later := p
					later.SYN = false
					cl.movingFlows[cl.lastSerial] = later
				}
				cl.send(h, p)
			}
		}
		cl.step()
	}
	highest := 0
	for _, n := range cl.bytesSent {
		highest = max(highest, n/10)
	}
	return highest
}

// maxControlRate is the limit of a host's control traffic, 11 KB/s, less 2 KB/s
// for heartbeats, which are 14 messages per second of up to 140 bytes.
const maxControlRate = 9000

// TestControlTrafficDuringDrain guards against control traffic above the limit of a
// host while a target drains.
func TestControlTrafficDuringDrain(t *testing.T) {
	if got := measureDrain(0); got > maxControlRate {
		t.Errorf("a host sends %d bytes per second, want at most %d", got, maxControlRate)
	} else {
		t.Logf("%d bytes per second without heartbeats; %d and %d when 1%% and 10%% of the flows move to another host", got, measureDrain(0.01), measureDrain(0.1))
	}
}

// TestControlTrafficOfSprayedFlows guards against control traffic above the limit of
// a host when the fabric sprays packets, so that the packets of every flow reach a
// second host.
func TestControlTrafficOfSprayedFlows(t *testing.T) {
	if got := measureDrain(1); got > maxControlRate {
		t.Errorf("a host sends %d bytes per second, want at most %d", got, maxControlRate)
	}
}

// TestImbalanceAt2000FlowsATarget guards against a table that distributes flows
// unevenly over the targets.
func TestImbalanceAt2000FlowsATarget(t *testing.T) {
	cl := newCluster(1)
	for range 14 * 2000 {
		cl.send(0, cl.newPacket())
	}
	highest := 0
	for _, n := range cl.hosts[0].Stats().FlowsByTarget {
		highest = max(highest, n)
	}
	t.Logf("maximum flows of a target over the mean: %.4f", float64(highest)/2000)
	if highest > 2200 {
		t.Errorf("a target has %d flows at a mean of 2000, want at most 1.10 times the mean", highest)
	}
}

// TestMemoryPerFlow guards against tables that use more than 100 bytes per flow,
// at any size.
func TestMemoryPerFlow(t *testing.T) {
	cl := newCluster(1)
	f := cl.hosts[0]
	highest := 0.0
	for n := 1; n <= 300_000; n++ {
		cl.send(0, cl.newPacket())
		if n > 10_000 {
			highest = max(highest, float64(f.Stats().Memory)/float64(n))
		}
	}
	t.Logf("at most %.1f bytes per flow between 10,000 and 300,000 flows", highest)
	if highest > 100 {
		t.Errorf("a flow uses %.1f bytes, want at most 100", highest)
	}
}

func BenchmarkKnownFlow(b *testing.B) {
	cl := newCluster(1)
	packets := make([]flow.Packet, 100_000)
	for i := range packets {
		packets[i] = cl.newPacket()
		cl.send(0, packets[i])
		packets[i].SYN = false
	}
	var a FlowActions
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		a.Clear()
		cl.hosts[0].HandlePacket(cl.now, packets[i], cl.raw, &a)
		if i++; i == len(packets) {
			i = 0
		}
	}
}

func BenchmarkNewFlow(b *testing.B) {
	cl := newCluster(1)
	cl.hosts[0].config.MaxFlows = 1 << 24
	var a FlowActions
	p := cl.newPacket()
	b.ReportAllocs()
	for b.Loop() {
		a.Clear()
		p.ID = p.ID*6364136223846793005 + 1442695040888963407
		cl.hosts[0].HandlePacket(cl.now, p, cl.raw, &a)
	}
}
