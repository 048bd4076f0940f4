package platform

import (
	"maps"
	"net/http"
	"slices"
)

// Copy holds the rows with their history and the objects of a store at one moment.
type Copy struct {
	rows    rows
	objects objects
}

// Copy returns a copy of all rows and objects, from which Restore brings them back.
func (s *Server) Copy() *Copy {
	s.once.Do(s.initialise)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{rows: s.rows.clone(), objects: maps.Clone(s.objects)}
}

// Restore brings the rows and objects of a copy back and raises the era. What was written since the copy is lost, and
// the versions that it had are given out again. The connections of calls that wait for changes are closed.
func (s *Server) Restore(c *Copy) {
	s.once.Do(s.initialise)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.rows.changed
	s.rows = c.rows.clone()
	s.objects = maps.Clone(c.objects)
	s.era++
	close(changed)
}

// clone returns a copy that shares no state; no call waits for its changes.
func (r *rows) clone() rows {
	return rows{
		stored: maps.Clone(r.stored), history: slices.Clone(r.history), compacted: r.compacted, version: r.version, changed: make(chan struct{}),
	}
}

// serveCopy takes the copy from which serveRestore brings the store back.
func (s *Server) serveCopy(w http.ResponseWriter) {
	taken := s.Copy()
	s.mu.Lock()
	s.saved = taken
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveRestore restores the copy of serveCopy, or answers 404 if there is none.
func (s *Server) serveRestore(w http.ResponseWriter) {
	s.mu.Lock()
	saved := s.saved
	s.mu.Unlock()
	if saved == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.Restore(saved)
	w.WriteHeader(http.StatusNoContent)
}
