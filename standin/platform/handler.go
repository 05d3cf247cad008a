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

// maxWait is the longest time that a watch may wait.
const maxWait = 60 * time.Second

// handler serves the store over HTTP.
type handler struct{ store *owner.Queue[*Store] }

// NewHandler returns a handler that serves the object APIs and, under /admin, the
// faults and call counts of the stand-in.
func NewHandler(store *owner.Queue[*Store]) http.Handler {
	h := handler{store}
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{Kind}/{Name}", h.get)
	m.HandleFunc("PUT /objects/{Kind}/{Name}", h.put)
	m.HandleFunc("GET /objects/{Kind}", h.watch)
	h.registerV1(m)
	m.HandleFunc("GET /admin/faults", h.getFaults)
	m.HandleFunc("PUT /admin/faults", h.putFaults)
	m.HandleFunc("GET /admin/calls", h.getCalls)
	m.HandleFunc("POST /admin/restore", h.restore)
	return m
}

// result is the result of a call to the store: an object or an error.
type result struct {
	object pimentospread.Object
	// era is the era of the store at the call.
	era pimentospread.Era
	err error
	// lost is set when the call took effect and its answer must be dropped.
	lost bool
}

// beginCall counts the call and applies the faults. It reports false when the call
// has already been answered.
func (h handler) beginCall(w http.ResponseWriter, r *http.Request, counter func(*Store) *int) bool {
	standIn, now := isStandIn(r), time.Now()
	f, err := owner.Do(r.Context(), h.store, func(s *Store) Faults { return s.admit(now, counter(s), standIn) })
	if err != nil {
		writeError(w, err)
		return false
	}
	setEra(w, f.era)
	return sleep(r.Context(), f.Latency.Duration) && !f.apply(w, r)
}

// isStandIn reports whether the call comes from another stand-in.
func isStandIn(r *http.Request) bool { return r.UserAgent() == loopback.UserAgent }

func key(r *http.Request) pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: pimentospread.ObjectKind(r.PathValue("Kind")), Name: r.PathValue("Name")}
}

func (h handler) get(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Get }) {
		return
	}
	k := key(r)
	h.answer(w, r, func(s *Store) result {
		o, err := s.Get(k)
		return result{object: o, err: err}
	})
}

func (h handler) put(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Put }) {
		return
	}
	expected, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be an object version", http.StatusPreconditionRequired)
		return
	}
	// The limit leaves 4 KiB for the JSON around the value.
	var o pimentospread.Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueSize+4096)).Decode(&o); err != nil || o.Value == nil {
		status := http.StatusBadRequest
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, "body must be an object with a Value", status)
		return
	}
	k := key(r)
	h.answer(w, r, func(s *Store) result {
		o, err := s.Put(k, o.Value, pimentospread.ObjectVersion(expected))
		return result{object: o, err: err, lost: err == nil && s.takeLostAnswer()}
	})
}

func (h handler) answer(w http.ResponseWriter, r *http.Request, task func(*Store) result) {
	a, err := h.do(w, r, task)
	switch {
	case err != nil:
		writeError(w, err)
	case a.err != nil:
		writeError(w, a.err)
	case a.lost:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		loopback.WriteJSON(w, http.StatusOK, a.object)
	}
}

// do executes a call and sets the era of the store that executed it.
func (h handler) do(w http.ResponseWriter, r *http.Request, task func(*Store) result) (result, error) {
	a, err := owner.Do(r.Context(), h.store, func(s *Store) result {
		a := task(s)
		a.era = s.era
		return a
	})
	if err == nil {
		setEra(w, a.era)
	}
	return a, err
}

// watch waits for an object of a kind that is newer than After, and answers 204
// when there is none within Wait. Name restricts the watch to one object.
func (h handler) watch(w http.ResponseWriter, r *http.Request) {
	if !h.beginCall(w, r, func(s *Store) *int { return &s.calls.Watch }) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	if err != nil {
		http.Error(w, "After must be an object version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("Wait"))
	if err != nil || wait > maxWait {
		http.Error(w, "Wait must be a duration of at most "+maxWait.String(), http.StatusBadRequest)
		return
	}
	v := &watch{kind: key(r).Kind, name: q.Get("Name"), after: pimentospread.ObjectVersion(after), found: make(chan pimentospread.Object, 1)}
	if _, err := owner.Do(r.Context(), h.store, func(s *Store) struct{} { s.Watch(v); return struct{}{} }); err != nil {
		writeError(w, err)
		return
	}
	h.await(w, r, v, wait)
}

// await answers the call with the object that the watch finds, or with 204 when
// the wait ends first.
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
	// The watch must be removed even if the client has closed the connection.
	_, _ = owner.Do(context.WithoutCancel(r.Context()), h.store, func(s *Store) struct{} { s.StopWatch(v); return struct{}{} })
	w.WriteHeader(http.StatusNoContent)
}

func (h handler) getFaults(w http.ResponseWriter, r *http.Request) {
	f, err := owner.Do(r.Context(), h.store, func(s *Store) Faults { return s.faults })
	if err != nil {
		writeError(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, f)
}

func (h handler) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !loopback.ReadJSON(w, r, &f) {
		return
	}
	if _, err := owner.Do(r.Context(), h.store, func(s *Store) struct{} { s.faults = f; return struct{}{} }); err != nil {
		writeError(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, f)
}

func (h handler) getCalls(w http.ResponseWriter, r *http.Request) {
	c, err := owner.Do(r.Context(), h.store, func(s *Store) Calls { return s.calls })
	if err != nil {
		writeError(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, c)
}

// writeError answers the call with the status that corresponds to the type of the error.
func writeError(w http.ResponseWriter, err error) {
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
