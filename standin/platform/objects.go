package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

// storeObject is an object in the users' platform's own form.
type storeObject struct {
	Meta storeMeta       `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type storeMeta struct {
	Name     string                      `json:"name"`
	Revision pimentospread.ObjectVersion `json:"revision"`
}

func inStoreForm(o pimentospread.Object) storeObject {
	return storeObject{Meta: storeMeta{Name: o.Name, Revision: o.Version}, Spec: o.Value}
}

type storePage struct {
	Items      []storeObject               `json:"items"`
	HasMore    bool                        `json:"has_more"`
	CurrentRev pimentospread.ObjectVersion `json:"current_rev"`
}

type storeEvent struct {
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
}

type storeEvents struct {
	Events     []storeEvent                `json:"events"`
	CurrentRev pimentospread.ObjectVersion `json:"current_rev"`
}

// handleStore adds the users' platform's interface to the same objects.
func (h handler) handleStore(m *http.ServeMux) {
	m.HandleFunc("GET /v1/objects/{Kind}/{Name}", h.readObject)
	m.HandleFunc("PUT /v1/objects/{Kind}/{Name}", h.writeObject)
	m.HandleFunc("DELETE /v1/objects/{Kind}/{Name}", h.deleteObject)
	m.HandleFunc("POST /v1/objects/{Kind}", h.writeObject)
	m.HandleFunc("GET /v1/objects/{Kind}", h.listOrWatch)
	m.HandleFunc("POST /admin/compact", h.compact)
}

func (h handler) readObject(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Get }) {
		return
	}
	k := key(r)
	h.answerStore(w, r, func(s *Store) result {
		o, err := s.Get(k)
		return result{object: o, err: err}
	})
}

// writeObject creates on POST and replaces on PUT. Without a revision PUT replaces whatever is there.
func (h handler) writeObject(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Put }) {
		return
	}
	var o storeObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue+4096)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k, create := key(r), r.Method == http.MethodPost
	if create {
		k.Name = o.Meta.Name
	}
	h.change(w, r, func(s *Store) result {
		expected := o.Meta.Revision
		if held, err := s.Get(k); err == nil && !create && expected == 0 {
			expected = held.Version
		}
		written, err := s.Put(k, o.Spec, expected)
		return result{object: written, err: err, lost: err == nil && s.loseAnswer()}
	})
}

func (h handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Put }) {
		return
	}
	k := key(r)
	revision, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("revision"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	h.change(w, r, func(s *Store) result {
		o, err := s.Get(k)
		if err == nil && revision != 0 && o.Version != pimentospread.ObjectVersion(revision) {
			err = pimentospread.At(pimentospread.ErrConflict.New("%s %q has revision %d, not %d", k.Kind, k.Name, o.Version, revision), "delete", "")
		}
		if err == nil {
			err = s.Delete(k)
		}
		return result{object: o, err: err}
	})
}

// change makes a write, or leaves it unanswered and makes it later.
func (h handler) change(w http.ResponseWriter, r *http.Request, write func(*Store) result) {
	if isStandIn(r) {
		h.answerStore(w, r, write)
		return
	}
	delay, err := owner.Ask(r.Context(), h.store, (*Store).delay)
	switch {
	case err != nil:
		fail(w, err)
	case delay > 0:
		time.AfterFunc(delay, func() {
			// Nobody hears the outcome, as with the platform.
			_, _ = owner.Ask(context.WithoutCancel(r.Context()), h.store, write)
		})
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		h.answerStore(w, r, write)
	}
}

func (h handler) answerStore(w http.ResponseWriter, r *http.Request, question func(*Store) result) {
	a, err := owner.Ask(r.Context(), h.store, question)
	switch {
	case err != nil:
		fail(w, err)
	case errorx.IsOfType(a.err, pimentospread.ErrConflict):
		http.Error(w, a.err.Error(), http.StatusConflict)
	case a.err != nil:
		fail(w, a.err)
	case a.lost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		loopback.WriteJSON(w, http.StatusOK, inStoreForm(a.object))
	}
}

func (h handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		h.watchKind(w, r)
		return
	}
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Get }) {
		return
	}
	kind, after := key(r).Kind, r.URL.Query().Get("after")
	page, err := owner.Ask(r.Context(), h.store, func(s *Store) storePage {
		objects, more := s.List(kind, after)
		p := storePage{Items: []storeObject{}, HasMore: more, CurrentRev: s.revision}
		for _, o := range objects {
			p.Items = append(p.Items, inStoreForm(o))
		}
		return p
	})
	if err != nil {
		fail(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, page)
}

// state is what a watch sees of the store at one moment.
type state struct {
	changes pimentospread.Changes
	err     error
	changed <-chan struct{}
	deaf    bool
	lag     time.Duration
}

func (h handler) watchKind(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Watch }) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil || wait < 0 || time.Duration(wait)*time.Millisecond > maxWait {
		http.Error(w, "watch needs a revision and a wait", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	last := false
	for {
		v, err := owner.Ask(r.Context(), h.store, func(s *Store) state {
			changes, err := s.Since(key(r).Kind, pimentospread.ObjectVersion(after))
			return state{changes, err, s.changed, s.faults.DeafWatches, s.faults.Lag.Duration}
		})
		switch {
		case err != nil:
			fail(w, err)
			return
		case v.err != nil:
			http.Error(w, v.err.Error(), http.StatusGone)
			return
		case v.deaf && last:
			loopback.WriteJSON(w, http.StatusOK, storeEvents{Events: []storeEvent{}, CurrentRev: pimentospread.ObjectVersion(after)})
			return
		case last || len(v.changes.Changes) > 0 && !v.deaf:
			if !pause(r.Context(), v.lag) {
				return
			}
			loopback.WriteJSON(w, http.StatusOK, inEventForm(v.changes))
			return
		}
		select {
		case <-v.changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// pause reports whether the context still holds after the time.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func inEventForm(c pimentospread.Changes) storeEvents {
	e := storeEvents{Events: []storeEvent{}, CurrentRev: c.Revision}
	for _, change := range c.Changes {
		e.Events = append(e.Events, storeEvent{Object: inStoreForm(change.Object), Deleted: change.Deleted})
	}
	return e
}

func (h handler) compact(w http.ResponseWriter, r *http.Request) {
	if _, err := owner.Ask(r.Context(), h.store, func(s *Store) struct{} { s.Compact(); return struct{}{} }); err != nil {
		fail(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, struct{}{})
}
