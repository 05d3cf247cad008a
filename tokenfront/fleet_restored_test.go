package tokenfront

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/dissemination"
)

// fleetCopy is a copy of the platform's state.
type fleetCopy struct {
	configuration pimentospread.Configuration
	targets       map[pimentospread.RegistrationName]pimentospread.Registration
	changedAt     map[pimentospread.RegistrationName]pimentospread.ObjectVersion
	revision      pimentospread.ObjectVersion
}

func (f *fleet) copyState() fleetCopy {
	return fleetCopy{f.configuration, maps.Clone(f.targets), maps.Clone(f.changedAt), f.revision}
}

// restore replaces the platform's state by a copy and begins a new era.
func (f *fleet) restore(c fleetCopy) {
	f.configuration, f.targets, f.changedAt = c.configuration, maps.Clone(c.targets), maps.Clone(c.changedAt)
	f.revision = pimentospread.NewObjectVersion(f.revision.Era()+1, c.revision.Revision())
}

// writeAgain writes what differs in a copy, as operators and targets do after a restore.
func (f *fleet) writeAgain(c fleetCopy) {
	f.configuration = c.configuration
	for name := range f.targets {
		if _, listed := c.targets[name]; !listed {
			f.remove(name)
		}
	}
	for name, r := range c.targets {
		if f.targets[name] != r {
			f.revision++
			f.targets[name], f.changedAt[name] = r, f.revision
		}
	}
}

// usedBy returns the hosts that give the target new flows.
func (f *fleet) usedBy(name pimentospread.RegistrationName) []pimentospread.HostID {
	var hosts []pimentospread.HostID
	for id, h := range f.hosts {
		for _, target := range h.controller.directory.Targets() {
			if h.alive && target.Registration.Name == name && !target.Departed && !target.Registration.Draining {
				hosts = append(hosts, id)
			}
		}
	}
	return hosts
}

// Guards against hosts that miss changes after the platform's store was restored from an
// older copy, however far its revision went back; against a target that is used again
// because the copy has it; against hosts that start after the return and keep older state
// than the others; and against a restore that loads the links between hosts with lists.
func TestFleetFollowsARestoredStore(t *testing.T) {
	const bound = 3 * time.Second // the shortest bound of the users for drains and configurations
	for _, size := range fleetSizes {
		for _, changes := range []int{1, 40} {
			t.Run(fmt.Sprintf("%d hosts, %d changes lost", size.hosts, changes), func(t *testing.T) {
				f := newFleet(t, size.hosts, size.domains, 20)
				f.startAll()
				f.run(5 * time.Second)
				older := f.copyState()
				for range changes {
					f.change()
					f.run(100 * time.Millisecond)
				}
				if took := f.settle(bound); took >= bound {
					t.Fatalf("%d hosts are behind before the restore", f.behind())
				}
				newer := f.copyState()

				f.down = true
				f.run(500 * time.Millisecond)
				f.restore(older)
				f.down = false
				clear(f.sent)
				// Every fifth host starts again before the state is written again, and so does the
				// one that reads the platform.
				reader := dissemination.NewTree(f.peers, fanOut).Ranked()[0]
				started := map[pimentospread.HostID]bool{}
				for i, p := range f.peers {
					if i%5 == 0 || p.Host == reader {
						f.hosts[p.Host].alive = false
						f.start(i)
						started[p.Host] = true
					}
				}
				for range 20 {
					f.run(100 * time.Millisecond)
					for _, id := range f.usedBy("i-0") {
						if !started[id] {
							t.Fatalf("host %s uses a target that was removed before the restore", id)
						}
					}
				}
				for id, h := range f.hosts {
					if got, want := h.controller.table.Version(), newer.configuration.Version; got != want {
						t.Errorf("host %s, started again %t, has configuration %d 2 s after the return, want %d", id, started[id], got, want)
					}
				}
				most := 0
				for _, n := range f.sent {
					most = max(most, n/2)
				}
				if most > 2*controlBytesPerSecond {
					t.Errorf("the busiest host sends %d bytes a second in the 2 s after the restore, want at most %d", most, 2*controlBytesPerSecond)
				}
				f.writeAgain(newer)
				if took := f.settle(10 * time.Second); took > bound {
					t.Errorf("what is written again takes %s to all hosts, want at most %s", took, bound)
				}
				for i := range 3 {
					f.change()
					if took := f.settle(10 * time.Second); took > bound {
						t.Errorf("change %d after the restore takes %s to all hosts, want at most %s", i, took, bound)
					}
				}
				t.Logf("busiest host %d B/s in the 2 s after the restore", most)
			})
		}
	}
}

// BenchmarkRestore reports the bytes a second that the busiest host sends in the 2 s after a
// restore that loses 40 changes, the polls of the platform in that time, and how long what is
// written again takes to all hosts.
func BenchmarkRestore(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{30, 5}, {300, 5}, {3000, 27}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size.hosts, size.domains, 20)
				f.startAll()
				f.run(5 * time.Second)
				older := f.copyState()
				for range 40 {
					f.change()
				}
				f.settle(10 * time.Second)
				newer := f.copyState()
				f.restore(older)
				calls := f.calls
				most, _ := f.busiest(2 * time.Second)
				b.ReportMetric(most, "busiest-B/s")
				b.ReportMetric(float64(f.calls-calls), "polls")
				f.writeAgain(newer)
				b.ReportMetric(float64(f.settle(10*time.Second).Milliseconds()), "again-ms")
			}
		})
	}
}
