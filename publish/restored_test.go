package publish_test

import (
	"context"
	"maps"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/publish"
	"pimentospread/release"
)

// restore replaces the objects by a copy and gives them the era after it.
func (f *fakePlatform) restore(older map[pimentospread.ObjectKey]pimentospread.Object) {
	f.objects = maps.Clone(older)
	for key, o := range f.objects {
		o.Version = pimentospread.NewObjectVersion(o.Version.Era()+1, o.Version.Revision())
		f.objects[key] = o
	}
}

// publishDrain publishes the drain of a target.
func publishDrain(p *publish.Publisher, target pimentospread.TargetName) (*release.Release, error) {
	return p.Publish(context.Background(), publish.Change{Target: &publish.TargetChange{Pool: "auction-desk", Target: target, State: "Draining"}})
}

// Guards against a release that follows an older one because the platform was restored from
// a copy without the newest. It had the generation of a release that hosts had in force, so
// it was accepted and never came into force.
func TestPublishAfterThePlatformLostARelease(t *testing.T) {
	f := newPlatform()
	p := newPublisher(f)
	first, err := publishSet(p, "one")
	if err != nil {
		t.Fatal(err)
	}
	older := maps.Clone(f.objects)
	lost, err := publishDrain(p, "a")
	if err != nil {
		t.Fatal(err)
	}
	for name, losses := range map[string]int{"answered": 0, "answer lost": 1} {
		t.Run(name, func(t *testing.T) {
			f.restore(older)
			f.outcome = func(pimentospread.ObjectKey) answerOutcome {
				if losses == 0 {
					return answered
				}
				losses--
				return answerLostAfterWrite
			}
			r, err := publishDrain(newPublisherOfHost(f, publish.InForce{Release: lost, Newest: lost.Generation}), "b")
			if err != nil {
				t.Fatal(err)
			}
			a, _ := r.Set.TargetPools[0].ByName("a")
			b, _ := r.Set.TargetPools[0].ByName("b")
			if r.Generation != lost.Generation+1 || a.State != "Draining" || b.State != "Draining" {
				t.Errorf("generation %d with targets %s and %s, want generation %d with both draining", r.Generation, a.State, b.State, lost.Generation+1)
			}
			for _, earlier := range []*release.Release{first, lost} {
				archived, err := newPublisher(f).Publish(context.Background(), publish.Change{Rollback: earlier.Generation})
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(earlier.SourceSet(), archived.SourceSet(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
					t.Errorf("rollback to generation %d (-want +got):\n%s", earlier.Generation, diff)
				}
			}
		})
	}
}

// Guards against a host that publishes after a release which is older than the one that its
// peers have in force, while the platform has not got that one back.
func TestPublishOnAHostThatIsBehind(t *testing.T) {
	f := newPlatform()
	first, err := publishSet(newPublisher(f), "one")
	if err != nil {
		t.Fatal(err)
	}
	before := maps.Clone(f.objects)
	_, err = publishDrain(newPublisherOfHost(f, publish.InForce{Release: first, Newest: first.Generation + 1}), "a")
	if !errorx.IsOfType(err, pimentospread.ErrUnavailable) {
		t.Errorf("error %v, want unavailable", err)
	}
	if diff := cmp.Diff(before, f.objects); diff != "" {
		t.Errorf("objects of the platform changed (-before +after):\n%s", diff)
	}
}

// Guards against telling an operator that a change lost a race and did not happen, after its
// answer was lost and the platform was restored: hosts may have it in force.
func TestLostAnswerBeforeARestoreIsUncertain(t *testing.T) {
	f := newPlatform()
	p := newPublisher(f)
	if _, err := publishSet(p, "one"); err != nil {
		t.Fatal(err)
	}
	older := maps.Clone(f.objects)
	f.outcome = func(key pimentospread.ObjectKey) answerOutcome {
		if key.Kind != pimentospread.KindRelease {
			return answered
		}
		f.restore(older)
		return answerLostBeforeWrite
	}
	if _, err := publishDrain(p, "a"); !errorx.IsOfType(err, pimentospread.ErrUncertain) {
		t.Errorf("error %v, want uncertain", err)
	}
	// A conflict without a lost answer is certain.
	f.outcome = nil
	f.beforePut = func() { f.restore(f.objects) }
	if _, err := publishDrain(p, "a"); !errorx.IsOfType(err, pimentospread.ErrConflict) {
		t.Errorf("error %v, want a conflict", err)
	}
}

// Guards against a rollback to what was published under a generation before the platform
// was restored: its archive was written late, and the release that came after the restore
// was not archived under the same generation.
func TestArchiveOfALostGenerationIsReplaced(t *testing.T) {
	f := newPlatform()
	p := newPublisher(f)
	if _, err := publishSet(p, "one"); err != nil {
		t.Fatal(err)
	}
	older := maps.Clone(f.objects)
	for _, target := range []pimentospread.TargetName{"a", "b"} {
		if _, err := publishDrain(p, target); err != nil {
			t.Fatal(err)
		}
	}
	late := f.objects[release.ArchiveKey("trust", 2)]
	f.restore(older)
	f.objects[late.ObjectKey] = late
	// No host has what was lost.
	second, err := publishDrain(newPublisher(f), "b")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := publishDrain(newPublisher(f), "a"); err != nil {
		t.Fatal(err)
	}
	back, err := newPublisher(f).Publish(context.Background(), publish.Change{Rollback: second.Generation})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(second.SourceSet(), back.SourceSet(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("rollback to generation %d (-want +got):\n%s", second.Generation, diff)
	}
}
