package platform

import (
	"net/http"
	"strconv"

	"pimentospread"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

// eraHeader is the header in which all answers have the era of the store.
const eraHeader = "Store-Era"

// firstEra is the era of a store that was never restored.
const firstEra pimentospread.Era = 1

// undo is what one write replaced.
type undo struct {
	key pimentospread.ObjectKey
	// object is the object before the write. Its version is zero if it did not exist.
	object pimentospread.Object
	// revision is the revision of the store before the write.
	revision pimentospread.ObjectVersion
}

// recordUndo records what the next write of an object replaces.
func (s *Store) recordUndo(key pimentospread.ObjectKey) {
	s.undos = append(s.undos, undo{key, s.objects[key], s.revision})
	if len(s.undos) > maxHistoryLength {
		s.undos = s.undos[1:]
	}
}

// Restore returns the store to its state before the given number of last writes, as a
// restore from an older copy does. The revisions of these writes are assigned again, and
// watches that start from one of them expire.
func (s *Store) Restore(writes int) {
	keep := max(len(s.undos)-writes, 0)
	for i := len(s.undos) - 1; i >= keep; i-- {
		u := s.undos[i]
		s.revision = u.revision
		if u.object.Version == 0 {
			delete(s.objects, u.key)
		} else {
			s.objects[u.key] = u.object
		}
	}
	s.undos = s.undos[:keep]
	for len(s.history) > 0 && s.history[len(s.history)-1].Version > s.revision {
		s.history = s.history[:len(s.history)-1]
	}
	s.compacted = min(s.compacted, s.revision)
	s.era++
	s.notifyWatches()
}

// setEra sets the header with the era of the store.
func setEra(w http.ResponseWriter, era pimentospread.Era) {
	w.Header().Set(eraHeader, strconv.FormatUint(uint64(era), 10))
}

// restoration is the body of a request to restore the store.
type restoration struct {
	// Writes is the number of last writes that are lost.
	Writes int `json:"Writes"`
}

func (h handler) restore(w http.ResponseWriter, r *http.Request) {
	var body restoration
	if !loopback.ReadJSON(w, r, &body) {
		return
	}
	if _, err := owner.Do(r.Context(), h.store, func(s *Store) struct{} { s.Restore(body.Writes); return struct{}{} }); err != nil {
		writeError(w, err)
		return
	}
	loopback.WriteJSON(w, http.StatusOK, struct{}{})
}
