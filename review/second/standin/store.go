package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageBytes and maxPageItems limit a page of a list.
const (
	maxPageBytes = 1 << 20
	maxPageItems = 500
	// firstRevision is the revision of the empty store.
	firstRevision = 500
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// object is an object of the store.
type object struct {
	kind    string
	name    string
	created uint64
	changed uint64
	spec    json.RawMessage
}

// change is an entry of the history.
type change struct {
	object  object
	deleted bool
}

// store is a stand-in for the platform's metadata store. It loses nothing, keeps its whole
// history and answers each call.
type store struct {
	mutex    sync.Mutex
	objects  map[string]object
	history  []change
	revision uint64
	// changes is closed and replaced with each change.
	changes chan struct{}
	server  *http.Server
	address string
}

func startStore(ctx context.Context) (*store, error) {
	s := &store{objects: map[string]object{}, revision: firstRevision, changes: make(chan struct{})}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	s.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object as an operator or an endpoint does. A write that changes nothing does
// not count as a change.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, found := s.objects[kind+"/"+name]
	if found && string(o.spec) == string(spec) {
		return
	}
	s.write(object{kind: kind, name: name, created: o.created, spec: spec})
}

// drop removes an object.
func (s *store) drop(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o, found := s.objects[kind+"/"+name]; found {
		delete(s.objects, kind+"/"+name)
		s.revision++
		o.changed = s.revision
		s.record(change{o, true})
	}
}

// write stores the object with a new revision. The caller holds the mutex.
func (s *store) write(o object) {
	s.revision++
	o.changed = s.revision
	if o.created == 0 {
		o.created = s.revision
	}
	s.objects[o.kind+"/"+o.name] = o
	s.record(change{o, false})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changes)
	s.changes = make(chan struct{})
}

// wire returns the object as it is sent.
func (o object) wire() json.RawMessage {
	name, _ := json.Marshal(o.name)
	return json.RawMessage(fmt.Sprintf(`{"meta":{"name":%s,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}`,
		name, o.changed, o.created, o.spec))
}

func answer(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mutex.Lock()
	var names []string
	for _, o := range s.objects {
		if o.kind == r.PathValue("kind") && o.name > r.URL.Query().Get("after") {
			names = append(names, o.name)
		}
	}
	slices.Sort(names)
	var items []string
	size, more := 0, false
	for _, name := range names {
		text := string(s.objects[r.PathValue("kind")+"/"+name].wire())
		if len(items) >= maxPageItems || len(items) > 0 && size+len(text) > maxPageBytes {
			more = true
			break
		}
		items, size = append(items, text), size+len(text)
	}
	revision := s.revision
	s.mutex.Unlock()
	answer(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"has_more":%t,"current_rev":%d}`, strings.Join(items, ","), more, revision))
}

// watch waits for changes after a revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for over := false; ; {
		s.mutex.Lock()
		events, revision, changes := s.after(r.PathValue("kind"), after), s.revision, s.changes
		s.mutex.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"current_rev":%d}`, strings.Join(events, ","), revision))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changes:
		case <-limit.C:
			over = true
		}
	}
}

// after returns the changes of a kind after a revision. The caller holds the mutex.
func (s *store) after(kind string, revision uint64) []string {
	var events []string
	for _, c := range s.history {
		if c.object.kind == kind && c.object.changed > revision {
			events = append(events, fmt.Sprintf(`{"deleted":%t,"object":%s}`, c.deleted, c.object.wire()))
		}
	}
	return events
}

// body is the body of a write.
type body struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

func readBody(r *http.Request) (body, error) {
	var b body
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return b, err
	}
	return b, json.Unmarshal(data, &b)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	b, err := readBody(r)
	if err != nil {
		answer(w, http.StatusBadRequest, "{}")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := r.PathValue("kind") + "/" + b.Meta.Name
	if o, found := s.objects[key]; found {
		answer(w, http.StatusConflict, string(o.wire()))
		return
	}
	s.write(object{kind: r.PathValue("kind"), name: b.Meta.Name, spec: b.Spec})
	answer(w, http.StatusOK, string(s.objects[key].wire()))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, found := s.objects[r.PathValue("kind")+"/"+r.PathValue("name")]
	if !found {
		answer(w, http.StatusNotFound, "{}")
		return
	}
	answer(w, http.StatusOK, string(o.wire()))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	b, err := readBody(r)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := r.PathValue("kind") + "/" + r.PathValue("name")
	o, found := s.objects[key]
	switch {
	case err != nil:
		answer(w, http.StatusBadRequest, "{}")
	case !found:
		answer(w, http.StatusNotFound, "{}")
	case b.Meta.Revision != 0 && b.Meta.Revision != o.changed:
		answer(w, http.StatusConflict, string(o.wire()))
	default:
		o.spec = b.Spec
		s.write(o)
		answer(w, http.StatusOK, string(s.objects[key].wire()))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.drop(r.PathValue("kind"), r.PathValue("name"))
	answer(w, http.StatusOK, "{}")
}
