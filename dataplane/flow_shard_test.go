package dataplane

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/member"
	"pimentospread/pool"
)

// sendAndCollect passes a packet to one host, runs the cluster for 600 ms, and
// returns the actions of that host and the number of resets of all hosts.
func (cl *cluster) sendAndCollect(host int, p flow.Packet) (forwards []pimentospread.TargetID, delivers int, drops []DropCause, resets int) {
	var a FlowActions
	cl.hosts[host].HandlePacket(cl.now, p, cl.raw, &a)
	for range 60 {
		for _, f := range a.Forwards {
			forwards = append(forwards, f.Target)
		}
		delivers, drops, resets = delivers+len(a.Deliveries), append(drops, a.Drops...), resets+len(a.Resets)
		cl.carryOut(host, &a)
		cl.now = cl.now.Add(simulationStep)
		inboxes := cl.inboxes
		cl.inboxes = make([][]pimentospread.Inbound, len(cl.hosts))
		for i, f := range cl.hosts {
			if i == host {
				continue
			}
			var b FlowActions
			for _, in := range inboxes[i] {
				f.HandlePeerMessage(cl.now, in, &b)
			}
			f.Tick(cl.now, &b)
			resets += len(b.Resets)
			cl.carryOut(i, &b)
		}
		for _, in := range inboxes[host] {
			cl.hosts[host].HandlePeerMessage(cl.now, in, &a)
		}
		cl.hosts[host].Tick(cl.now, &a)
	}
	return forwards, delivers, drops, resets
}

func newAnswer(p flow.Packet, from pimentospread.TargetID) flow.Packet {
	p.SYN, p.Direction, p.From = false, flow.ToCaller, from
	return p
}

// TestAnswerOfAnotherTargetIsDropped guards against an answer, such as a reset, that
// reaches a caller from a target that does not have its flow.
func TestAnswerOfAnotherTargetIsDropped(t *testing.T) {
	cl := newCluster(3)
	p := cl.newPacket()
	forwards, _, _, _ := cl.sendAndCollect(0, p)
	for host := range 2 { // Host 0 has the flow in its flow table, host 1 uses the pool's table.
		_, delivers, drops, _ := cl.sendAndCollect(host, newAnswer(p, forwards[0]%14+1))
		if diff := cmp.Diff([]DropCause{DropForeignTarget}, drops); diff != "" || delivers != 0 {
			t.Errorf("host %d delivered %d answers of another target, want 0; drops (-want +got):\n%s", host, delivers, diff)
		}
		if _, delivers, _, _ = cl.sendAndCollect(host, newAnswer(p, forwards[0])); delivers != 1 {
			t.Errorf("host %d delivered %d answers of the flow's target, want 1", host, delivers)
		}
	}
	p.Service = 2
	if _, _, drops, _ := cl.sendAndCollect(0, p); drops[0] != DropUnknownService {
		t.Errorf("packet of an unknown service: drops %v, want unknown_service first", drops)
	}
}

// TestSilentFlowIsReset guards against callers that wait forever for a target that
// has stopped answering, and against a reset of a flow that is idle or whose answers
// pass through another host.
func TestSilentFlowIsReset(t *testing.T) {
	cases := map[string]struct {
		answersAt int // Host that sees the answers; -1 for none.
		packets   bool
		// resumed sends a packet after an idle time. Its answer passes through another host.
		resumed bool
		// otherAt is the host that sees the answers to another flow of the target; -1 for none.
		otherAt int
		want    int
	}{
		"no answer at any host":                           {-1, true, false, 0, 1},
		"answer through another host":                     {1, true, false, 0, 0},
		"idle flow":                                       {-1, false, false, 0, 0},
		"packet after an idle time":                       {-1, false, true, 0, 0},
		"another host sees the target answer other flows": {-1, true, false, 1, 1},
		"target answers no flow at all":                   {-1, true, false, -1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(3)
			p, other := cl.newPacket(), cl.newPacket()
			forwards, _, _, _ := cl.sendAndCollect(0, p)
			p.SYN, other.SYN = false, false
			for cl.hosts[0].view.Services[1].Table.Lookup(other.ID).Default != forwards[0] {
				other = cl.newPacket()
			}
			cl.sendAndCollect(0, newAnswer(p, forwards[0]))
			got := 0
			if c.resumed {
				cl.sendAndCollect(0, p) // The acknowledgement of the last answer.
			}
			for i := range 60 {
				if c.otherAt >= 0 {
					_, _, _, resets := cl.sendAndCollect(c.otherAt, newAnswer(other, forwards[0]))
					got += resets
				} else {
					cl.sendAndCollect(1, cl.newPacket())
				}
				if c.resumed && i == 52 {
					_, _, _, resets := cl.sendAndCollect(0, p)
					got += resets
					cl.sendAndCollect(1, newAnswer(p, forwards[0]))
				}
				if c.answersAt >= 0 {
					cl.sendAndCollect(c.answersAt, newAnswer(p, forwards[0]))
				}
				if c.packets && got == 0 {
					_, _, _, resets := cl.sendAndCollect(0, p)
					got += resets
				}
			}
			if got != c.want {
				t.Errorf("got %d resets, want %d", got, c.want)
			}
		})
	}
}

// TestOtherShardsReportAnsweringTarget guards against a silent flow that is not
// reset because, at the peers, only shards other than the flow's own have other
// flows of its target.
func TestOtherShardsReportAnsweringTarget(t *testing.T) {
	query := &flow.SilenceQuery{Batch: 1, Within: 6, Flows: flow.IDs{0}, Targets: []pimentospread.TargetID{7}}
	for i, part := range query.Split(3) {
		cl := newCluster(2)
		p := cl.newPacket()
		cl.hosts[1].silence.lastAnswer[7] = cl.hosts[1].seconds(cl.now)
		var a FlowActions
		cl.hosts[1].HandlePeerMessage(cl.now, pimentospread.Inbound{From: hostName(0), Message: part}, &a)
		if len(a.PeerMessages) != 1 {
			t.Fatalf("shard %d sends %d replies, want 1", i, len(a.PeerMessages))
		}
		asking := cl.hosts[0]
		asking.flows.Put(flow.Entry{ID: p.ID, Target: 7, Service: 1})
		asking.silence.suspectFlows[p.ID] = &suspectFlow{packet: p, awaitedPeers: 1}
		asking.HandlePeerMessage(cl.now, pimentospread.Inbound{From: hostName(1), Message: a.PeerMessages[0].Message}, &a)
		if owner := flow.ShardOf(0, 3) == i; !owner && !asking.silence.suspectFlows[p.ID].targetAnswering {
			t.Errorf("the reply of shard %d does not report that the target answers", i)
		}
	}
}

// TestConnectionLimit guards against more flows at a target than its connection
// limit.
func TestConnectionLimit(t *testing.T) {
	cl := newCluster(1)
	p := cl.hosts[0].view.Services[1].Pool
	p.Targets = append([]pool.Target{}, p.Targets...)
	for i := range p.Targets {
		p.Targets[i].Connections = 10
	}
	cl.configure(p, 1, true)
	for range 1000 {
		cl.send(0, cl.newPacket())
	}
	s := cl.hosts[0].Stats()
	for target, n := range s.FlowsByTarget {
		if n != 10 {
			t.Errorf("target %d has %d flows, want 10", target, n)
		}
	}
	if s.Drops[DropTargetFull] != 1000-14*10 {
		t.Errorf("%d new flows refused, want %d", s.Drops[DropTargetFull], 1000-14*10)
	}
}

// TestIdleExpiryAndHandover guards against tables that keep idle flows, and against
// a leaving host that does not hand over its records.
func TestIdleExpiryAndHandover(t *testing.T) {
	cl := newCluster(3)
	old := cl.hosts[0].view.Services[1].Pool
	next := pool.Pool{Targets: append([]pool.Target{}, old.Targets...)}
	next.Targets[0].State = pool.Draining
	next.Epochs = pool.NextEpochs(&old, next, cl.now, time.Hour)
	cl.configure(next, 2, true)
	for range 500 {
		cl.send(0, cl.newPacket())
	}
	for range 200 {
		cl.step()
	}
	before := cl.hosts[1].Stats().Records + cl.hosts[2].Stats().Records
	cl.hosts[0].StartHandover(cl.now, &FlowActions{})
	f := cl.hosts[0]
	f.holders = newHolderRanking(f.view.Self, []member.Candidate{{ID: hostName(1)}, {ID: hostName(2)}})
	for range 600 {
		cl.step()
	}
	after := cl.hosts[1].Stats().Records + cl.hosts[2].Stats().Records
	if puts := f.Stats().RecordedFlows; !f.HandoverDone() || after < 2*puts || after <= before {
		t.Errorf("handover done %v, %d records before and %d after, want true and at least 2 for each of %d flows", f.HandoverDone(), before, after, puts)
	}
	cl.now = cl.now.Add(3 * time.Hour)
	for range 3000 {
		cl.step()
	}
	for i, f := range cl.hosts {
		if s := f.Stats(); len(s.FlowsByTarget) != 0 || s.Records != 0 {
			t.Errorf("host %d has flows %v and %d records after 3 h, want none", i, s.FlowsByTarget, s.Records)
		}
	}
}

// TestAnnouncementSendsCorrectedRecord guards against an announcement that is queued
// while its record is corrected: the holder that receives the old target would keep
// it and report it to every host that queries the record.
func TestAnnouncementSendsCorrectedRecord(t *testing.T) {
	cl := newCluster(2)
	f := cl.hosts[0]
	peer := f.holders.hosts[0].id
	if peer == f.view.Self {
		peer = f.holders.hosts[1].id
	}
	record := func(id pimentospread.FlowID, target pimentospread.TargetID) flow.Record {
		return flow.Record{Flow: id, Service: 1, Target: target}
	}
	f.storeRecord(cl.now, record(7, 2), storeNew)
	f.batcher.outbox(peer).addRecord(record(7, 2), kindAnnounce)
	f.batcher.outbox(peer).addRecord(record(8, 2), kindAnnounce)
	f.storeRecord(cl.now, record(7, 3), storeForced)
	var a FlowActions
	f.sendBatch(cl.now, peer, kindAnnounce, &a)
	want := []pimentospread.Outbound{{To: peer, Message: &flow.RecordHandover{Records: flow.Records{record(7, 3)}}}}
	if diff := cmp.Diff(want, a.PeerMessages); diff != "" {
		t.Error(diff)
	}
}
