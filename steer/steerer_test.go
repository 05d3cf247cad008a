package steer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/inflight"
	"pimentospread/outlier"
	"pimentospread/routing"
	"pimentospread/steer"
)

const (
	near = pimentospread.FailureDomain("near")
	far  = pimentospread.FailureDomain("far")
	// silence is the time after which a caller repeats its SYN.
	silence = 200 * time.Millisecond
)

var (
	start   = time.Unix(1_700_000_000, 0)
	service = netip.MustParseAddrPort("198.18.0.1:443")
)

// world is a host with what it has heard.
type world struct {
	table     *routing.Table
	directory *discovery.Directory
	steerer   *steer.Steerer
	revision  pimentospread.ObjectVersion
}

func newWorld() *world {
	return &world{
		table:     routing.New(),
		directory: discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: 2 * time.Second}),
		steerer: steer.New(
			steer.Weights{RemotePenalty: 0.3, WarmupSpeed: 0.5},
			inflight.New(inflight.Config{MaxFlows: 1000, AveragingWindow: 2 * time.Second, MaxRequestTime: 300 * time.Millisecond, MinRetransmissionDelay: 150 * time.Millisecond, FlowLifetime: time.Minute}),
			outlier.New(outlier.Config{MinTrialInterval: time.Second, MaxTrialInterval: 4 * time.Second}),
		),
	}
}

func registration(name string, domain pimentospread.FailureDomain) pimentospread.Registration {
	var n byte
	_, _ = fmt.Sscanf(name, "i-%d", &n)
	return pimentospread.Registration{
		Name: pimentospread.RegistrationName(name), Instance: pimentospread.InstanceID(n), Born: 5, Service: "desk",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), FailureDomain: domain, Slots: 2,
	}
}

func (w *world) configure(version pimentospread.ConfigurationVersion, routes ...pimentospread.Route) {
	w.table.Put(pimentospread.Configuration{Version: version, Routes: routes})
	w.view()
}

func (w *world) register(now time.Time, registrations ...pimentospread.Registration) {
	w.revision++
	w.directory.Apply(now, discovery.Update{Full: true, Revision: w.revision, Present: registrations})
	w.view()
}

func (w *world) view() { w.steerer.SetView(steer.NewView(near, w.table, w.directory)) }

func toDesk() pimentospread.Route {
	return pimentospread.Route{Name: "r", Address: service, Services: []pimentospread.WeightedService{{Service: "desk", Weight: 1}}}
}

func syn(port uint16, copies uint32) steer.Packet {
	return steer.Packet{Key: key(port), Opens: true, Retransmissions: copies}
}

func key(port uint16) pimentospread.FlowKey {
	return pimentospread.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Service: service}
}

func after(n int, r pimentospread.Registration) []pimentospread.Registration {
	r.Draining = true
	list := []pimentospread.Registration{r}
	for i := range n {
		list = append(list, registration(fmt.Sprintf("i-%d", i+100), near))
	}
	return list
}

// Guards against packets that leave the target of their flow, against new work
// at targets that leave, and against resets of flows that live.
func TestSteer(t *testing.T) {
	a := registration("i-1", near)
	reborn := a
	reborn.Born = 6
	tests := map[string]struct {
		prepare func(w *world)
		packet  steer.Packet
		kind    steer.Kind
		cause   steer.Cause
		target  pimentospread.RegistrationName
	}{
		"nothing heard yet": {
			prepare: func(*world) {}, packet: syn(1, 0), kind: steer.Drop, cause: steer.CauseNoConfiguration,
		},
		"new flow": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a) },
			packet:  syn(1, 0), kind: steer.Forward, cause: steer.CauseLeastLoad, target: "i-1",
		},
		"new flow of an address without a route": {
			prepare: func(w *world) { w.configure(1); w.register(start, a) },
			packet:  syn(1, 0), kind: steer.Reset, cause: steer.CauseNoRoute,
		},
		"new flow when the only target drains": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, after(0, a)...) },
			packet:  syn(1, 0), kind: steer.Reset, cause: steer.CauseNoTarget,
		},
		"open flow": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Forward, cause: steer.CauseToken, target: "i-1",
		},
		"open flow of a draining target": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a); w.register(start, after(3, a)...) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Forward, cause: steer.CauseToken, target: "i-1",
		},
		"open flow of a target whose registration is gone": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a); w.register(start) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Forward, cause: steer.CauseDeparted, target: "i-1",
		},
		"open flow of a target that started again under its name": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a); w.register(start, reborn) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Forward, cause: steer.CauseDeparted, target: "i-1",
		},
		"open flow of a target that this host has not heard of": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Drop, cause: steer.CauseUnknownToken,
		},
		"open flow of a route that this host has not heard of": {
			prepare: func(w *world) { w.configure(1); w.register(start, a) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Forward, cause: steer.CauseToken, target: "i-1",
		},
		"open flow of a dropped route": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a); w.configure(2) },
			packet:  steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Reset, cause: steer.CauseRouteDropped,
		},
		"open flow of a route that was dropped and is back": {
			prepare: func(w *world) {
				w.configure(1, toDesk())
				w.register(start, a)
				w.configure(2)
				w.configure(3, toDesk())
			},
			packet: steer.Packet{Key: key(1), Token: a.Token()}, kind: steer.Forward, cause: steer.CauseToken, target: "i-1",
		},
		"own failure domain first": {
			prepare: func(w *world) { w.configure(1, toDesk()); w.register(start, a, registration("i-2", far)) },
			packet:  syn(1, 0), kind: steer.Forward, cause: steer.CauseLeastLoad, target: "i-1",
		},
		"copy of a SYN whose target answers others": {
			prepare: func(w *world) {
				w.configure(1, toDesk())
				w.register(start, a)
				w.steerer.Steer(start, syn(1, 0))
				w.register(start, a, registration("i-2", near))
				w.steerer.Steer(start.Add(silence-1), steer.Packet{Key: key(9), Token: a.Token(), Sequence: 1, Ack: 1})
				w.steerer.Steer(start.Add(silence-1), steer.Packet{Key: key(9), Token: a.Token(), Sequence: 1, Ack: 2})
			},
			packet: syn(1, 1), kind: steer.Forward, cause: steer.CauseCopy, target: "i-1",
		},
		"copy of a SYN whose target is silent": {
			prepare: func(w *world) {
				w.configure(1, toDesk())
				w.register(start, a)
				w.steerer.Steer(start, syn(1, 0))
				w.register(start, a, registration("i-2", near))
			},
			packet: syn(1, 1), kind: steer.Forward, cause: steer.CauseLeastLoad, target: "i-2",
		},
		"new flow when all targets are in doubt": {
			prepare: func(w *world) {
				w.configure(1, toDesk())
				w.register(start, a)
				w.steerer.Steer(start, syn(2, 0))
				w.steerer.Steer(start.Add(silence), syn(2, 1))
			},
			packet: syn(1, 0), kind: steer.Forward, cause: steer.CauseAllSuspected, target: "i-1",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			tc.prepare(w)
			got := w.steerer.Steer(start.Add(silence), tc.packet)
			want := []any{tc.kind, tc.cause, tc.target}
			if diff := cmp.Diff(want, []any{got.Kind, got.Cause, got.Name}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a silent target that draws all new flows because it looks idle.
func TestSilentTargetGetsFewFlows(t *testing.T) {
	w := newWorld()
	w.configure(1, toDesk())
	silent := registration("i-1", near)
	w.register(start, silent, registration("i-2", near), registration("i-3", near))
	sent := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		port := uint16(i + 1)
		a := w.steerer.Steer(now, syn(port, 0))
		if a.Name == silent.Name {
			sent++
			w.steerer.Steer(now.Add(silence), syn(port, 1))
			continue
		}
		w.steerer.Steer(now, steer.Packet{Key: key(port), Token: a.Target, Sequence: 1, Ack: 1})
		w.steerer.Steer(now, steer.Packet{Key: key(port), Token: a.Target, Sequence: 1, Ack: 1, Ends: true})
	}
	// One flow begins the doubt; trials follow after 1, 3 and then every 4 s.
	if sent > 4 {
		t.Errorf("%d of 1000 flows in 5 s went to a silent target, want 4 at most", sent)
	}
}

// Guards against callers that wait until their deadline on flows of a target that
// crashed, and against resets of flows whose target may live.
func TestFlowsOfALostTargetAreReset(t *testing.T) {
	a, b := registration("i-1", near), registration("i-2", near)
	drained := a
	drained.Draining = true
	tests := map[string]struct {
		// leave is what the host hears after the request was sent.
		leave func(w *world, now time.Time)
		// answered says that another caller hears from the target after the request was sent.
		answered bool
		kind     steer.Kind
		cause    steer.Cause
	}{
		"its registration lapsed":   {func(w *world, now time.Time) { w.register(now, b) }, false, steer.Reset, steer.CauseLostTarget},
		"its registration is there": {func(*world, time.Time) {}, false, steer.Forward, steer.CauseRepeated},
		"it drained before it went": {func(w *world, now time.Time) { w.register(now, drained, b); w.register(now, b) }, false, steer.Forward, steer.CauseDeparted},
		"it answers others":         {func(w *world, now time.Time) { w.register(now, b) }, true, steer.Forward, steer.CauseDeparted},
		"it lapsed while the platform was away": {
			func(w *world, now time.Time) { w.directory.PlatformReturned(now); w.register(now, b) }, false, steer.Forward, steer.CauseRepeated,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.configure(1, toDesk())
			w.register(start, a, b)
			request := steer.Packet{Key: key(1), Token: a.Token(), Sequence: 1, Ack: 1, Length: 100}
			if got := w.steerer.Steer(start, request); got.Kind != steer.Forward || got.Target != a.Token() {
				t.Fatalf("the request goes to %+v", got)
			}
			now := start.Add(10 * time.Millisecond)
			if tc.answered {
				other := steer.Packet{Key: key(2), Token: a.Token(), Sequence: 1, Ack: 1, Length: 10}
				w.steerer.Steer(now, other)
				other.Sequence, other.Ack, other.Length = 11, 50, 0
				w.steerer.Steer(now.Add(time.Millisecond), other)
			}
			tc.leave(w, now)
			if got := w.steerer.Steer(start.Add(silence), request); got.Kind != tc.kind || got.Cause != tc.cause {
				t.Errorf("the repeated request: %s for %s, want %s for %s", got.Kind, got.Cause, tc.kind, tc.cause)
			}
		})
	}
}

// Guards against a second target for a flow whose SYN and copy waited at a host
// that was paused (soak, seed 1185).
func TestCopyRightBehindItsSYN(t *testing.T) {
	w := newWorld()
	w.configure(1, toDesk())
	w.register(start, registration("i-1", near), registration("i-2", near))
	first := w.steerer.Steer(start, syn(1, 0))
	again := w.steerer.Steer(start.Add(time.Millisecond), syn(1, 1))
	if again.Name != first.Name || again.Cause != steer.CauseCopy {
		t.Errorf("SYN went to %s, its copy 1 ms later to %s by %s", first.Name, again.Name, again.Cause)
	}
	if changes := w.steerer.SuspicionChanges(); len(changes) != 0 {
		t.Errorf("the target is in doubt: %+v", changes)
	}
}

// Guards against targets of another failure domain that stay in doubt for ever
// after a cut between the domains.
func TestRemoteTargetsComeBack(t *testing.T) {
	w := newWorld()
	w.configure(1, toDesk())
	doubted, other := registration("i-1", far), registration("i-2", far)
	w.register(start, doubted)
	w.steerer.Steer(start, syn(1, 0))
	w.steerer.Steer(start.Add(silence), syn(1, 1))
	w.register(start, doubted, other)
	if a := w.steerer.Steer(start.Add(silence), syn(2, 0)); a.Name != other.Name {
		t.Fatalf("new flow went to %s, which is in doubt", a.Name)
	}
	later := start.Add(2 * time.Second)
	a := w.steerer.Steer(later, syn(3, 0))
	if a.Name != doubted.Name || a.Cause != steer.CauseTrial {
		t.Fatalf("%s to %s, want a trial of %s", a.Cause, a.Name, doubted.Name)
	}
	w.steerer.Steer(later, steer.Packet{Key: key(3), Token: a.Target, Sequence: 1, Ack: 1})
	if got := len(w.steerer.SuspicionChanges()); got != 2 {
		t.Errorf("%d changes of doubt, want its begin and its end", got)
	}
}

// Guards against a packet of an open flow that reaches another target, whatever
// a host has heard and in whatever order.
func TestOpenFlowNeverMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.configure(1, toDesk())
		names := []string{"i-1", "i-2", "i-3", "i-4"}
		owner := map[pimentospread.Token]pimentospread.Registration{}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			var present []pimentospread.Registration
			for _, name := range names {
				if !rapid.Bool().Draw(t, name) {
					continue
				}
				r := registration(name, near)
				r.Born = pimentospread.UnixMilli(rapid.IntRange(1, 3).Draw(t, "born"))
				r.Draining = rapid.Bool().Draw(t, "draining")
				owner[r.Token()] = r
				present = append(present, r)
			}
			w.register(now, present...)
			w.directory.Tick(now)
			w.view()
			for token, r := range owner {
				a := w.steerer.Steer(now, steer.Packet{Key: key(7), Token: token, Sequence: 1, Ack: 1})
				if a.Kind == steer.Reset {
					t.Fatalf("open flow of %s was reset", r.Name)
				}
				if a.Kind == steer.Forward && (a.Name != r.Name || a.Instance != r.Instance || a.Address != r.Address) {
					t.Fatalf("packet for %s of %d went to %s", r.Name, r.Born, a.Name)
				}
			}
			if a := w.steerer.Steer(now, syn(uint16(rapid.IntRange(10, 60000).Draw(t, "port")), 0)); a.Kind == steer.Forward {
				found := false
				for _, r := range present {
					found = found || r.Name == a.Name && !r.Draining
				}
				if !found {
					t.Fatalf("new flow went to %s, which is gone or draining", a.Name)
				}
			}
		}
	})
}

// Guards against load that gathers at few targets.
func TestNewFlowsAreBalanced(t *testing.T) {
	w := newWorld()
	w.configure(1, toDesk())
	var list []pimentospread.Registration
	for i := range 5 {
		list = append(list, registration(fmt.Sprintf("i-%d", i+1), near))
	}
	w.register(start, list...)
	held := map[pimentospread.RegistrationName]int{}
	for i := range 500 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		a := w.steerer.Steer(now, syn(uint16(i+1), 0))
		held[a.Name]++
		w.steerer.Steer(now, steer.Packet{Key: key(uint16(i + 1)), Token: a.Target, Sequence: 1, Ack: 1})
		w.steerer.Steer(now, steer.Packet{Key: key(uint16(i + 1)), Token: a.Target, Sequence: 1, Ack: 1, Length: 100})
	}
	most := 0
	for _, n := range held {
		most = max(most, n)
	}
	if mean := 500.0 / 5; float64(most) > 1.10*mean {
		t.Errorf("the busiest target got %d flows, mean %.0f, want 1.10 times the mean at most: %v", most, mean, held)
	}
}

func ExampleSteerer_Steer() {
	w := newWorld()
	w.configure(1, toDesk())
	w.register(start, registration("i-1", near))
	first := w.steerer.Steer(start, syn(4000, 0))
	next := w.steerer.Steer(start, steer.Packet{Key: key(4000), Token: first.Target, Length: 100})
	fmt.Println(first.Kind, first.Name, first.Cause)
	fmt.Println(next.Kind, next.Name, next.Cause)
	// Output:
	// forward i-1 rank
	// forward i-1 token
}

func benchmarkWorld(targets int) (*world, []pimentospread.Registration) {
	w := newWorld()
	w.configure(1, toDesk())
	var list []pimentospread.Registration
	for i := range targets {
		domain := near
		if i%3 > 0 {
			domain = far
		}
		list = append(list, registration(fmt.Sprintf("i-%d", i+1), domain))
	}
	w.register(start, list...)
	return w, list
}

func BenchmarkOpenFlow(b *testing.B) {
	w, list := benchmarkWorld(150)
	p := steer.Packet{Key: key(1), Token: list[0].Token(), Sequence: 1, Ack: 1}
	// A reading of the clock has a monotonic part, which is cheaper to compare.
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		w.steerer.Steer(now, p)
	}
}

func BenchmarkNewFlow(b *testing.B) {
	w, _ := benchmarkWorld(150)
	now := time.Now()
	b.ReportAllocs()
	port := uint16(0)
	for b.Loop() {
		port++
		w.steerer.Steer(now, syn(port, 0))
	}
}
