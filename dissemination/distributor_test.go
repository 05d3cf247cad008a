package dissemination_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/peer"
	"pimentospread/routing"
)

// testHost is the state of a host with its distributor.
type testHost struct {
	directory   *discovery.Directory
	table       *routing.Table
	distributor *dissemination.Distributor
	peers       dissemination.Peers
	// targets and hosts track where the targets and the hosts came from.
	targets, hosts dissemination.SourceTracker
}

func newTestHost() *testHost {
	return &testHost{
		directory:   discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second}),
		table:       routing.New(),
		distributor: dissemination.NewDistributor(dissemination.DistributorConfig{Lease: 3 * time.Second}),
	}
}

// applyTargets applies an update of targets and records the change at the distributor.
func (h *testHost) applyTargets(now time.Time, u discovery.Update) {
	before := h.directory.Digest()
	h.distributor.RecordTargets(before, h.directory.Apply(now, u))
}

// subscription returns the message with which the host subscribes at its source.
func (h *testHost) subscription() *dissemination.Subscribe {
	return &dissemination.Subscribe{
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Position: h.position(),
		TargetsDigest: h.directory.Digest(), PeersDigest: h.peers.Digest(),
	}
}

func (h *testHost) configure(c pimentospread.Configuration) {
	if h.table.Put(c) {
		h.distributor.RecordConfiguration(c)
	}
}

func (h *testHost) state(confirmed time.Time) dissemination.State {
	return dissemination.State{Directory: h.directory, Table: h.table, Peers: &h.peers, Confirmed: confirmed}
}

func (h *testHost) position() dissemination.Position {
	return dissemination.Position{Targets: h.directory.Revision(), Configuration: h.table.Version(), Peers: h.peers.Revision()}
}

// receive encodes, decodes and applies a StateUpdate message.
func (h *testHost) receive(t *rapid.T, now time.Time, m pimentospread.Message) {
	data, err := peer.Encode("a-1", 1, m)
	if err != nil {
		t.Fatal(err)
	}
	in, _, err := peer.Registry(dissemination.Constructors()).Decode(data[4:])
	if err != nil {
		t.Fatal(err)
	}
	update := in.Message.(*dissemination.StateUpdate)
	h.directory.ExtendGrace(now, update.Grace)
	for _, u := range update.Updates {
		if h.targets.Accept("a-1", u.Full, u.From, h.directory.Revision()) {
			h.applyTargets(now, u)
		}
	}
	if update.Routes != nil {
		if c, ok := update.Routes.Apply(h.table.Configuration()); ok {
			h.configure(c)
		}
	}
}

func registration(i, born int) pimentospread.Registration {
	return pimentospread.Registration{
		Name: pimentospread.RegistrationName(fmt.Sprintf("i-%d", i)), Instance: pimentospread.InstanceID(i), Born: pimentospread.UnixMilli(born),
		Service: "desk", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i)), FailureDomain: "a", Slots: 2,
	}
}

// Guards against followers that end with other targets or routes than their source
// when messages are lost, and against followers that go back to an earlier state.
func TestFollowerGetsStateOfSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := newTestHost(), newTestHost()
		now := start
		var revision pimentospread.ObjectVersion
		var version pimentospread.ConfigurationVersion
		pull := func() {
			for _, out := range source.distributor.Subscribe(now, "a-2", follower.subscription(), source.state(now)) {
				follower.receive(t, now, out.Message)
			}
		}
		pull()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			before := follower.position()
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				revision += pimentospread.ObjectVersion(rapid.IntRange(1, 3).Draw(t, "revisions"))
				u := discovery.Update{From: source.directory.Revision(), Revision: revision, Full: rapid.Bool().Draw(t, "full") || source.directory.Revision() == 0}
				for i := range 4 {
					if rapid.Bool().Draw(t, "present") {
						u.Present = append(u.Present, registration(i, rapid.IntRange(1, 2).Draw(t, "born")))
					} else if rapid.Bool().Draw(t, "removed") {
						u.Removed = append(u.Removed, registration(i, 1).Name)
					}
				}
				source.applyTargets(now, u)
			case 1:
				version += 3
				c := pimentospread.Configuration{Version: version}
				for i := range 4 {
					if rapid.Bool().Draw(t, "route") {
						c.Routes = append(c.Routes, pimentospread.Route{
							Name: pimentospread.RouteName(fmt.Sprint(i)), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(i)),
							Services: []pimentospread.WeightedService{{Service: "desk", Weight: 1}},
						})
					}
				}
				source.configure(c)
			case 2:
				for _, out := range source.distributor.Publish(now, source.state(now)) {
					if rapid.Bool().Draw(t, "delivered") {
						follower.receive(t, now, out.Message)
					}
				}
			case 3:
				source.directory.Tick(now, now)
				follower.directory.Tick(now, now)
			case 4:
				pull()
			}
			if after := follower.position(); after.Targets < before.Targets || after.Configuration < before.Configuration {
				t.Fatalf("the follower went back from %+v to %+v", before, after)
			}
		}
		// A list that may have been lost is sent again after a second.
		now = now.Add(time.Second)
		pull()
		options := cmp.Options{cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty(), cmpopts.SortSlices(func(a, b pimentospread.Route) bool { return a.Name < b.Name })}
		if diff := cmp.Diff(source.directory.Snapshot(), follower.directory.Snapshot(), options); diff != "" {
			t.Fatalf("targets (-want +got): %s", diff)
		}
		if diff := cmp.Diff(source.table.Configuration(), follower.table.Configuration(), options); diff != "" {
			t.Fatalf("configuration (-want +got): %s", diff)
		}
	})
}

// Guards against a follower that sometimes reads the platform itself, at revisions
// that its source skipped, and then keeps a target that was added and removed
// between two revisions of the source.
func TestFollowerThatAlsoReadsThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := newTestHost(), newTestHost()
		// registered maps the targets at the platform to their start time, and changedAt
		// all targets to the revision of their last change.
		registered := map[int]int{}
		changedAt := map[int]pimentospread.ObjectVersion{}
		revision := pimentospread.ObjectVersion(1)
		list := func() discovery.Update {
			u := discovery.Update{Full: true, Revision: revision}
			for i := range 5 {
				if born, ok := registered[i]; ok {
					u.Present = append(u.Present, registration(i, born))
				}
			}
			return u
		}
		watch := func(from pimentospread.ObjectVersion) discovery.Update {
			u := discovery.Update{From: from, Revision: revision}
			for i := range 5 {
				born, ok := registered[i]
				switch {
				case changedAt[i] <= from:
				case ok:
					u.Present = append(u.Present, registration(i, born))
				default:
					u.Removed = append(u.Removed, registration(i, 1).Name)
				}
			}
			return u
		}
		read := func(h *testHost) {
			if current := h.directory.Revision(); current > 0 && rapid.Bool().Draw(t, "watch") {
				h.applyTargets(start, watch(current))
			} else {
				h.applyTargets(start, list())
			}
			h.targets.ReadPlatform(h.directory.Revision())
		}
		deliver := func(out []pimentospread.Outbound, delivered bool) {
			for _, o := range out {
				if delivered {
					follower.receive(t, start, o.Message)
				}
			}
		}
		// Every host must have the targets that the platform had at the host's revision.
		history := map[pimentospread.ObjectVersion]discovery.Update{revision: list()}
		options := cmp.Options{cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()}
		check := func(name string, h *testHost) {
			if current := h.directory.Revision(); current > 0 {
				if diff := cmp.Diff(history[current], h.directory.Snapshot(), options); diff != "" {
					t.Fatalf("targets of the %s at revision %d (-want +got): %s", name, current, diff)
				}
			}
		}
		read(source)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				revision++
				i := rapid.IntRange(0, 4).Draw(t, "target")
				changedAt[i] = revision
				if _, ok := registered[i]; ok && rapid.Bool().Draw(t, "removed") {
					delete(registered, i)
				} else {
					registered[i] = rapid.IntRange(1, 2).Draw(t, "born")
				}
				history[revision] = list()
			case 2:
				read(source)
			case 3:
				read(follower)
			case 4:
				out := source.distributor.Publish(start, source.state(start))
				if rapid.Bool().Draw(t, "asks") {
					out = source.distributor.Subscribe(start, "a-2", follower.subscription(), source.state(start))
				}
				deliver(out, rapid.Bool().Draw(t, "delivered"))
			}
			check("source", source)
			check("follower", follower)
		}
		revision++
		history[revision] = list()
		read(source)
		// A list that may have been lost is sent again after a second.
		later := start.Add(time.Second)
		deliver(source.distributor.Subscribe(later, "a-2", follower.subscription(), source.state(later)), true)
		check("follower", follower)
		if got := follower.directory.Revision(); got != revision {
			t.Fatalf("the follower is at revision %d, want %d", got, revision)
		}
	})
}

// Guards against sending the whole list to a subscriber for each change.
func TestOnlyChangesAreSent(t *testing.T) {
	h := newTestHost()
	var all []pimentospread.Registration
	for i := range 100 {
		all = append(all, registration(i, 1))
	}
	h.applyTargets(start, discovery.Update{Full: true, Revision: 10, Present: all})
	address := netip.MustParseAddrPort("127.0.0.1:1")
	h.distributor.Subscribe(start, "a-2", &dissemination.Subscribe{Address: address}, h.state(start))
	h.applyTargets(start, discovery.Update{From: 10, Revision: 11, Present: []pimentospread.Registration{registration(3, 2)}})
	h.applyTargets(start, discovery.Update{Full: true, Revision: 12, Present: append(all[:3:3], append([]pimentospread.Registration{registration(3, 2)}, all[4:]...)...)})
	out := h.distributor.Publish(start, h.state(start))
	update := out[0].Message.(*dissemination.StateUpdate)
	if len(update.Updates) != 1 || update.Updates[0].Full || len(update.Updates[0].Present) != 1 || update.Updates[0].Revision != 12 {
		t.Errorf("updates %+v, want one update with one change up to revision 12", update.Updates)
	}
	if again := h.distributor.Publish(start, h.state(start))[0].Message.(*dissemination.StateUpdate); len(again.Updates) != 0 {
		t.Errorf("%d updates were sent again, want none", len(again.Updates))
	}
}

// Guards against a follower that lists the targets just before its source does and
// keeps a target that was removed between the two lists.
func TestTargetRemovedBeforeFirstListOfSource(t *testing.T) {
	source, follower := newTestHost(), newTestHost()
	kept := []pimentospread.Registration{registration(1, 1)}
	follower.applyTargets(start, discovery.Update{Full: true, Revision: 10, Present: append(kept, registration(2, 1))})
	source.applyTargets(start, discovery.Update{Full: true, Revision: 12, Present: kept})
	for _, u := range source.distributor.Subscribe(start, "a-2", follower.subscription(), source.state(start))[0].Message.(*dissemination.StateUpdate).Updates {
		follower.applyTargets(start, u)
	}
	if diff := cmp.Diff(source.directory.Snapshot(), follower.directory.Snapshot(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("targets of the follower (-want +got): %s", diff)
	}
}

// Guards against sending the whole list again to hosts that start at the same time
// as their source and list the same targets at another revision of the platform.
func TestEqualTargetsAreNotSent(t *testing.T) {
	var all []pimentospread.Registration
	for i := range 100 {
		all = append(all, registration(i, 1))
	}
	tests := map[string]struct {
		held []pimentospread.Registration
		sent int
	}{
		"the same targets":                  {all, 0},
		"the same targets in another order": {append(all[50:100:100], all[:50]...), 0},
		"one target fewer":                  {all[1:], 100},
		"one target restarted":              {append([]pimentospread.Registration{registration(0, 2)}, all[1:]...), 100},
		"one target more":                   {append([]pimentospread.Registration{registration(500, 1)}, all...), 100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			source, follower := newTestHost(), newTestHost()
			source.applyTargets(start, discovery.Update{Full: true, Revision: 12, Present: all})
			follower.applyTargets(start, discovery.Update{Full: true, Revision: 10, Present: tc.held})
			update := source.distributor.Subscribe(start, "a-2", follower.subscription(), source.state(start))[0].Message.(*dissemination.StateUpdate)
			sent := 0
			for _, u := range update.Updates {
				sent += len(u.Present)
				follower.applyTargets(start, u)
			}
			if sent != tc.sent {
				t.Errorf("%d targets were sent, want %d", sent, tc.sent)
			}
			if got, want := follower.position(), source.position(); got != want {
				t.Errorf("the follower is at position %+v, want %+v", got, want)
			}
			if got, want := follower.directory.Digest(), source.directory.Digest(); got != want {
				t.Errorf("the follower's targets have digest %x, want %x", got, want)
			}
		})
	}
}

// Guards against a seed host that sends each change to every host of the system,
// because all of them ask it once when they start.
func TestHostThatAsksOnceGetsNoChanges(t *testing.T) {
	h := newTestHost()
	h.applyTargets(start, discovery.Update{Full: true, Revision: 10, Present: []pimentospread.Registration{registration(1, 1)}})
	once := &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:1"), Once: true}
	if answers := h.distributor.Subscribe(start, "a-2", once, h.state(start)); len(answers) != 1 || len(answers[0].Message.(*dissemination.StateUpdate).Updates) != 1 {
		t.Errorf("the answer is %+v, want all targets", answers)
	}
	h.distributor.Subscribe(start, "a-3", &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:2")}, h.state(start))
	h.distributor.Subscribe(start, "a-3", once, h.state(start))
	h.applyTargets(start, discovery.Update{From: 10, Revision: 11, Present: []pimentospread.Registration{registration(2, 1)}})
	var recipients []pimentospread.HostID
	for _, out := range h.distributor.Publish(start, h.state(start)) {
		recipients = append(recipients, out.To)
	}
	if diff := cmp.Diff([]pimentospread.HostID{"a-3"}, recipients); diff != "" {
		t.Errorf("hosts that got changes (-want +got): %s", diff)
	}
	if n := len(h.distributor.Subscribers()); n != 2 {
		t.Errorf("%d hosts are kept, want 2, so that the answer arrives", n)
	}
}

// Guards against subscriptions that never expire, and against any number of them.
func TestSubscriptionsEnd(t *testing.T) {
	h := newTestHost()
	m := &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	for i := range 600 {
		h.distributor.Subscribe(start, pimentospread.HostID(fmt.Sprint(i)), m, h.state(start))
	}
	if n := len(h.distributor.Subscribers()); n != 512 {
		t.Errorf("%d subscribers, want at most 512", n)
	}
	h.distributor.Subscribe(start, "7", &dissemination.Subscribe{Leaves: true}, h.state(start))
	if n := len(h.distributor.Publish(start, h.state(start))); n != 511 {
		t.Errorf("messages for %d subscribers, want 511 after one left", n)
	}
	h.distributor.Publish(start.Add(4*time.Second), h.state(start))
	if n := len(h.distributor.Subscribers()); n != 0 {
		t.Errorf("%d subscribers after their lease, want none", n)
	}
}
