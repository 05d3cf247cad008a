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

func warming(left time.Duration) pimentospread.Registration {
	r := registration("a")
	r.Warmup = left
	return r
}

func reborn(name string) pimentospread.Registration {
	r := registration(name)
	r.Born = 6
	return r
}

type step struct {
	at       time.Duration
	returned bool
	update   discovery.Update
	// changes are what the directory reports, as "name what".
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

// Guards against steps back to an older list, against changes that are applied
// over a gap, and against targets that are given up because the platform was away.
func TestApply(t *testing.T) {
	tests := map[string][]step{
		"list and changes": {
			{update: full(1, registration("a"), registration("b")), changes: []string{"a added", "b added"}},
			{update: delta(1, 2, "b", draining("a")), changes: []string{"a draining", "b gone"}},
			{update: delta(2, 3, "", registration("a")), changes: []string{"a ready"}},
		},
		"a list repeats what is known": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{update: full(1, registration("a"))},
		},
		"reports of a warm-up that goes on": {
			{update: full(1, warming(3*time.Second)), changes: []string{"a added"}},
			{at: time.Second, update: delta(1, 2, "", warming(2*time.Second))},
			{at: 2 * time.Second, update: delta(2, 3, "", warming(1*time.Second))},
			{at: 3 * time.Second, update: delta(3, 4, "", registration("a"))},
			{at: 4 * time.Second, update: delta(4, 5, "", warming(3*time.Second)), changes: []string{"a changed"}},
		},
		"an older list": {
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
		"changes that overlap with what is known": {
			{update: full(5, registration("a")), changes: []string{"a added"}},
			{update: delta(3, 7, "a"), changes: []string{"a gone"}},
		},
		"a target starts again under its name": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{update: delta(1, 2, "", reborn("a")), changes: []string{"a restarted"}},
		},
		"an entry lapsed while the platform was away, and is back": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a missing"}},
			{at: 2 * time.Second, update: delta(2, 3, "", registration("a")), changes: []string{"a returned"}},
			{at: 9 * time.Second, update: delta(3, 3, "")},
		},
		"an entry lapsed while the platform was away, and stays away": {
			{update: full(1, registration("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a missing"}},
			{at: 3 * time.Second, update: delta(2, 3, "")},
			{at: 3500 * time.Millisecond, update: delta(3, 3, ""), changes: []string{"a gone"}},
		},
		"a draining target that is gone after the platform was away": {
			{update: full(1, draining("a")), changes: []string{"a added"}},
			{at: time.Second, returned: true, update: full(2), changes: []string{"a gone"}},
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
				for _, c := range append(d.Tick(now), d.Apply(now, s.update)...) {
					got = append(got, string(c.Registration.Name)+" "+string(c.Kind))
				}
				if diff := cmp.Diff(s.changes, got); diff != "" {
					t.Errorf("step %d: %s", i, diff)
				}
			}
		})
	}
}

// Guards against flows that lose their target with its registration, and
// against memory that grows with every target that ever existed.
func TestDepartedTargetsStayKnown(t *testing.T) {
	d := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second})
	d.Apply(start, full(1, registration("a")))
	d.Apply(start, full(2))
	if got := d.Targets(); len(got) != 1 || !got[0].Departed || got[0].Token != registration("a").Token() {
		t.Errorf("targets %+v, want the departed one", got)
	}
	if next := d.NextTick(); !next.Equal(start.Add(time.Minute)) {
		t.Errorf("next tick at %s", next)
	}
	d.Tick(start.Add(time.Minute + 1))
	if got := d.Targets(); len(got) != 0 {
		t.Errorf("targets %+v, want none", got)
	}
}

// Guards against a host that starts with less than the one it hears from has.
func TestSnapshotLeadsToTheSameTargets(t *testing.T) {
	d := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second})
	d.Apply(start, full(3, registration("a"), draining("b")))
	other := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: time.Second})
	other.Apply(start, d.Snapshot())
	if diff := cmp.Diff(d.Targets(), other.Targets(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || other.Revision() != 3 {
		t.Errorf("revision %d: %s", other.Revision(), diff)
	}
}
