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

// sendTo gives a packet to one host and returns what the host wants done with it,
// and the resets of all hosts meanwhile.
func (l *load) sendTo(host int, p flow.Packet) (forwards []pimentospread.TargetID, delivers int, drops []DropCause, resets int) {
	var a FlowActions
	l.hosts[host].HandlePacket(l.now, p, l.raw, &a)
	for range 60 {
		for _, f := range a.Forwards {
			forwards = append(forwards, f.Target)
		}
		delivers, drops, resets = delivers+len(a.Deliveries), append(drops, a.Drops...), resets+len(a.Resets)
		l.carry(host, &a)
		l.now = l.now.Add(cellStep)
		boxes := l.inbox
		l.inbox = make([][]pimentospread.Inbound, len(l.hosts))
		for i, f := range l.hosts {
			if i == host {
				continue
			}
			var b FlowActions
			for _, in := range boxes[i] {
				f.HandlePeerMessage(l.now, in, &b)
			}
			f.Tick(l.now, &b)
			resets += len(b.Resets)
			l.carry(i, &b)
		}
		for _, in := range boxes[host] {
			l.hosts[host].HandlePeerMessage(l.now, in, &a)
		}
		l.hosts[host].Tick(l.now, &a)
	}
	return forwards, delivers, drops, resets
}

func answerOf(p flow.Packet, from pimentospread.TargetID) flow.Packet {
	p.SYN, p.Direction, p.From = false, flow.ToCaller, from
	return p
}

// Guards against an answer, such as a reset, that a caller gets from a target which does not have its flow.
func TestAnswerOfAnotherTargetIsDropped(t *testing.T) {
	l := newLoad(3)
	p := l.packet()
	forwards, _, _, _ := l.sendTo(0, p)
	for host := range 2 { // Host 0 knows the flow, host 1 goes by the table.
		_, delivers, drops, _ := l.sendTo(host, answerOf(p, forwards[0]%14+1))
		if diff := cmp.Diff([]DropCause{DropForeignTarget}, drops); diff != "" || delivers != 0 {
			t.Errorf("host %d delivered %d, drops (-want +got):\n%s", host, delivers, diff)
		}
		if _, delivers, _, _ = l.sendTo(host, answerOf(p, forwards[0])); delivers != 1 {
			t.Errorf("host %d delivered %d answers of the flow's target, want 1", host, delivers)
		}
	}
	p.Service = 2
	if _, _, drops, _ := l.sendTo(0, p); drops[0] != DropUnknownService {
		t.Errorf("packet of an unknown service: drops %v", drops)
	}
}

// Guards against callers that wait for ever on a silent flow, and against a
// reset of a flow that is only quiet or whose answers pass another host.
func TestSilentFlowIsReset(t *testing.T) {
	cases := map[string]struct {
		answersAt int // Host that sees the answers; -1 for none.
		packets   bool
		// resumed flows send a packet after the pause, and its answer passes another host.
		resumed bool
		// otherAt is the host that sees the answers to another flow of the target; -1 for none.
		otherAt int
		want    int
	}{
		"no answer at any host":                     {-1, true, false, 0, 1},
		"answer at another host":                    {1, true, false, 0, 0},
		"quiet flow":                                {-1, false, false, 0, 0},
		"packet after a pause":                      {-1, false, true, 0, 0},
		"another host sees that the target answers": {-1, true, false, 1, 1},
		"no flow of the target is answered":         {-1, true, false, -1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLoad(3)
			p, other := l.packet(), l.packet()
			forwards, _, _, _ := l.sendTo(0, p)
			p.SYN, other.SYN = false, false
			for l.hosts[0].view.Services[1].Table.Lookup(other.ID).Default != forwards[0] {
				other = l.packet()
			}
			l.sendTo(0, answerOf(p, forwards[0]))
			got := 0
			if c.resumed {
				l.sendTo(0, p) // The acknowledgement of the last answer.
			}
			for i := range 60 {
				if c.otherAt >= 0 {
					_, _, _, resets := l.sendTo(c.otherAt, answerOf(other, forwards[0]))
					got += resets
				} else {
					l.sendTo(1, l.packet())
				}
				if c.resumed && i == 52 {
					_, _, _, resets := l.sendTo(0, p)
					got += resets
					l.sendTo(1, answerOf(p, forwards[0]))
				}
				if c.answersAt >= 0 {
					l.sendTo(c.answersAt, answerOf(p, forwards[0]))
				}
				if c.packets && got == 0 {
					_, _, _, resets := l.sendTo(0, p)
					got += resets
				}
			}
			if got != c.want {
				t.Errorf("%d resets, want %d", got, c.want)
			}
		})
	}
}

// Guards against a silent flow that is kept because the shards of its number
// have no other flow of the target, while others have.
func TestOtherShardsTellThatTheTargetAnswers(t *testing.T) {
	query := &flow.SilenceQuery{Batch: 1, Within: 6, Flows: flow.IDs{0}, Targets: []pimentospread.TargetID{7}}
	for i, part := range query.Split(3) {
		l := newLoad(2)
		p := l.packet()
		l.hosts[1].silence.heard[7] = l.hosts[1].seconds(l.now)
		var a FlowActions
		l.hosts[1].HandlePeerMessage(l.now, pimentospread.Inbound{From: hostName(0), Message: part}, &a)
		if len(a.PeerMessages) != 1 {
			t.Fatalf("shard %d sends %d replies, want 1", i, len(a.PeerMessages))
		}
		asking := l.hosts[0]
		asking.flows.Put(flow.Entry{ID: p.ID, Target: 7, Service: 1})
		asking.silence.asked[p.ID] = &silentFlow{packet: p, waiting: 1}
		asking.HandlePeerMessage(l.now, pimentospread.Inbound{From: hostName(1), Message: a.PeerMessages[0].Message}, &a)
		if owner := flow.ShardOf(0, 3) == i; !owner && !asking.silence.asked[p.ID].answering {
			t.Errorf("the reply of shard %d does not tell that the target answers", i)
		}
	}
}

// Guards against more flows at a target than it holds.
func TestConnectionLimit(t *testing.T) {
	l := newLoad(1)
	p := l.hosts[0].view.Services[1].Pool
	p.Targets = append([]pool.Target{}, p.Targets...)
	for i := range p.Targets {
		p.Targets[i].Connections = 10
	}
	l.configure(p, 1, true)
	for range 1000 {
		l.give(0, l.packet())
	}
	s := l.hosts[0].Stats()
	for target, n := range s.FlowsByTarget {
		if n != 10 {
			t.Errorf("target %d holds %d flows, want 10", target, n)
		}
	}
	if s.Drops[DropTargetFull] != 1000-14*10 {
		t.Errorf("%d new flows refused, want %d", s.Drops[DropTargetFull], 1000-14*10)
	}
}

// Guards against tables that keep idle flows, and a leaving host that keeps its records to itself.
func TestIdleExpiryAndHandover(t *testing.T) {
	l := newLoad(3)
	old := l.hosts[0].view.Services[1].Pool
	next := pool.Pool{Targets: append([]pool.Target{}, old.Targets...)}
	next.Targets[0].State = pool.Draining
	next.Epochs = pool.NextEpochs(&old, next, l.now, time.Hour)
	l.configure(next, 2, true)
	for range 500 {
		l.give(0, l.packet())
	}
	for range 200 {
		l.step()
	}
	before := l.hosts[1].Stats().Records + l.hosts[2].Stats().Records
	l.hosts[0].StartHandover(l.now, &FlowActions{})
	f := l.hosts[0]
	f.holders = newHolders(f.view.Self, []member.Candidate{{ID: hostName(1)}, {ID: hostName(2)}})
	for range 600 {
		l.step()
	}
	after := l.hosts[1].Stats().Records + l.hosts[2].Stats().Records
	if puts := f.Stats().RecordedFlows; !f.HandoverDone() || after < 2*puts || after <= before {
		t.Errorf("handed over %v, %d records before, %d after, want at least 2 for each of %d", f.HandoverDone(), before, after, puts)
	}
	l.now = l.now.Add(3 * time.Hour)
	for range 3000 {
		l.step()
	}
	for i, f := range l.hosts {
		if s := f.Stats(); len(s.FlowsByTarget) != 0 || s.Records != 0 {
			t.Errorf("host %d holds flows %v and %d records after 3 h", i, s.FlowsByTarget, s.Records)
		}
	}
}

// Guards against an announcement that waits while its record is corrected: the
// holder that then gets the old target keeps it and misleads every host that asks.
func TestAnnouncementTellsTheCorrectedRecord(t *testing.T) {
	l := newLoad(2)
	f := l.hosts[0]
	peer := f.holders.hosts[0].id
	if peer == f.view.Self {
		peer = f.holders.hosts[1].id
	}
	record := func(id pimentospread.FlowID, target pimentospread.TargetID) flow.Record {
		return flow.Record{Flow: id, Service: 1, Target: target}
	}
	f.keep(l.now, record(7, 2), keepNew)
	f.mail.box(peer).put(record(7, 2), kindAnnounce)
	f.mail.box(peer).put(record(8, 2), kindAnnounce)
	f.keep(l.now, record(7, 3), keepForced)
	var a FlowActions
	f.send(l.now, peer, kindAnnounce, &a)
	want := []pimentospread.Outbound{{To: peer, Message: &flow.RecordHandover{Records: flow.Records{record(7, 3)}}}}
	if diff := cmp.Diff(want, a.PeerMessages); diff != "" {
		t.Error(diff)
	}
}
