package tokenfront

import (
	"fmt"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/dissemination"
)

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

// Guards against hosts that miss changes because the messages of the host above them, or
// their own to it, are lost one way, while both run and reach all others.
func TestFleetWithOneWayCuts(t *testing.T) {
	const bound = 3 * time.Second // the shortest bound of the users for drains and configurations
	for _, size := range fleetSizes {
		for _, down := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d hosts, down the tree %t", size.hosts, down), func(t *testing.T) {
				f := newFleet(t, size.hosts, size.domains, 20)
				f.startAll()
				f.run(5 * time.Second)
				tree := dissemination.NewTree(f.peers, fanOut)
				// The first host and a relay lose the messages to, or of, half of their followers.
				lost := map[[2]pimentospread.HostID]bool{}
				for _, id := range tree.Ranked()[:2] {
					followers := tree.Followers(id)
					for _, follower := range followers[:(len(followers)+1)/2] {
						lost[[2]pimentospread.HostID{id, follower}] = down
						lost[[2]pimentospread.HostID{follower, id}] = !down
					}
				}
				f.cut = func(from, to pimentospread.HostID) bool { return lost[[2]pimentospread.HostID{from, to}] }
				for i := range 5 {
					f.change()
					if took := f.settle(10 * time.Second); took > bound {
						t.Errorf("change %d takes %s to all hosts, want at most %s", i, took, bound)
					}
					f.run(2 * time.Second)
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
// the few seeds of all of them being loaded with the lists of all.
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
