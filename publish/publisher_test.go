package publish_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/policy"
	"pimentospread/pool"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/service"
)

// fakePlatform stores objects in memory. outcome, when set, selects for each Put
// whether its answer is lost before or after the write.
type fakePlatform struct {
	objects map[pimentospread.ObjectKey]pimentospread.Object
	outcome func(key pimentospread.ObjectKey) answerOutcome
	// beforePut runs once, before the next Put of a release, to simulate a concurrent publisher.
	beforePut func()
}

type answerOutcome int

const (
	answered answerOutcome = iota
	answerLostBeforeWrite
	answerLostAfterWrite
)

func (f *fakePlatform) Get(_ context.Context, key pimentospread.ObjectKey) (pimentospread.Object, error) {
	o, ok := f.objects[key]
	if !ok {
		return o, pimentospread.ErrNotFound.New("no object")
	}
	return o, nil
}

func (f *fakePlatform) Put(_ context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	if f.beforePut != nil && key.Kind == pimentospread.KindRelease {
		publishConcurrently := f.beforePut
		f.beforePut = nil
		publishConcurrently()
	}
	lost := answered
	if f.outcome != nil {
		lost = f.outcome(key)
	}
	if lost == answerLostBeforeWrite {
		return 0, pimentospread.ErrUncertain.New("answer lost")
	}
	if f.objects[key].Version != expected {
		return 0, pimentospread.ErrConflict.New("version %d", f.objects[key].Version)
	}
	f.objects[key] = pimentospread.Object{ObjectKey: key, Version: expected + 1, Value: value}
	if lost == answerLostAfterWrite {
		return 0, pimentospread.ErrUncertain.New("answer lost")
	}
	return expected + 1, nil
}

func (f *fakePlatform) Watch(context.Context, pimentospread.ObjectKey, pimentospread.ObjectVersion) (pimentospread.Object, error) {
	return pimentospread.Object{}, pimentospread.ErrTimeout.New("not used")
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1000, 0) }

func newPublisher(f pimentospread.Platform) *publish.Publisher {
	return newPublisherOfHost(f, publish.InForce{})
}

// newPublisherOfHost returns a publisher on a host with the given releases in force.
func newPublisherOfHost(f pimentospread.Platform, inForce publish.InForce) *publish.Publisher {
	n := 0
	return publish.New(publish.Deps{
		Platform: f, Clock: fixedClock{}, Cell: "trust", NewSeed: func() uint64 { return 7 },
		InForce: func(context.Context) (publish.InForce, error) { return inForce, nil },
		NewID:   func() pimentospread.PublishID { n++; return pimentospread.PublishID(fmt.Sprintf("%p-%d", &n, n)) },
	})
}

func newPlatform() *fakePlatform {
	return &fakePlatform{objects: map[pimentospread.ObjectKey]pimentospread.Object{}}
}

func publishSet(p *publish.Publisher, by string) (*release.Release, error) {
	set := validSet()
	return p.Publish(context.Background(), publish.Change{Objects: &set, Publisher: by})
}

// TestPublishWithLostAnswers guards against reporting the wrong outcome to an
// operator when the platform's answer is lost, and against publishing a release twice.
func TestPublishWithLostAnswers(t *testing.T) {
	tests := map[string][]answerOutcome{
		"lost before the write": {answerLostBeforeWrite, answered},
		"lost after the write":  {answerLostAfterWrite},
		"lost several times":    {answerLostBeforeWrite, answerLostBeforeWrite, answerLostAfterWrite},
	}
	for name, losses := range tests {
		t.Run(name, func(t *testing.T) {
			f := newPlatform()
			f.outcome = func(pimentospread.ObjectKey) answerOutcome {
				if len(losses) == 0 {
					return answered
				}
				next := losses[0]
				losses = losses[1:]
				return next
			}
			r, err := publishSet(newPublisher(f), "one")
			if err != nil {
				t.Fatal(err)
			}
			current, version, err := newPublisher(f).Current(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(r.PublishID, current.PublishID); diff != "" || version != 1 {
				t.Errorf("version %d, want 1: %s", version, diff)
			}
		})
	}
}

// TestPublishLosesRace guards against a race in which both publishers succeed, and
// against a conflict error that does not name the successful publisher.
func TestPublishLosesRace(t *testing.T) {
	f := newPlatform()
	if _, err := publishSet(newPublisher(f), "first"); err != nil {
		t.Fatal(err)
	}
	f.beforePut = func() {
		if _, err := publishSet(newPublisher(f), "rival"); err != nil {
			t.Error(err)
		}
	}
	_, err := publishSet(newPublisher(f), "loser")
	if !errorx.IsOfType(err, pimentospread.ErrConflict) {
		t.Fatalf("error %v, want type ErrConflict", err)
	}
	if want := `generation 2 by "rival" is in force`; !containsText(err, want) {
		t.Errorf("error %q does not name the successful publisher", err)
	}
}

// TestPublishAcceptedThenReplaced guards against reporting a conflict to a publisher
// whose update took effect and was replaced by a later one before the outcome was read.
func TestPublishAcceptedThenReplaced(t *testing.T) {
	f := newPlatform()
	losses := 1
	f.outcome = func(key pimentospread.ObjectKey) answerOutcome {
		if key.Kind != pimentospread.KindRelease || losses == 0 {
			return answered
		}
		losses--
		return answerLostAfterWrite
	}
	p := newPublisher(&raceAfterLoss{fakePlatform: f, t: t})
	r, err := publishSet(p, "one")
	if err != nil || r.Generation != 1 {
		t.Fatalf("release %v, error %v; want generation 1 accepted", r, err)
	}
}

// TestPublishWhileTheReleaseIsRemoved guards against a crash of the publisher, and against
// a reported outcome that is a guess, when the release is removed after a lost answer.
func TestPublishWhileTheReleaseIsRemoved(t *testing.T) {
	f := newPlatform()
	p := newPublisher(f)
	if _, err := publishSet(p, "one"); err != nil {
		t.Fatal(err)
	}
	f.outcome = func(key pimentospread.ObjectKey) answerOutcome {
		if key.Kind != pimentospread.KindRelease {
			return answered
		}
		delete(f.objects, key)
		return answerLostBeforeWrite
	}
	if _, err := publishSet(p, "two"); !errorx.IsOfType(err, pimentospread.ErrUncertain) {
		t.Errorf("error %v, want uncertain", err)
	}
}

// raceAfterLoss publishes another release right after the first lost answer, before the outcome is read.
type raceAfterLoss struct {
	*fakePlatform
	t          *testing.T
	answerLost bool
}

func (r *raceAfterLoss) Put(ctx context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	v, err := r.fakePlatform.Put(ctx, key, value, expected)
	if errorx.IsOfType(err, pimentospread.ErrUncertain) && !r.answerLost {
		r.answerLost = true
		if _, err := publishSet(newPublisher(r.fakePlatform), "rival"); err != nil {
			r.t.Error(err)
		}
	}
	return v, err
}

// TestRollbackPublishesOldContentAnew guards against a rollback that lowers the
// generation or restores the old state under the old IDs.
func TestRollbackPublishesOldContentAnew(t *testing.T) {
	f := newPlatform()
	p := newPublisher(f)
	ctx := context.Background()
	if _, err := publishSet(p, "one"); err != nil {
		t.Fatal(err)
	}
	drain := publish.Change{Target: &publish.TargetChange{Pool: "auction-desk", Target: "b", State: "Draining"}}
	if _, err := p.Publish(ctx, drain); err != nil {
		t.Fatal(err)
	}
	r, err := p.Publish(ctx, publish.Change{Rollback: 1})
	if err != nil {
		t.Fatal(err)
	}
	b, _ := r.Set.TargetPools[0].ByName("b")
	if r.Generation != 3 || b.State != "Active" {
		t.Errorf("generation %d with target b %s, want generation 3 with b active", r.Generation, b.State)
	}
	if _, err := p.Publish(ctx, publish.Change{Rollback: 9}); !errorx.IsOfType(err, pimentospread.ErrNotFound) {
		t.Errorf("rollback to unknown generation: error %v, want type ErrNotFound", err)
	}
}

func containsText(err error, text string) bool {
	var e *errorx.Error
	return errors.As(err, &e) && strings.Contains(e.Error(), text)
}

func validSet() release.Set {
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	var targets []pool.Target
	for i, name := range []pimentospread.TargetName{"a", "b"} {
		port := uint16(1 + 3*i)
		targets = append(targets, pool.Target{
			Name: name, FlowAddress: address(port), RequestAddress: address(port + 1), HealthAddress: address(port + 2),
			Slots: 2, Connections: 2000,
		})
	}
	return release.Set{
		Services: []service.Service{{
			Name: "auction-desk", Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.10:443")},
			Pool: "auction-desk", Policy: "trust",
		}},
		TargetPools: []pool.Pool{{Name: "auction-desk", Targets: targets}},
		Policies: []policy.Policy{{Name: "trust", Classes: []policy.Class{{
			Name: "bid", QueueLength: 10, MaxWait: pimentospread.Duration{Duration: time.Second}, Objective: 0.99,
		}}}},
	}
}
