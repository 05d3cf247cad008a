package controlplane_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/member"
	"pimentospread/peer"
)

// TestMessagesSurviveEncoding guards against fields that the codec drops, such as an address.
func TestMessagesSurviveEncoding(t *testing.T) {
	s := newSim(1, 4, 2, t.Fatalf)
	roster := member.Roster{Version: 3, Hosts: []member.Host{s.hosts[0].self, s.hosts[1].self}}
	messages := []pimentospread.Message{
		&controlplane.ReleaseQuery{Generation: 2, Digest: 1 << 63, RosterVersion: 3, Announce: true, Sender: s.hosts[0].self},
		&controlplane.ReleaseReply{
			Content: s.platform.release.Packed, Roster: roster, Previous: member.Roster{Version: 2},
			Age: time.Minute, Flags: []controlplane.Flag{{Target: 7, Until: 99}},
		},
	}
	for _, m := range messages {
		frame, err := peer.Encode("h00", 1, m)
		if err != nil {
			t.Fatal(err)
		}
		in, _, err := peer.Registry(controlplane.Constructors()).Decode(frame[4:])
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(m, in.Message, cmpopts.EquateComparable(s.hosts[0].self.PeerAddress), cmpopts.EquateEmpty()); d != "" {
			t.Errorf("%s (-want +got):\n%s", m.MessageKind(), d)
		}
	}
}

// BenchmarkControl measures the cost of receiving a heartbeat and of a tick that
// sends heartbeats to all peers, in a cell of 16 hosts, and the cost of building tables.
func BenchmarkControl(b *testing.B) {
	s := newSim(1, 16, 3, b.Fatalf)
	s.advance(10 * time.Second)
	s.bytesByKind = nil
	h := s.hosts[0]
	now := s.now
	var sent []pimentospread.Outbound
	for range 4 {
		now = now.Add(member.HeartbeatInterval)
		for _, o := range s.hosts[1:] {
			sent = append(sent, o.cell.Handle(now, controlplane.Tick{}).Messages...)
		}
	}
	var frame []byte
	for _, m := range sent {
		if m.Message.MessageKind() == member.KindHeartbeat {
			frame, _ = peer.Encode("north-high-01", s.hosts[1].incarnation, m.Message)
		}
	}
	registry := peer.Registry(controlplane.Constructors())
	b.Run("receive", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			in, _, err := registry.Decode(frame[4:])
			if err != nil {
				b.Fatal(err)
			}
			heartbeat := *in.Message.(*member.Heartbeat)
			heartbeat.Sequence += uint64(i)
			h.cell.Handle(now, controlplane.HeartbeatReceived{From: in.From, Incarnation: in.Incarnation, Heartbeat: heartbeat})
		}
	})
	b.Run("tick", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			for _, m := range h.cell.Handle(now, controlplane.Tick{}).Messages {
				if _, err := peer.Encode("north-high-00", 1, m.Message); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
	for _, targets := range []int{14, 160} {
		b.Run(fmt.Sprintf("build-%d-targets", targets), func(b *testing.B) {
			build := controlplane.TableBuild{PackedRelease: &controlplane.PackedRelease{Release: newRelease(1, targets)}}
			for range b.N {
				build.Run()
			}
		})
	}
}
