package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer, as the sheets of SYSTEM.md say.
const answerTime = 4 * time.Millisecond

// maxPageBytes is the size of a page of a list, "about 500 or 1 MB at most".
const maxPageBytes = 1 << 20

// meta is the metadata of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
	kind   string
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It loses nothing and its answers
// are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []event
	written  map[string]time.Time
	changed  chan struct{}
	server   *http.Server
	address  string
}

// newStore starts a store at the address.
func newStore(address string) (*store, error) {
	s := &store{revision: 100, objects: map[string]object{}, written: map[string]time.Time{}, changed: make(chan struct{}), address: address}
	l, err := net.Listen("tcp4", address) //nolint:noctx // a stand-in listens until it ends
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.listOrWatch)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.write)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.write)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object without a condition, as the operator and the servers do, and returns
// when the store has acknowledged it.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, ok := spec.(json.RawMessage)
	if !ok {
		raw, _ = json.Marshal(spec)
	}
	s.mu.Lock()
	s.apply(kind, name, raw)
	s.mu.Unlock()
	time.Sleep(answerTime)
	return time.Now()
}

// apply writes an object. The caller holds the lock.
func (s *store) apply(kind, name string, spec json.RawMessage) object {
	key := kind + "/" + name
	o, known := s.objects[key]
	s.revision++
	if !known {
		o = object{Meta: meta{Name: name, Created: s.revision, Finalizers: []string{}}, kind: kind}
	}
	o.Meta.Revision, o.Spec, o.Status = s.revision, spec, json.RawMessage("null")
	s.objects[key], s.written[key] = o, time.Now()
	s.record(event{Object: o})
	return o
}

// record appends an event and wakes the watches. The caller holds the lock.
func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// drop removes an object. The caller holds the lock.
func (s *store) drop(key string) {
	o, ok := s.objects[key]
	if !ok {
		return
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects, key)
	delete(s.written, key)
	s.record(event{Object: o, Deleted: true})
}

// expire removes the entries of servers that were silent for three heartbeat intervals.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.written {
		if strings.HasPrefix(key, "servers/") && time.Since(at) > 3*heartbeat {
			s.drop(key)
		}
	}
}

// ofKind returns the objects of a kind by name. The caller holds the lock.
func (s *store) ofKind(kind, after string) []object {
	var list []object
	for _, o := range s.objects {
		if o.kind == kind && o.Meta.Name > after {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return list
}

// since returns the events of a kind after a revision. The caller holds the lock.
func (s *store) since(kind string, revision uint64) []string {
	var list []string
	for _, e := range s.history {
		if e.Object.kind == kind && e.Object.Meta.Revision > revision {
			list = append(list, fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.Deleted, e.Object.text()))
		}
	}
	return list
}

// text returns the object as JSON. It copies the spec as it was written: the store does not
// read what others keep in it.
func (o object) text() string {
	m, _ := json.Marshal(o.Meta)
	return `{"meta":` + string(m) + `,"spec":` + string(o.Spec) + `,"status":null}`
}

// fail answers with an error status.
func fail(w http.ResponseWriter, status int) { reply(w, status, `{"error":"refused"}`) }

// reply sends an answer.
func reply(w http.ResponseWriter, status int, body string) {
	time.Sleep(answerTime)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

func (s *store) listOrWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	items, size, more := []string{}, 0, false
	for _, o := range s.ofKind(r.PathValue("kind"), q.Get("after")) {
		if size += len(o.Spec); len(items) > 0 && (size > maxPageBytes || len(items) == 500) {
			more = true
			break
		}
		items = append(items, o.text())
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"has_more":%t,"current_rev":%d}`, strings.Join(items, ","), more, revision))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		fail(w, http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		events, revision, changed := s.since(r.PathValue("kind"), from), s.revision, s.changed
		s.mu.Unlock()
		if last || len(events) > 0 {
			reply(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"current_rev":%d}`, strings.Join(events, ","), revision))
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")+"/"+r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o.text())
}

// write handles POST, which creates an object, and PUT, which replaces one.
func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Meta.Name == "" {
		fail(w, http.StatusBadRequest)
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	old, known := s.objects[kind+"/"+in.Meta.Name]
	conflict := r.Method == http.MethodPost && known || in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision
	if !conflict && (known || r.Method == http.MethodPost) {
		old = s.apply(kind, in.Meta.Name, in.Spec)
		known = true
	}
	s.mu.Unlock()
	switch {
	case conflict:
		reply(w, http.StatusConflict, old.text())
	case !known:
		fail(w, http.StatusNotFound)
	default:
		reply(w, http.StatusOK, old.text())
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("kind") + "/" + r.PathValue("name")
	want, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	o, known := s.objects[key]
	conflict := known && want != 0 && want != o.Meta.Revision
	if known && !conflict {
		s.drop(key)
	}
	s.mu.Unlock()
	switch {
	case !known:
		fail(w, http.StatusNotFound)
	case conflict:
		reply(w, http.StatusConflict, o.text())
	default:
		reply(w, http.StatusOK, o.text())
	}
}
