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

// v1Object is an object as the users' platform encodes it.
type v1Object struct {
	Meta v1Meta          `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type v1Meta struct {
	Name     string                      `json:"name"`
	Revision pimentospread.ObjectVersion `json:"revision"`
}

func toV1Object(o pimentospread.Object) v1Object {
	return v1Object{Meta: v1Meta{Name: o.Name, Revision: o.Version}, Spec: o.Value}
}

type v1Page struct {
	Items      []v1Object                  `json:"items"`
	HasMore    bool                        `json:"has_more"`
	CurrentRev pimentospread.ObjectVersion `json:"current_rev"`
	era        pimentospread.Era
}

type v1Event struct {
	Object  v1Object `json:"object"`
	Deleted bool     `json:"deleted"`
}

type v1Events struct {
	Events     []v1Event                   `json:"events"`
	CurrentRev pimentospread.ObjectVersion `json:"current_rev"`
}

// registerV1 registers the interface of the users' platform to the same objects.
func (h handler) registerV1(m *http.ServeMux) {
	m.HandleFunc("GET /v1/objects/{Kind}/{Name}", h.readObject)
	m.HandleFunc("PUT /v1/objects/{Kind}/{Name}", h.writeObject)
	m.HandleFunc("DELETE /v1/objects/{Kind}/{Name}", h.deleteObject)
	m.HandleFunc("POST /v1/objects/{Kind}", h.writeObject)
	m.HandleFunc("GET /v1/objects/{Kind}", h.listOrWatch)
	m.HandleFunc("POST /admin/compact", h.compact)
}

func (h handler) readObject(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Get }) {
		return
	}
	k := key(r)
	h.answerV1(w, r, func(s *Store) result {
		o, err := s.Get(k)
		return result{object: o, err: err}
	})
}

// writeObject creates an object on POST and replaces it on PUT. A PUT without a
// revision replaces any revision.
func (h handler) writeObject(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Put }) {
		return
	}
	var o v1Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueSize+4096)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k, create := key(r), r.Method == http.MethodPost
	if create {
		k.Name = o.Meta.Name
	}
	h.applyWrite(w, r, func(s *Store) result {
		expected := o.Meta.Revision
		if held, err := s.Get(k); err == nil && !create && expected == 0 {
			expected = held.Version
		}
		written, err := s.Put(k, o.Spec, expected)
		return result{object: written, err: err, lost: err == nil && s.takeLostAnswer()}
	})
}

func (h handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Put }) {
		return
	}
	k := key(r)
	revision, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("revision"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	h.applyWrite(w, r, func(s *Store) result {
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

// applyWrite executes a write and answers it. With the fault LateWrites, the write
// of a host is not answered and executes after a delay.
func (h handler) applyWrite(w http.ResponseWriter, r *http.Request, write func(*Store) result) {
	if isStandIn(r) {
		h.answerV1(w, r, write)
		return
	}
	delay, err := owner.Do(r.Context(), h.store, (*Store).delay)
	switch {
	case err != nil:
		writeError(w, err)
	case delay > 0:
		time.AfterFunc(delay, func() {
			// The result is dropped, as the connection is closed.
			_, _ = owner.Do(context.WithoutCancel(r.Context()), h.store, write)
		})
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		h.answerV1(w, r, write)
	}
}

func (h handler) answerV1(w http.ResponseWriter, r *http.Request, task func(*Store) result) {
	a, err := h.do(w, r, task)
	switch {
	case err != nil:
		writeError(w, err)
	case errorx.IsOfType(a.err, pimentospread.ErrConflict):
		http.Error(w, a.err.Error(), http.StatusConflict)
	case a.err != nil:
		writeError(w, a.err)
	case a.lost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		loopback.WriteJSON(w, http.StatusOK, toV1Object(a.object))
	}
}

func (h handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		h.watchKind(w, r)
		return
	}
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Get }) {
		return
	}
	kind, after := key(r).Kind, r.URL.Query().Get("after")
	page, err := owner.Do(r.Context(), h.store, func(s *Store) v1Page {
		objects, more := s.List(kind, after)
		p := v1Page{Items: []v1Object{}, HasMore: more, CurrentRev: s.revision, era: s.era}
		for _, o := range objects {
			p.Items = append(p.Items, toV1Object(o))
		}
		return p
	})
	if err != nil {
		writeError(w, err)
		return
	}
	setEra(w, page.era)
	loopback.WriteJSON(w, http.StatusOK, page)
}

// state is the state of the store that a watch reads at one time.
type state struct {
	changes pimentospread.Changes
	err     error
	// changed is closed at the next change of the store.
	changed <-chan struct{}
	hidden  bool
	lag     time.Duration
	era     pimentospread.Era
}

// watchKind waits for changes of a kind after a revision, and answers with an
// empty list when there are none within wait_ms. It answers 410 when the changes
// after the revision are no longer available.
func (h handler) watchKind(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Watch }) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil || wait < 0 || time.Duration(wait)*time.Millisecond > maxWait {
		http.Error(w, "watch must be a revision and wait_ms a wait of at most a minute", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	last := false
	for {
		v, err := owner.Do(r.Context(), h.store, func(s *Store) state {
			changes, err := s.Since(key(r).Kind, pimentospread.ObjectVersion(after))
			return state{changes, err, s.changed, s.faults.HideChanges, s.faults.Lag.Duration, s.era}
		})
		setEra(w, v.era)
		switch {
		case err != nil:
			writeError(w, err)
			return
		case v.err != nil:
			http.Error(w, v.err.Error(), http.StatusGone)
			return
		case v.hidden && last:
			loopback.WriteJSON(w, http.StatusOK, v1Events{Events: []v1Event{}, CurrentRev: pimentospread.ObjectVersion(after)})
			return
		case last || len(v.changes.Changes) > 0 && !v.hidden:
			if !sleep(r.Context(), v.lag) {
				return
			}
			loopback.WriteJSON(w, http.StatusOK, toV1Events(v.changes))
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

// sleep waits for the duration. It reports false when the context ended before.
func sleep(ctx context.Context, d time.Duration) bool {
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

func toV1Events(c pimentospread.Changes) v1Events {
	e := v1Events{Events: []v1Event{}, CurrentRev: c.Revision}
	for _, change := range c.Changes {
		e.Events = append(e.Events, v1Event{Object: toV1Object(change.Object), Deleted: change.Deleted})
	}
	return e
}

func (h handler) compact(w http.ResponseWriter, r *http.Request) {
	if _, err := owner.Do(r.Context(), h.store, func(s *Store) struct{} { s.Compact(); return struct{}{} }); err != nil {
		writeError(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, struct{}{})
}
