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

// book is what a host knows, and its relay.
type book struct {
	directory *discovery.Directory
	table     *routing.Table
	relay     *dissemination.Relay
	peers     dissemination.Peers
	// targets and hosts say from whom the targets and the hosts were heard.
	targets, hosts dissemination.SourceTracker
}

func newBook() *book {
	return &book{
		directory: discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second}),
		table:     routing.New(),
		relay:     dissemination.NewRelay(dissemination.RelayConfig{Lease: 3 * time.Second}),
	}
}

func (b *book) apply(now time.Time, u discovery.Update) {
	before := b.directory.Digest()
	b.relay.RecordTargets(before, b.directory.Apply(now, u))
}

// subscription is what the host asks of its source.
func (b *book) subscription() *dissemination.Subscribe {
	return &dissemination.Subscribe{
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Position: b.position(),
		TargetsDigest: b.directory.Digest(), PeersDigest: b.peers.Digest(),
	}
}

func (b *book) configure(c pimentospread.Configuration) {
	if b.table.Put(c) {
		b.relay.RecordConfiguration(c)
	}
}

func (b *book) state(confirmed time.Time) dissemination.State {
	return dissemination.State{Directory: b.directory, Table: b.table, Peers: &b.peers, Confirmed: confirmed}
}

func (b *book) position() dissemination.Position {
	return dissemination.Position{Targets: b.directory.Revision(), Configuration: b.table.Version(), Peers: b.peers.Revision()}
}

// hear takes news as they arrive over the wire.
func (b *book) hear(t *rapid.T, now time.Time, m pimentospread.Message) {
	data, err := peer.Encode("a-1", 1, m)
	if err != nil {
		t.Fatal(err)
	}
	in, _, err := peer.Registry(dissemination.Constructors()).Decode(data[4:])
	if err != nil {
		t.Fatal(err)
	}
	news := in.Message.(*dissemination.News)
	b.directory.ExtendGrace(now, news.Grace)
	for _, u := range news.Updates {
		if b.targets.Accept("a-1", u.Full, u.From, b.directory.Revision()) {
			b.apply(now, u)
		}
	}
	if news.Routes != nil {
		if c, ok := news.Routes.Apply(b.table.Configuration()); ok {
			b.configure(c)
		}
	}
}

func registration(i, born int) pimentospread.Registration {
	return pimentospread.Registration{
		Name: pimentospread.RegistrationName(fmt.Sprintf("i-%d", i)), Instance: pimentospread.InstanceID(i), Born: pimentospread.UnixMilli(born),
		Service: "desk", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i)), FailureDomain: "a", Slots: 2,
	}
}

// Guards against subscribers that end with other targets or routes than the
// host they hear from, whatever news were lost, and that ever go back.
func TestSubscriberFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := newBook(), newBook()
		now := start
		var revision pimentospread.ObjectVersion
		var version pimentospread.ConfigurationVersion
		ask := func() {
			for _, out := range from.relay.Subscribe(now, "a-2", to.subscription(), from.state(now)) {
				to.hear(t, now, out.Message)
			}
		}
		ask()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			before := to.position()
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				revision += pimentospread.ObjectVersion(rapid.IntRange(1, 3).Draw(t, "revisions"))
				u := discovery.Update{From: from.directory.Revision(), Revision: revision, Full: rapid.Bool().Draw(t, "full") || from.directory.Revision() == 0}
				for i := range 4 {
					if rapid.Bool().Draw(t, "present") {
						u.Present = append(u.Present, registration(i, rapid.IntRange(1, 2).Draw(t, "born")))
					} else if rapid.Bool().Draw(t, "removed") {
						u.Removed = append(u.Removed, registration(i, 1).Name)
					}
				}
				from.apply(now, u)
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
				from.configure(c)
			case 2:
				for _, out := range from.relay.Publish(now, from.state(now)) {
					if rapid.Bool().Draw(t, "delivered") {
						to.hear(t, now, out.Message)
					}
				}
			case 3:
				from.directory.Tick(now)
				to.directory.Tick(now)
			case 4:
				ask()
			}
			if after := to.position(); after.Targets < before.Targets || after.Configuration < before.Configuration {
				t.Fatalf("the subscriber went back from %+v to %+v", before, after)
			}
		}
		ask()
		options := cmp.Options{cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty(), cmpopts.SortSlices(func(a, b pimentospread.Route) bool { return a.Name < b.Name })}
		if diff := cmp.Diff(from.directory.Snapshot(), to.directory.Snapshot(), options); diff != "" {
			t.Fatalf("targets: %s", diff)
		}
		if diff := cmp.Diff(from.table.Configuration(), to.table.Configuration(), options); diff != "" {
			t.Fatalf("configuration: %s", diff)
		}
	})
}

// Guards against a follower that reads the platform now and then, at revisions at
// which its source never stood, and keeps a target that came and went between
// two revisions of the source.
func TestFollowerThatListsByItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := newBook(), newBook()
		// The platform's present entries, and the revision of the last change of each name.
		present := map[int]int{}
		touched := map[int]pimentospread.ObjectVersion{}
		revision := pimentospread.ObjectVersion(1)
		list := func() discovery.Update {
			u := discovery.Update{Full: true, Revision: revision}
			for i := range 5 {
				if born, ok := present[i]; ok {
					u.Present = append(u.Present, registration(i, born))
				}
			}
			return u
		}
		watch := func(from pimentospread.ObjectVersion) discovery.Update {
			u := discovery.Update{From: from, Revision: revision}
			for i := range 5 {
				born, ok := present[i]
				switch {
				case touched[i] <= from:
				case ok:
					u.Present = append(u.Present, registration(i, born))
				default:
					u.Removed = append(u.Removed, registration(i, 1).Name)
				}
			}
			return u
		}
		read := func(b *book) {
			if held := b.directory.Revision(); held > 0 && rapid.Bool().Draw(t, "watch") {
				b.apply(start, watch(held))
			} else {
				b.apply(start, list())
			}
			b.targets.ReadPlatform(b.directory.Revision())
		}
		hear := func(out []pimentospread.Outbound, delivered bool) {
			for _, o := range out {
				if delivered {
					follower.hear(t, start, o.Message)
				}
			}
		}
		// Every host holds what the platform held at the host's revision.
		history := map[pimentospread.ObjectVersion]discovery.Update{revision: list()}
		options := cmp.Options{cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()}
		check := func(what string, b *book) {
			if held := b.directory.Revision(); held > 0 {
				if diff := cmp.Diff(history[held], b.directory.Snapshot(), options); diff != "" {
					t.Fatalf("targets of the %s at revision %d: %s", what, held, diff)
				}
			}
		}
		read(source)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				revision++
				i := rapid.IntRange(0, 4).Draw(t, "target")
				touched[i] = revision
				if _, ok := present[i]; ok && rapid.Bool().Draw(t, "removed") {
					delete(present, i)
				} else {
					present[i] = rapid.IntRange(1, 2).Draw(t, "born")
				}
				history[revision] = list()
			case 2:
				read(source)
			case 3:
				read(follower)
			case 4:
				out := source.relay.Publish(start, source.state(start))
				if rapid.Bool().Draw(t, "asks") {
					out = source.relay.Subscribe(start, "a-2", follower.subscription(), source.state(start))
				}
				hear(out, rapid.Bool().Draw(t, "delivered"))
			}
			check("source", source)
			check("follower", follower)
		}
		revision++
		history[revision] = list()
		read(source)
		hear(source.relay.Subscribe(start, "a-2", follower.subscription(), source.state(start)), true)
		check("follower", follower)
		if got := follower.directory.Revision(); got != revision {
			t.Fatalf("the follower is at revision %d, want %d", got, revision)
		}
	})
}

// Guards against a change that costs a subscriber the whole list.
func TestChangesAreSentAlone(t *testing.T) {
	b := newBook()
	var all []pimentospread.Registration
	for i := range 100 {
		all = append(all, registration(i, 1))
	}
	b.apply(start, discovery.Update{Full: true, Revision: 10, Present: all})
	address := netip.MustParseAddrPort("127.0.0.1:1")
	b.relay.Subscribe(start, "a-2", &dissemination.Subscribe{Address: address}, b.state(start))
	b.apply(start, discovery.Update{From: 10, Revision: 11, Present: []pimentospread.Registration{registration(3, 2)}})
	b.apply(start, discovery.Update{Full: true, Revision: 12, Present: append(all[:3:3], append([]pimentospread.Registration{registration(3, 2)}, all[4:]...)...)})
	out := b.relay.Publish(start, b.state(start))
	news := out[0].Message.(*dissemination.News)
	if len(news.Updates) != 1 || news.Updates[0].Full || len(news.Updates[0].Present) != 1 || news.Updates[0].Revision != 12 {
		t.Errorf("updates %+v, want the one change up to revision 12", news.Updates)
	}
	if again := b.relay.Publish(start, b.state(start))[0].Message.(*dissemination.News); len(again.Updates) != 0 {
		t.Errorf("%d updates are sent twice", len(again.Updates))
	}
}

// Guards against a follower that lists the targets just before its source does,
// and keeps a target that was removed between the two lists.
func TestTargetGoneBeforeTheFirstListOfTheSource(t *testing.T) {
	source, follower := newBook(), newBook()
	kept := []pimentospread.Registration{registration(1, 1)}
	follower.apply(start, discovery.Update{Full: true, Revision: 10, Present: append(kept, registration(2, 1))})
	source.apply(start, discovery.Update{Full: true, Revision: 12, Present: kept})
	for _, u := range source.relay.Subscribe(start, "a-2", follower.subscription(), source.state(start))[0].Message.(*dissemination.News).Updates {
		follower.apply(start, u)
	}
	if diff := cmp.Diff(source.directory.Snapshot(), follower.directory.Snapshot(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("the follower's targets differ: %s", diff)
	}
}

// Guards against hosts that start together, list the targets at different
// revisions of the platform, and get the whole list once more from their source.
func TestEqualTargetsAreNotSent(t *testing.T) {
	var all []pimentospread.Registration
	for i := range 100 {
		all = append(all, registration(i, 1))
	}
	tests := map[string]struct {
		held []pimentospread.Registration
		sent int
	}{
		"the same targets":              {all, 0},
		"the same in another order":     {append(all[50:100:100], all[:50]...), 0},
		"a target less":                 {all[1:], 100},
		"another start of a target":     {append([]pimentospread.Registration{registration(0, 2)}, all[1:]...), 100},
		"a target that was not removed": {append([]pimentospread.Registration{registration(500, 1)}, all...), 100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			source, follower := newBook(), newBook()
			source.apply(start, discovery.Update{Full: true, Revision: 12, Present: all})
			follower.apply(start, discovery.Update{Full: true, Revision: 10, Present: tc.held})
			news := source.relay.Subscribe(start, "a-2", follower.subscription(), source.state(start))[0].Message.(*dissemination.News)
			sent := 0
			for _, u := range news.Updates {
				sent += len(u.Present)
				follower.apply(start, u)
			}
			if sent != tc.sent {
				t.Errorf("%d targets were sent, want %d", sent, tc.sent)
			}
			if got, want := follower.position(), source.position(); got != want {
				t.Errorf("the follower is at %+v, want %+v", got, want)
			}
			if got, want := follower.directory.Digest(), source.directory.Digest(); got != want {
				t.Errorf("the follower's targets have digest %x, want %x", got, want)
			}
		})
	}
}

// Guards against a seed that sends each change to every host of the system
// because all of them asked it once at their start.
func TestHostThatAsksOnceGetsNoNews(t *testing.T) {
	b := newBook()
	b.apply(start, discovery.Update{Full: true, Revision: 10, Present: []pimentospread.Registration{registration(1, 1)}})
	once := &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:1"), Once: true}
	if news := b.relay.Subscribe(start, "a-2", once, b.state(start)); len(news) != 1 || len(news[0].Message.(*dissemination.News).Updates) != 1 {
		t.Errorf("the answer is %+v, want all targets", news)
	}
	b.relay.Subscribe(start, "a-3", &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:2")}, b.state(start))
	b.relay.Subscribe(start, "a-3", once, b.state(start))
	b.apply(start, discovery.Update{From: 10, Revision: 11, Present: []pimentospread.Registration{registration(2, 1)}})
	var told []pimentospread.HostID
	for _, out := range b.relay.Publish(start, b.state(start)) {
		told = append(told, out.To)
	}
	if diff := cmp.Diff([]pimentospread.HostID{"a-3"}, told); diff != "" {
		t.Errorf("hosts that got news: %s", diff)
	}
	if n := len(b.relay.Subscribers()); n != 2 {
		t.Errorf("%d hosts are linked, want 2, so that the answer arrives", n)
	}
}

// Guards against subscriptions that last for ever, or without a bound.
func TestSubscriptionsEnd(t *testing.T) {
	b := newBook()
	m := &dissemination.Subscribe{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	for i := range 600 {
		b.relay.Subscribe(start, pimentospread.HostID(fmt.Sprint(i)), m, b.state(start))
	}
	if n := len(b.relay.Subscribers()); n != 512 {
		t.Errorf("%d subscribers, want 512 at most", n)
	}
	b.relay.Subscribe(start, "7", &dissemination.Subscribe{Leaves: true}, b.state(start))
	if n := len(b.relay.Publish(start, b.state(start))); n != 511 {
		t.Errorf("news for %d, want 511 after one left", n)
	}
	b.relay.Publish(start.Add(4*time.Second), b.state(start))
	if n := len(b.relay.Subscribers()); n != 0 {
		t.Errorf("%d subscribers after their lease", n)
	}
}
