package target

import (
	"net/http"
	"time"

	"pimentospread"
	"pimentospread/standin/ledger"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

// admin serves the administration endpoint of the process.
type admin struct{ targets []*Target }

func newAdmin(targets []*Target) http.Handler {
	a := admin{targets}
	m := http.NewServeMux()
	m.HandleFunc("GET /ledger", a.ledger)
	m.HandleFunc("GET /targets/{Name}", a.get)
	m.HandleFunc("PUT /targets/{Name}", a.put)
	return m
}

// ledger answers with the ledger of each target.
func (a admin) ledger(w http.ResponseWriter, r *http.Request) {
	entries := []ledger.Target{}
	for _, t := range a.targets {
		entry, err := owner.Do(r.Context(), t.tasks, (*Target).ledgerEntry)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		entries = append(entries, entry)
	}
	loopback.WriteJSON(w, http.StatusOK, entries)
}

// find returns the target that the URL names. If there is none, it answers 404 and
// returns nil.
func (a admin) find(w http.ResponseWriter, r *http.Request) *Target {
	name := pimentospread.TargetName(r.PathValue("Name"))
	for _, t := range a.targets {
		if t.name == name {
			return t
		}
	}
	http.Error(w, "target does not run in this process", http.StatusNotFound)
	return nil
}

func (a admin) get(w http.ResponseWriter, r *http.Request) {
	t := a.find(w, r)
	if t == nil {
		return
	}
	s, err := owner.Do(r.Context(), t.tasks, func(t *Target) Switches { return t.switches })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, s)
}

func (a admin) put(w http.ResponseWriter, r *http.Request) {
	t := a.find(w, r)
	if t == nil {
		return
	}
	var s Switches
	if !loopback.ReadJSON(w, r, &s) {
		return
	}
	if !s.Lie.valid() {
		http.Error(w, "Lie is not a known false report", http.StatusBadRequest)
		return
	}
	now := time.Now()
	if _, err := owner.Do(r.Context(), t.tasks, func(t *Target) struct{} { t.setSwitches(now, s); return struct{}{} }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, s)
}

func (t *Target) setSwitches(now time.Time, s Switches) {
	if s.Draining && t.drainedAt.IsZero() {
		t.drainedAt = now
	}
	if !s.Draining && t.assignment.DrainedAt.IsZero() {
		t.drainedAt = time.Time{}
	}
	if s.Silent && !t.switches.Silent {
		t.flows.Silence()
	}
	t.switches = s
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	report, err := owner.Do(r.Context(), t.tasks, func(t *Target) pimentospread.LoadReport { return t.report(now) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, report)
}
