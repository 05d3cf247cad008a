package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

// maxWait bounds a watch.
const maxWait = 60 * time.Second

// handler is the HTTP side of the store.
type handler struct{ store *owner.Owner[*Store] }

// NewHandler returns the object API and, under /admin, the switches of the stand-in.
func NewHandler(store *owner.Owner[*Store]) http.Handler {
	h := handler{store}
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{Kind}/{Name}", h.get)
	m.HandleFunc("PUT /objects/{Kind}/{Name}", h.put)
	m.HandleFunc("GET /objects/{Kind}", h.watch)
	h.handleStore(m)
	m.HandleFunc("GET /admin/faults", h.getFaults)
	m.HandleFunc("PUT /admin/faults", h.putFaults)
	m.HandleFunc("GET /admin/calls", h.getCalls)
	return m
}

// result is an object or the error of the call.
type result struct {
	object pimentospread.Object
	err    error
	lost   bool
}

// enter counts the call and applies the faults. It reports false when the call was answered already.
func (h handler) enter(w http.ResponseWriter, r *http.Request, counter func(*Store) *int) bool {
	standIn, now := isStandIn(r), time.Now()
	f, err := owner.Ask(r.Context(), h.store, func(s *Store) Faults { return s.admit(now, counter(s), standIn) })
	if err != nil {
		fail(w, err)
		return false
	}
	return pause(r.Context(), f.Latency.Duration) && !f.strike(w, r)
}

func isStandIn(r *http.Request) bool { return r.UserAgent() == loopback.UserAgent }

func key(r *http.Request) pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: pimentospread.ObjectKind(r.PathValue("Kind")), Name: r.PathValue("Name")}
}

func (h handler) get(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Get }) {
		return
	}
	k := key(r)
	h.answer(w, r, func(s *Store) result {
		o, err := s.Get(k)
		return result{object: o, err: err}
	})
}

func (h handler) put(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Put }) {
		return
	}
	expected, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match needs a version", http.StatusPreconditionRequired)
		return
	}
	// The envelope around the value needs some room of its own.
	var o pimentospread.Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue+4096)).Decode(&o); err != nil || o.Value == nil {
		status := http.StatusBadRequest
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, "body needs an object with a Value", status)
		return
	}
	k := key(r)
	h.answer(w, r, func(s *Store) result {
		o, err := s.Put(k, o.Value, pimentospread.ObjectVersion(expected))
		return result{object: o, err: err, lost: err == nil && s.loseAnswer()}
	})
}

func (h handler) answer(w http.ResponseWriter, r *http.Request, question func(*Store) result) {
	a, err := owner.Ask(r.Context(), h.store, question)
	switch {
	case err != nil:
		fail(w, err)
	case a.err != nil:
		fail(w, a.err)
	case a.lost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		loopback.WriteJSON(w, http.StatusOK, a.object)
	}
}

// watch answers 204 when the wait ends without a change. Name narrows the watch to one object.
func (h handler) watch(w http.ResponseWriter, r *http.Request) {
	if !h.enter(w, r, func(s *Store) *int { return &s.calls.Watch }) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	if err != nil {
		http.Error(w, "After needs a version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("Wait"))
	if err != nil || wait > maxWait {
		http.Error(w, "Wait needs a duration of at most "+maxWait.String(), http.StatusBadRequest)
		return
	}
	v := &watch{kind: key(r).Kind, name: q.Get("Name"), after: pimentospread.ObjectVersion(after), found: make(chan pimentospread.Object, 1)}
	if _, err := owner.Ask(r.Context(), h.store, func(s *Store) struct{} { s.Watch(v); return struct{}{} }); err != nil {
		fail(w, err)
		return
	}
	h.await(w, r, v, wait)
}

func (h handler) await(w http.ResponseWriter, r *http.Request, v *watch, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	select {
	case o := <-v.found:
		loopback.WriteJSON(w, http.StatusOK, o)
		return
	case <-end.C:
	case <-r.Context().Done():
	}
	// The caller may be gone, and the watch has to be forgotten all the same.
	_, _ = owner.Ask(context.WithoutCancel(r.Context()), h.store, func(s *Store) struct{} { s.Forget(v); return struct{}{} })
	w.WriteHeader(http.StatusNoContent)
}

func (h handler) getFaults(w http.ResponseWriter, r *http.Request) {
	f, err := owner.Ask(r.Context(), h.store, func(s *Store) Faults { return s.faults })
	if err != nil {
		fail(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, f)
}

func (h handler) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !loopback.ReadJSON(w, r, &f) {
		return
	}
	if _, err := owner.Ask(r.Context(), h.store, func(s *Store) struct{} { s.faults = f; return struct{}{} }); err != nil {
		fail(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, f)
}

func (h handler) getCalls(w http.ResponseWriter, r *http.Request) {
	c, err := owner.Ask(r.Context(), h.store, func(s *Store) Calls { return s.calls })
	if err != nil {
		fail(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, c)
}

func fail(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errorx.IsOfType(err, pimentospread.ErrNotFound):
		status = http.StatusNotFound
	case errorx.IsOfType(err, pimentospread.ErrConflict):
		status = http.StatusPreconditionFailed
	case errorx.IsOfType(err, pimentospread.ErrInvalid):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
