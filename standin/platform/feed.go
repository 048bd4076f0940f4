package platform

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// waitingCalls holds the callers of the calls that wait for changes. It is safe for concurrent use.
type waitingCalls struct {
	mu      sync.Mutex
	callers []string
}

// begin notes that a call of a caller waits, and returns the function that notes its end.
func (w *waitingCalls) begin(caller string) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers = append(w.callers, caller)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := slices.Index(w.callers, caller)
		w.callers = slices.Delete(w.callers, i, i+1)
	}
}

// WaitingCallers returns the IP address, or name, of the caller of each call that waits for changes at this moment.
func (s *Server) WaitingCallers() []string {
	s.waiting.mu.Lock()
	defer s.waiting.mu.Unlock()
	return slices.Clone(s.waiting.callers)
}

// feed returns the changes of a table after a version. It waits for the first change, at most as long as the call asks,
// and then returns an answer without rows. The connection of a call that waits during Restore is closed.
func (s *Server) feed(r *http.Request) answer {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return answer{status: http.StatusBadRequest}
	}
	timer := time.NewTimer(parseWait(query.Get("waitMs")))
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		p, ok := s.rows.changes(query.Get("table"), after)
		changed, present := s.rows.changed, s.era
		s.mu.Unlock()
		if present != era {
			panic(http.ErrAbortHandler)
		}
		a := newAnswer(p)
		if !ok {
			a = answer{status: http.StatusGone}
		}
		a.era = era
		if !ok || len(p.Rows) > 0 {
			return a
		}
		if !s.awaitChange(r, changed, timer.C) {
			return a
		}
	}
}

// awaitChange waits for a change, and reports false if the wait or the call ended first.
func (s *Server) awaitChange(r *http.Request, changed <-chan struct{}, end <-chan time.Time) bool {
	defer s.waiting.begin(callerAddress(r))()
	select {
	case <-changed:
		return true
	case <-end:
		return false
	case <-r.Context().Done():
		return false
	}
}
