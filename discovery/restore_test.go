package discovery_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/discovery"
)

// store is the platform's store, to which the targets of a test write.
type store struct {
	entries map[pimentospread.RegistrationName]pimentospread.Registration
	// writtenAt holds the revision of the last write or removal of each entry.
	writtenAt map[pimentospread.RegistrationName]uint64
	era       pimentospread.Era
	revision  uint64
}

func (s *store) copy() store {
	return store{maps.Clone(s.entries), maps.Clone(s.writtenAt), s.era, s.revision}
}

func (s *store) write(r pimentospread.Registration) {
	s.revision++
	s.entries[r.Name], s.writtenAt[r.Name] = r, s.revision
}

func (s *store) remove(name pimentospread.RegistrationName) {
	s.revision++
	delete(s.entries, name)
	s.writtenAt[name] = s.revision
}

func (s *store) version() pimentospread.ObjectVersion {
	return pimentospread.NewObjectVersion(s.era, s.revision)
}

// updateSince returns what a watch from the version returns, or a list if it is of another era.
func (s *store) updateSince(from pimentospread.ObjectVersion) discovery.Update {
	full := from == 0 || from.Era() != s.era
	u := discovery.Update{Full: full, From: from, Revision: s.version(), Watched: !full}
	for _, name := range slices.Sorted(maps.Keys(s.writtenAt)) {
		r, present := s.entries[name]
		switch {
		case !full && s.writtenAt[name] <= from.Revision():
		case present:
			u.Present = append(u.Present, r)
		case !full:
			u.Removed = append(u.Removed, name)
		}
	}
	return u
}

// states returns the names of the targets that are not departed, with a mark if they drain.
func states(d *discovery.Directory) []string {
	var list []string
	for _, target := range d.Targets() {
		if !target.Departed {
			list = append(list, fmt.Sprintf("%s draining=%t", target.Registration.Name, target.Registration.Draining))
		}
	}
	return list
}

// Guards against a target that is ready again although it was draining or gone before the
// store was restored and has not written since, and against a host that does not have what
// the store lists once all have written again, however often it was restored.
func TestDirectoryFollowsARestoredStore(t *testing.T) {
	const grace = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := &store{entries: map[pimentospread.RegistrationName]pimentospread.Registration{}, writtenAt: map[pimentospread.RegistrationName]uint64{}, era: 1}
		d := discovery.New(discovery.Config{DepartedRetention: time.Minute, ReturnGrace: grace})
		copies := []store{s.copy()}
		// left holds the targets that have drained or deregistered, which is final, and known
		// those of them that the directory has as draining or departed.
		left, known := map[pimentospread.RegistrationName]bool{}, map[pimentospread.RegistrationName]bool{}
		// noticedAt is when the host has read the restored store.
		now, noticedAt := start, start.Add(-time.Hour)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond)
			name := rapid.SampledFrom([]pimentospread.RegistrationName{"a", "b", "c"}).Draw(t, "name")
			switch rapid.SampledFrom([]string{"ready", "drain", "remove", "copy", "restore", "read"}).Draw(t, "step") {
			case "ready":
				if _, listed := s.entries[name]; !listed && !left[name] {
					s.write(registration(string(name)))
				}
			case "drain":
				if _, listed := s.entries[name]; listed {
					s.write(draining(string(name)))
					left[name] = true
				}
			case "remove":
				s.remove(name)
				left[name] = true
			case "copy":
				copies = append(copies, s.copy())
			case "restore":
				era := s.era + 1
				*s = copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")].copy()
				s.era = era
			case "read":
				if s.era > d.Revision().Era() {
					noticedAt = now
				}
				d.Apply(now, s.updateSince(d.Revision()))
			}
			d.Tick(now, now)
			ready := map[pimentospread.RegistrationName]bool{}
			for _, target := range d.Targets() {
				ready[target.Registration.Name] = !target.Departed && !target.Registration.Draining
			}
			for name := range left {
				if ready[name] && known[name] && now.Sub(noticedAt) < 2*grace {
					t.Fatalf("target %s is ready %s after the restore, although it had left before", name, now.Sub(noticedAt))
				}
				isReady, listed := ready[name]
				known[name] = listed && !isReady
			}
		}
		for _, name := range []pimentospread.RegistrationName{"a", "b", "c"} {
			if left[name] {
				s.remove(name)
			}
		}
		d.Apply(now, s.updateSince(d.Revision()))
		d.Tick(now.Add(2*grace+1), now.Add(2*grace+1))
		var want []string
		for _, name := range slices.SortedFunc(maps.Keys(s.entries), func(a, b pimentospread.RegistrationName) int { return strings.Compare(string(a), string(b)) }) {
			want = append(want, fmt.Sprintf("%s draining=%t", name, s.entries[name].Draining))
		}
		if diff := cmp.Diff(want, states(d)); diff != "" {
			t.Fatalf("targets once all have written again (-want +got):\n%s", diff)
		}
	})
}
