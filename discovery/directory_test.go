package discovery_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"pimentospread"
	"pimentospread/discovery"
)

var start = time.Unix(1_700_000_000, 0)

func registration(name string) pimentospread.Registration {
	return pimentospread.Registration{Name: pimentospread.RegistrationName(name), Born: 5, Service: "desk", Slots: 2}
}

func draining(name string) pimentospread.Registration {
	r := registration(name)
	r.Draining = true
	return r
}

func warming(remaining time.Duration) pimentospread.Registration {
	r := registration("a")
	r.Warmup = remaining
	return r
}

func restarted(name string) pimentospread.Registration {
	r := registration(name)
	r.Born = 6
	return r
}

func watched(u discovery.Update) discovery.Update {
	u.Watched = true
	return u
}

// restored returns the version of a revision after the store was restored.
func restored(revision uint64) pimentospread.ObjectVersion {
	return pimentospread.NewObjectVersion(1, revision)
}

type step struct {
	at time.Duration
	// returned is set if the platform has come back from an outage before the update.
	returned bool
	update   discovery.Update
	// away is for how long the platform has been away at the time.
	away time.Duration
	// changes are the expected changes, as "name kind".
	changes []string
}

func full(revision pimentospread.ObjectVersion, present ...pimentospread.Registration) discovery.Update {
	return discovery.Update{Full: true, Revision: revision, Present: present}
}

func delta(from, to pimentospread.ObjectVersion, removed string, present ...pimentospread.Registration) discovery.Update {
	u := discovery.Update{From: from, Revision: to, Present: present}
	if removed != "" {
		u.Removed = []pimentospread.RegistrationName{pimentospread.RegistrationName(removed)}
	}
	return u
}

// Guards against going back to an older list, against applying changes over a gap,
// against dropping targets because of a platform outage or of a store that was restored,
// and against new flows to targets that were leaving before the restore.
func TestApply(t *testing.T) {
	tests := map[string][]step{
		"a list and changes to it": {
			{update: full(1, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{update: delta(1, 2, "b", draining("a")), changes: []string{"a draining", "b gone"}},
			{update: delta(2, 3, "", registration("a")), changes: []string{"a ready"}},
		},
		"a list without changes": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{update: full(1, registration("a"))},
		},
		"repeated reports of the remaining warm-up": {
			{update: full(1, warming(3*time.Second)), changes: []string{"a added"}},
			{at: time.Second, update: delta(1, 2, "", warming(2*time.Second))},
			{at: 2 * time.Second, update: delta(2, 3, "", warming(1*time.Second))},
			{at: 3 * time.Second, update: delta(3, 4, "", registration("a"))},
			{at: 4 * time.Second, update: delta(4, 5, "", warming(3*time.Second)), changes: []string{"a changed"}},
		},
		"a list of an older revision": {
			{update: full(5, registration("a")), changes: []string{"a added"}},
			{update: full(4)},
		},
		"changes after a gap": {
			{update: full(5, registration("a")), changes: []string{"a added"}},
			{update: delta(6, 7, "a")},
		},
		"changes before the first list": {
			{update: delta(0, 7, "", registration("a"))},
		},
		"changes that start before the current revision": {
			{update: full(5, registration("a")), changes: []string{"a added"}},
			{update: delta(3, 7, "a"), changes: []string{"a gone"}},
		},
		"a target restarts with the same name": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{update: delta(1, 2, "", restarted("a")), changes: []string{"a restarted"}},
		},
		"an entry expired during a platform outage and returns": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a missing"}},
			{at: 2 * time.Second, update: delta(2, 3, "", registration("a")), changes: []string{"a returned"}},
			{at: 9 * time.Second, update: delta(3, 3, "")},
		},
		"an entry expired during a platform outage and does not return": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a missing"}},
			{at: 3 * time.Second, update: delta(2, 3, "")},
			{at: 3500 * time.Millisecond, update: delta(3, 3, ""), changes: []string{"a gone"}},
		},
		"the platform is away again before the end of the grace period": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a missing"}},
			{at: 4 * time.Second, away: 2 * time.Second, update: delta(2, 2, "")},
			{at: 5 * time.Second, away: 3 * time.Second, update: delta(2, 3, "", registration("a")), changes: []string{"a returned"}},
		},
		"a draining target was removed during a platform outage": {
			{update: full(1, draining("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a gone"}},
		},
		"a restored store lacks a target that registers again": {
			{update: full(9, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: full(restored(3), registration("a")), changes: []string{"b missing"}},
			{at: 2 * time.Second, update: delta(restored(3), restored(4), "", registration("b")), changes: []string{"b returned"}},
			{at: 9 * time.Second, update: delta(restored(4), restored(4), "")},
		},
		"a restored store lacks a target that is gone": {
			{update: full(9, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: full(restored(3), registration("a")), changes: []string{"b missing"}},
			{at: 4 * time.Second, update: delta(restored(3), restored(3), ""), changes: []string{"b gone"}},
		},
		"changes that lead to a restored store": {
			{update: full(9, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: delta(9, restored(3), "b", registration("c")), changes: []string{"c added", "b missing"}},
		},
		"a restored store lists a draining target as ready": {
			{update: full(9, draining("a")), changes: []string{"a added"}},
			{at: time.Second, update: full(restored(3), registration("a")), changes: []string{"a outdated"}},
			{at: 2 * time.Second, update: delta(restored(3), restored(4), "", draining("a"))},
			{at: 3 * time.Second, update: delta(restored(4), restored(5), "a"), changes: []string{"a gone"}},
		},
		"a restored store lists a departed target": {
			{update: full(8, registration("a"), draining("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: delta(8, 9, "b"), changes: []string{"b gone"}},
			{at: 2 * time.Second, update: full(restored(3), registration("a"), registration("b")), changes: []string{"b outdated"}},
			{at: 3 * time.Second, update: delta(restored(3), restored(4), "b")},
		},
		"a departed target that runs registers again": {
			{update: full(8, registration("a")), changes: []string{"a added"}},
			{at: time.Second, update: delta(8, 9, "a"), changes: []string{"a gone"}},
			{at: 2 * time.Second, update: full(restored(3), registration("a")), changes: []string{"a outdated"}},
			{at: 3 * time.Second, update: full(restored(4), registration("a")), changes: []string{"a outdated"}},
			{at: 7 * time.Second, update: delta(restored(4), restored(4), ""), changes: []string{"a added"}},
		},
		"a withheld target is no longer listed": {
			{update: full(8, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: full(9), changes: []string{"a gone", "b gone"}},
			{at: 2 * time.Second, update: full(restored(3), registration("a"), registration("b")), changes: []string{"a outdated", "b outdated"}},
			{at: 3 * time.Second, update: delta(restored(3), restored(4), "a")},
			{at: 4 * time.Second, update: full(restored(5))},
			{at: 8 * time.Second, update: delta(restored(5), restored(5), "")},
		},
		"a target that a restored store lacked registers after the grace period": {
			{update: full(9, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: full(restored(3), registration("a")), changes: []string{"b missing"}},
			{at: 4 * time.Second, update: delta(restored(3), restored(3), ""), changes: []string{"b gone"}},
			{at: 5 * time.Second, update: delta(restored(3), restored(4), "", registration("b")), changes: []string{"b added"}},
		},
		"a departed target that runs registers again while the platform is watched": {
			{update: full(8, registration("a")), changes: []string{"a added"}},
			{at: time.Second, update: delta(8, 9, "a"), changes: []string{"a gone"}},
			{at: 2 * time.Second, update: full(restored(3), registration("a")), changes: []string{"a outdated"}},
			{at: 3 * time.Second, update: watched(delta(restored(3), restored(4), "", registration("a"))), changes: []string{"a added"}},
		},
		"another host passes on what a restored store lists": {
			{update: full(8, registration("a"), draining("b")), changes: []string{"a added", "b added"}},
			{at: time.Second, update: delta(8, 9, "a"), changes: []string{"a gone"}},
			{at: 2 * time.Second, update: delta(9, restored(3), "", registration("a"), registration("b")), changes: []string{"a outdated", "b outdated"}},
		},
		"a restored store has the earlier process of a restarted target": {
			{update: full(8, registration("a")), changes: []string{"a added"}},
			{at: time.Second, update: delta(8, 9, "", restarted("a")), changes: []string{"a restarted"}},
			{at: 2 * time.Second, update: full(restored(3), registration("a")), changes: []string{"a outdated", "a missing"}},
			{at: 3 * time.Second, update: delta(restored(3), restored(4), "", restarted("a")), changes: []string{"a returned"}},
		},
		"a store that reports its era for the first time": {
			{update: full(8, registration("a")), changes: []string{"a added"}},
			{at: time.Second, update: full(pimentospread.NewObjectVersion(1, 8), registration("a"))},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			d := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: 2500 * time.Millisecond})
			for i, s := range steps {
				now := start.Add(s.at)
				if s.returned {
					d.PlatformReturned(now)
				}
				var got []string
				for _, c := range append(d.Tick(now, now.Add(-s.away)), d.Apply(now, s.update)...) {
					got = append(got, string(c.Registration.Name)+" "+string(c.Kind))
				}
				if diff := cmp.Diff(s.changes, got); diff != "" {
					t.Errorf("step %d: changes (-want +got): %s", i, diff)
				}
			}
		})
	}
}

// Guards against flows that lose their target when its registration is removed,
// and against memory that grows with every target that ever existed.
func TestDepartedTargetsStayKnown(t *testing.T) {
	d := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second})
	d.Apply(start, full(1, registration("a")))
	d.Apply(start, full(2))
	if got := d.Targets(); len(got) != 1 || !got[0].Departed || got[0].Token != registration("a").Token() {
		t.Errorf("targets %+v, want the departed one", got)
	}
	if next := d.NextTick(); !next.Equal(start.Add(time.Minute)) {
		t.Errorf("NextTick returned %s, want one minute after the departure", next)
	}
	d.Tick(start.Add(time.Minute+1), start)
	if got := d.Targets(); len(got) != 0 {
		t.Errorf("targets %+v, want none", got)
	}
}

// Guards against a host that starts with other targets than the host it gets them from.
func TestSnapshotResultsInTheSameTargets(t *testing.T) {
	d := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second})
	d.Apply(start, full(3, registration("a"), draining("b")))
	other := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second})
	other.Apply(start, d.Snapshot())
	if diff := cmp.Diff(d.Targets(), other.Targets(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || other.Revision() != 3 {
		t.Errorf("revision %d, want 3; targets (-want +got): %s", other.Revision(), diff)
	}
}
