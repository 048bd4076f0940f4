package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Mode says how the stand-in fails.
type Mode string

// The modes of failure.
const (
	ModeNone Mode = "none"
	// ModeDown answers no call: each gets status 500 before any effect.
	ModeDown Mode = "down"
	// ModeSlow delays each call before its effect.
	ModeSlow Mode = "slow"
	// ModeThrottled refuses each call for its rate.
	ModeThrottled Mode = "throttled"
	// ModeLostAnswer lets a write take effect and drops the connection instead of answering.
	ModeLostAnswer Mode = "lost-answer"
	// ModeBusy refuses each call before any effect, with the status that says so.
	ModeBusy Mode = "busy"
	// ModeReset drops the connection before any effect.
	ModeReset Mode = "reset"
	// ModeLate drops the connection and performs the call after the delay.
	ModeLate Mode = "late"
	// ModeTorn answers object reads with half of the object.
	ModeTorn Mode = "torn"
)

// Fault is a mode with its delay and the number of calls it holds for; a count of 0 holds until changed.
type Fault struct {
	Mode  Mode          `json:"mode"`
	Delay time.Duration `json:"delay"`
	Count int           `json:"count"`
	// Callers are the IP addresses that the fault is for; none means all.
	Callers []string `json:"callers,omitempty"`
}

// status returns the answer to a call that the fault refuses, or 0.
func (f Fault) status() int {
	switch f.Mode {
	case ModeDown:
		return http.StatusInternalServerError
	case ModeBusy:
		return http.StatusServiceUnavailable
	case ModeThrottled:
		return http.StatusTooManyRequests
	}
	return 0
}

type faults struct {
	mu      sync.Mutex
	current Fault
}

func (f *faults) set(next Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
}

// take returns the fault for one call; lost and late answers apply to writes and torn objects to object reads only.
func (f *faults) take(caller string, isWrite, isObjectRead bool) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.current
	isForWrites := now.Mode == ModeLostAnswer || now.Mode == ModeLate
	isForOthers := len(now.Callers) > 0 && !slices.Contains(now.Callers, caller)
	if isForWrites && !isWrite || now.Mode == ModeTorn && !isObjectRead || isForOthers {
		return Fault{Mode: ModeNone}
	}
	if now.Count > 0 {
		f.current.Count--
		if f.current.Count == 0 {
			f.current = Fault{Mode: ModeNone}
		}
	}
	return now
}

// SetFault makes the following calls fail as told.
func (s *Server) SetFault(f Fault) { s.faults.set(f) }

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<12)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(f)
	w.WriteHeader(http.StatusNoContent)
}
