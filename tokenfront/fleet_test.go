package tokenfront

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/peer"
	"pimentospread/platform"
	"pimentospread/ring"
	"pimentospread/routing"
	"pimentospread/steer"
)

const (
	// messageDelay is the time of a message between two hosts or to the platform.
	messageDelay = 2 * time.Millisecond
	// pollInterval is the interval at which a reading host gets a response of the platform.
	pollInterval = 200 * time.Millisecond
)

// fleet runs the controllers of many hosts on a virtual clock, without network: the
// messages between them are encoded, counted and delivered after a delay. A host that reads
// the platform polls it, which stands for its watches.
type fleet struct {
	t      testing.TB
	now    time.Time
	queue  fleetQueue
	peers  []dissemination.Peer
	hosts  map[pimentospread.HostID]*fleetHost
	random *rand.Rand
	// configuration, targets, removed and revision are the state of the platform.
	configuration pimentospread.Configuration
	targets       map[pimentospread.RegistrationName]pimentospread.Registration
	changedAt     map[pimentospread.RegistrationName]pimentospread.ObjectVersion
	revision      pimentospread.ObjectVersion
	// rejects reports whether the platform rejects the calls of a host.
	rejects func(pimentospread.HostID) bool
	// listDelay is the time of a whole list from the platform, whose link all hosts share, and
	// down is set while the platform answers nothing.
	listDelay time.Duration
	down      bool
	// sent counts the bytes that each host has sent, and calls the polls of the platform.
	sent  map[pimentospread.HostID]int
	calls int
}

type fleetEvent struct {
	at    time.Time
	order int
	do    func()
}

type fleetQueue struct {
	events []fleetEvent
	pushed int
}

func (q *fleetQueue) Len() int { return len(q.events) }
func (q *fleetQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
}
func (q *fleetQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *fleetQueue) Push(x any)    { q.events = append(q.events, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// Now is the virtual time.
func (f *fleet) Now() time.Time { return f.now }

func (f *fleet) after(d time.Duration, do func()) {
	f.queue.pushed++
	heap.Push(&f.queue, fleetEvent{f.now.Add(d), f.queue.pushed, do})
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue.events) > 0 && !f.queue.events[0].at.After(end) {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// fleetHost is one host of a fleet. A host that starts again gets a new one.
type fleetHost struct {
	fleet      *fleet
	self       dissemination.Peer
	controller *controller
	links      map[pimentospread.HostID]netip.AddrPort
	alive      bool
	paused     bool
	waiting    []func()
	// read is the revision of the platform that the host has read. Zero means none.
	read    pimentospread.ObjectVersion
	reading bool
	// listing is set while a whole list is on its way.
	listing bool
	newest  dissemination.Position
}

// SetPeers replaces the links of the host.
func (h *fleetHost) SetPeers(_ context.Context, peers map[pimentospread.HostID]netip.AddrPort) error {
	h.links = peers
	return nil
}

// Send encodes the message and delivers it to the host with the address of the link.
func (h *fleetHost) Send(_ context.Context, m pimentospread.Outbound) error {
	f := h.fleet
	address, ok := h.links[m.To]
	if !ok {
		return pimentospread.ErrNotFound.New("no link")
	}
	frame, err := peer.Encode(h.self.Host, 1, m.Message)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sent[h.self.Host] += len(frame)
	f.after(messageDelay, func() {
		to := f.hosts[f.peers[address.Port()-1].Host]
		in, _, err := peer.Registry(dissemination.Constructors()).Decode(frame[4:])
		if err != nil {
			f.t.Fatal(err)
		}
		to.handle(peerMessage{in})
	})
	return nil
}

// handle lets the controller of the host handle an event. A paused host does so when it
// resumes.
func (h *fleetHost) handle(e event) {
	if !h.alive {
		return
	}
	if h.paused {
		h.waiting = append(h.waiting, func() { h.handle(e) })
		return
	}
	ctx := h.fleet.t.Context()
	if e == nil {
		now := h.fleet.now
		h.controller.recordChanges(h.controller.directory.Tick(now))
		h.controller.exchange.tick(ctx, now)
	} else {
		h.controller.handle(ctx, e)
	}
	h.controller.publish(ctx)
	position := h.controller.sharedState().Position()
	if position.Configuration < h.newest.Configuration || position.Targets < h.newest.Targets {
		h.fleet.t.Fatalf("%s went back from %+v to %+v", h.self.Host, h.newest, position)
	}
	h.newest = position
	for _, r := range h.controller.exchange.watcherActivations {
		select {
		case h.reading = <-r.Items():
			h.read = 0
		default:
		}
	}
}

// every calls do at intervals while the host runs.
func (h *fleetHost) every(interval time.Duration, do func()) {
	h.fleet.after(interval, func() {
		if h.alive {
			do()
			h.every(interval, do)
		}
	})
}

// poll reads the platform if the host does so now.
func (h *fleetHost) poll() {
	f := h.fleet
	if !h.reading || h.paused || f.down {
		return
	}
	f.calls++
	if h.read == 0 && f.listDelay > 0 {
		if !h.listing {
			h.listing = true
			f.after(f.listDelay, func() { h.listing = false; h.receive() })
		}
		return
	}
	h.receive()
}

// receive applies a response of the platform.
func (h *fleetHost) receive() {
	f := h.fleet
	if !h.alive {
		return
	}
	if f.rejects(h.self.Host) {
		for _, kind := range []pimentospread.ObjectKind{platform.KindConfiguration, platform.KindTargets} {
			h.handle(platformResult{kind: kind, at: f.now, err: pimentospread.ErrUnavailable.New("rejected")})
		}
		return
	}
	u := discovery.Update{Full: h.read == 0, From: h.read, Revision: f.revision}
	for name, at := range f.changedAt {
		r, present := f.targets[name]
		switch {
		case at <= h.read:
		case present:
			u.Present = append(u.Present, r)
		case !u.Full:
			u.Removed = append(u.Removed, name)
		}
	}
	if h.read == 0 {
		h.handle(hostsUpdate{dissemination.PeersUpdate{Full: true, Revision: 1, Present: f.peers}})
	}
	h.read = f.revision
	h.handle(configurationUpdate{f.configuration})
	h.handle(platformResult{kind: platform.KindConfiguration, at: f.now})
	h.handle(targetsUpdate{update: u})
	h.handle(platformResult{kind: platform.KindTargets, at: f.now})
}

// newFleet returns a fleet whose hosts do not run yet.
func newFleet(t testing.TB, hosts, domains, targets int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_700_000_000, 0), hosts: map[pimentospread.HostID]*fleetHost{},
		random:  rand.New(rand.NewPCG(1, uint64(hosts))),
		targets: map[pimentospread.RegistrationName]pimentospread.Registration{}, changedAt: map[pimentospread.RegistrationName]pimentospread.ObjectVersion{},
		rejects: func(pimentospread.HostID) bool { return false }, sent: map[pimentospread.HostID]int{},
	}
	for i := range hosts {
		f.peers = append(f.peers, dissemination.Peer{
			Host: pimentospread.HostID(fmt.Sprintf("h-%d", i)), FailureDomain: pimentospread.FailureDomain(fmt.Sprintf("d-%d", i%domains)),
			Address: loopback(i + 1), LinkSpeed: pimentospread.Megabits(20 + 180*(1-min(i/domains%13, 1))),
		})
	}
	for i := range targets {
		f.register(fmt.Sprintf("i-%d", i), domains)
	}
	f.configure(1)
	return f
}

// register adds a target.
func (f *fleet) register(name string, domains int) {
	f.revision++
	n := len(f.changedAt)
	r := pimentospread.Registration{
		Name: pimentospread.RegistrationName(name), Instance: pimentospread.InstanceID(n), Born: 5, Service: "desk",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80), FailureDomain: pimentospread.FailureDomain(fmt.Sprintf("d-%d", n%domains)), Slots: 2,
	}
	f.targets[r.Name], f.changedAt[r.Name] = r, f.revision
}

// remove removes a target.
func (f *fleet) remove(name pimentospread.RegistrationName) {
	f.revision++
	delete(f.targets, name)
	f.changedAt[name] = f.revision
}

// configure puts a version of the configuration onto the platform.
func (f *fleet) configure(version pimentospread.ConfigurationVersion) {
	f.configuration = pimentospread.Configuration{Version: version, Routes: []pimentospread.Route{{
		Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Duration(version) * time.Second,
		Services: []pimentospread.WeightedService{{Service: "desk", Weight: 1}},
	}}}
}

// start starts the host with the index, without any state.
func (f *fleet) start(i int) {
	self := f.peers[i]
	h := &fleetHost{fleet: f, self: self, alive: true, reading: true}
	activations := ring.New[bool](1, ring.DropOldest)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.controller = &controller{
		clock: f, log: log, failureDomain: self.FailureDomain, table: routing.New(),
		views:     ring.New[*steer.View](1, ring.DropOldest),
		directory: discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: 2500 * time.Millisecond}),
		contacts:  map[pimentospread.ObjectKind]*platformContact{},
		exchange: &peerExchange{
			self: self, log: log, network: h, started: f.now, watcherActivations: []*ring.Ring[bool]{activations},
			seeds:           f.seeds(i),
			reregistrations: ring.New[struct{}](1, ring.DropOldest), removals: ring.New[pimentospread.HostID](8, ring.Refuse),
			selector:    dissemination.NewSelector(f.now, selectorConfig(self)),
			distributor: dissemination.NewDistributor(dissemination.DistributorConfig{Lease: subscriptionLease, LinkSpeed: self.LinkSpeed}), lastSeen: map[pimentospread.HostID]time.Time{},
		},
	}
	f.hosts[self.Host] = h
	f.after(time.Duration(f.random.Int64N(int64(300*time.Millisecond))), func() {
		h.poll()
		h.every(tickInterval, func() { h.handle(nil) })
		h.every(pollInterval, h.poll)
	})
}

// seeds returns the seeds of the host with the index: the last three hosts but itself.
func (f *fleet) seeds(i int) map[pimentospread.HostID]netip.AddrPort {
	seeds := map[pimentospread.HostID]netip.AddrPort{}
	for _, p := range f.peers[max(len(f.peers)-3, 0):] {
		if p.Host != f.peers[i].Host {
			seeds[pimentospread.HostID("seed "+p.Address.String())] = p.Address
		}
	}
	return seeds
}

// startAll starts all hosts, and kills those that run.
func (f *fleet) startAll() {
	for i, p := range f.peers {
		if h := f.hosts[p.Host]; h != nil {
			h.alive = false
		}
		f.start(i)
	}
}

// behind returns the number of running hosts that lack the newest configuration or targets.
func (f *fleet) behind() int {
	n := 0
	for _, h := range f.hosts {
		if !h.alive || h.paused {
			continue
		}
		current := h.controller.table.Version() == f.configuration.Version && len(h.controller.directory.Snapshot().Present) == len(f.targets)
		for _, r := range h.controller.directory.Snapshot().Present {
			current = current && f.targets[r.Name] == r
		}
		if !current {
			n++
		}
	}
	return n
}

// settle advances the virtual time until no host is behind, and returns how long that took.
func (f *fleet) settle(limit time.Duration) time.Duration {
	begin := f.now
	for f.behind() > 0 && f.now.Sub(begin) < limit {
		f.run(20 * time.Millisecond)
	}
	return f.now.Sub(begin)
}

// busiest returns the largest number of bytes that a host sends within a time, and their
// mean.
func (f *fleet) busiest(d time.Duration) (most, mean float64) {
	clear(f.sent)
	f.run(d)
	total := 0
	for _, n := range f.sent {
		most = max(most, float64(n))
		total += n
	}
	return most / d.Seconds(), float64(total) / d.Seconds() / float64(len(f.peers))
}

// change changes the configuration and the targets.
func (f *fleet) change() {
	f.configure(f.configuration.Version + 1)
	f.remove("i-0")
	f.register(fmt.Sprintf("new-%d", f.revision), 3)
}

// controlBytesPerSecond is what a host may send for control.
const controlBytesPerSecond = 11_000

// fleetSizes are the sizes of the tests. 3,000 hosts are played by BenchmarkFleet.
var fleetSizes = []struct{ hosts, domains int }{{7, 3}, {30, 5}, {300, 5}}

// Guards against control traffic of one host that grows with the fleet, and against
// changes that take longer there.
func TestFleetChangesReachAllHosts(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newFleet(t, size.hosts, size.domains, 20)
			f.startAll()
			f.run(5 * time.Second)
			calls := f.calls
			most, mean := f.busiest(10 * time.Second)
			// One host reads the platform.
			if got := f.calls - calls; got > 55 {
				t.Errorf("%d polls of the platform in 10 s, want at most the 55 of one host", got)
			}
			f.change()
			took := f.settle(10 * time.Second)
			t.Logf("busiest host %.0f B/s, mean %.0f B/s, a change takes %s", most, mean, took)
			if most > controlBytesPerSecond {
				t.Errorf("the busiest host sends %.0f bytes a second, want at most %d", most, controlBytesPerSecond)
			}
			if took > pollInterval+100*time.Millisecond {
				t.Errorf("a change takes %s to all hosts, want at most 100 ms after it was read", took)
			}
		})
	}
}

// Guards against hosts that miss a change because the hosts above them are lost, all of
// them at once or one after another.
func TestFleetWithoutInnerHosts(t *testing.T) {
	const bound = 3 * time.Second // the shortest bound of the users for drains and configurations
	for _, size := range fleetSizes {
		for _, levels := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d hosts, %d levels lost", size.hosts, levels), func(t *testing.T) {
				f := newFleet(t, size.hosts, size.domains, 20)
				f.startAll()
				f.run(5 * time.Second)
				tree := dissemination.NewTree(f.peers, fanOut)
				lost := tree.Ranked()[:1]
				for i := 0; i < len(lost) && len(lost) < size.hosts/2; i++ {
					if levels > 1 && (i == 0 || levels > 2) {
						lost = append(lost, tree.Followers(lost[i])...)
					}
				}
				for _, id := range lost[:min(len(lost), size.hosts/2)] {
					f.hosts[id].alive = false
				}
				f.change()
				if took := f.settle(10 * time.Second); took > bound {
					t.Errorf("a change takes %s to the hosts left after the loss of %d, want at most %s", took, min(len(lost), size.hosts/2), bound)
				}
			})
		}
	}
}

// Guards against a fleet that gets no changes although some of its hosts can read the
// platform, which rejects the calls of the others: against hosts that take a follower with
// the same stale state as their source, and against hosts that stop reading because of
// each other.
func TestFleetWhenThePlatformRejectsMostHosts(t *testing.T) {
	const bound = 5 * time.Second // config_apply_ms of the grown deployments
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newFleet(t, size.hosts, size.domains, 20)
			f.startAll()
			f.run(5 * time.Second)
			// Every third host is served, and none of the first three levels.
			ranked := dissemination.NewTree(f.peers, fanOut).Ranked()
			served := map[pimentospread.HostID]bool{}
			for i, id := range ranked {
				served[id] = i >= len(ranked)/2 && i%3 == 0
			}
			f.rejects = func(id pimentospread.HostID) bool { return !served[id] }
			f.change()
			if took := f.settle(20 * time.Second); took > bound {
				t.Errorf("a change takes %s to all hosts, want at most %s", took, bound)
			}
			f.run(20 * time.Second)
			f.change()
			if took := f.settle(20 * time.Second); took > bound {
				t.Errorf("20 s later a change takes %s to all hosts, want at most %s", took, bound)
			}
			f.rejects = func(pimentospread.HostID) bool { return false }
			f.run(10 * time.Second)
			f.change()
			if took := f.settle(20 * time.Second); took > time.Second {
				t.Errorf("after the platform serves all hosts again a change takes %s, want at most 1 s", took)
			}
		})
	}
}

// Guards against a common start in which hosts load each other with whole lists, against
// hosts that take old state from a host that was paused, and against hosts that never
// agree again.
func TestFleetStartsAgain(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newFleet(t, size.hosts, size.domains, 20)
			f.startAll()
			f.run(5 * time.Second)
			// The reader and a relay stand still for longer than their followers wait.
			ranked := dissemination.NewTree(f.peers, fanOut).Ranked()
			for _, id := range ranked[:2] {
				f.hosts[id].paused = true
			}
			f.run(time.Second)
			f.change()
			f.run(6 * time.Second)
			for _, id := range ranked[:2] {
				h := f.hosts[id]
				h.paused = false
				waiting := h.waiting
				h.waiting = nil
				for _, handle := range waiting {
					handle()
				}
			}
			if took := f.settle(10 * time.Second); took > time.Second {
				t.Errorf("hosts agree %s after the paused ones resume, want at most 1 s", took)
			}
			f.change()
			f.startAll()
			most, mean := f.busiest(3 * time.Second)
			t.Logf("common start: busiest host %.0f B/s, mean %.0f B/s", most, mean)
			if f.behind() > 0 {
				t.Errorf("%d hosts are behind 3 s after the start of all", f.behind())
			}
			if most > 2*controlBytesPerSecond {
				t.Errorf("the busiest host sends %.0f bytes a second in the 3 s after the start of all, want at most %d", most, 2*controlBytesPerSecond)
			}
		})
	}
}

// Guards against a common start in which the list of targets takes longer than hosts wait
// for the platform, so that all of them ask the same few seeds for it, again and again.
func TestFleetStartsWhileThePlatformIsSlow(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newFleet(t, size.hosts, size.domains, 300)
			f.listDelay = 1200 * time.Millisecond
			f.startAll()
			most, mean := f.busiest(5 * time.Second)
			t.Logf("busiest host %.0f B/s, mean %.0f B/s", most, mean)
			if f.behind() > 0 {
				t.Errorf("%d hosts are behind 5 s after the start of all", f.behind())
			}
			if most > 2*controlBytesPerSecond {
				t.Errorf("the busiest host sends %.0f bytes a second in the 5 s after the start of all, want at most %d", most, 2*controlBytesPerSecond)
			}
		})
	}
}

// Guards against hosts that ask their seeds for a configuration that the platform does not
// have yet, so that a few hosts have connections to all others at the first start of a
// system.
func TestFleetStartsBeforeTheFirstConfiguration(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newFleet(t, size.hosts, size.domains, 20)
			f.configuration.Version = 0
			f.startAll()
			most := 0
			for range 100 {
				f.run(50 * time.Millisecond)
				for _, h := range f.hosts {
					most = max(most, len(h.links))
				}
			}
			// The first host has the relays of the other failure domains as well.
			if limit := fanOut + size.domains; most > limit {
				t.Errorf("a host has links to %d others, want at most %d", most, limit)
			}
			f.configure(1)
			if took := f.settle(5 * time.Second); took > time.Second {
				t.Errorf("the first configuration takes %s to all hosts, want at most 1 s", took)
			}
		})
	}
}

// Guards against hosts that start while the platform is down and get no state, and against
// the few hosts that all of them know being loaded with the lists of all.
func TestFleetStartsWhileThePlatformIsDown(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			f := newFleet(t, size.hosts, size.domains, 300)
			f.startAll()
			f.run(5 * time.Second)
			f.down = true
			f.run(time.Second)
			for i, p := range f.peers {
				if i < len(f.peers)-3 && i%5 > 1 {
					f.hosts[p.Host].alive = false
					f.start(i)
				}
			}
			clear(f.sent)
			took := f.settle(10 * time.Second)
			// most is the longest time for which what a host sends takes its link.
			most := 0.0
			for _, p := range f.peers {
				most = max(most, float64(f.sent[p.Host]*8)/float64(p.LinkSpeed)/1e6)
			}
			t.Logf("three in five hosts have the state of the others after %s, busiest link taken for %.2f s", took, most)
			if took > 4*time.Second {
				t.Errorf("hosts that start without the platform take %s to get the state of the others, want at most 4 s, catch_up_s of the users", took)
			}
			if most > 0.5 {
				t.Errorf("the link of a host is taken for %.2f s, want at most 0.5 s", most)
			}
		})
	}
}

// BenchmarkFleet reports the bytes a second that the busiest host and the mean host send
// without changes, at sizes that CI does not play.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{30, 5}, {300, 5}, {3000, 27}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size.hosts, size.domains, 20)
				f.startAll()
				f.run(5 * time.Second)
				most, mean := f.busiest(5 * time.Second)
				f.change()
				b.ReportMetric(most, "busiest-B/s")
				b.ReportMetric(mean, "mean-B/s")
				b.ReportMetric(float64(f.settle(10*time.Second).Milliseconds()), "change-ms")
			}
		})
	}
}
