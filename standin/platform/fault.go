package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Mode is the way in which calls fail.
type Mode string

// The modes of failure.
const (
	// ModeNone makes no call fail.
	ModeNone Mode = "none"
	// ModeDown answers each call with status 500 before any effect.
	ModeDown Mode = "down"
	// ModeSlow delays each call before its effect.
	ModeSlow Mode = "slow"
	// ModeThrottled answers each call with status 429, as if it exceeded a rate limit, before any effect.
	ModeThrottled Mode = "throttled"
	// ModeLostAnswer performs each write and closes the connection instead of answering.
	ModeLostAnswer Mode = "lost-answer"
	// ModeBusy answers each call with status 503 before any effect.
	ModeBusy Mode = "busy"
	// ModeReset closes the connection before any effect.
	ModeReset Mode = "reset"
	// ModeDelayedWrite closes the connection of each write and performs the write after the delay.
	ModeDelayedWrite Mode = "late"
	// ModeTruncated answers each read of an object with its first half.
	ModeTruncated Mode = "torn"
	// ModeSilent gives no response to a call that arrives, and none to a waiting call whose response becomes due. Nothing
	// more comes on the connection of such a call, also after the fault.
	ModeSilent Mode = "silent"
	// ModeHeadOnly is ModeSilent, but the head of each response comes.
	ModeHeadOnly Mode = "head-only"
)

// Fault says how calls fail, which calls and how many.
type Fault struct {
	// Mode is the way in which calls fail.
	Mode Mode `json:"mode"`
	// Delay is the time that ModeSlow and ModeDelayedWrite wait; it is in nanoseconds on the wire.
	Delay time.Duration `json:"delay"`
	// Count is the number of calls that fail before the fault ends; 0 means until the next SetFault.
	Count int `json:"count"`
	// Callers are the IP addresses whose calls fail; none means all.
	Callers []string `json:"callers,omitempty"`
}

// refusalStatus returns the HTTP status of a call that the fault refuses before any effect, or 0 for any other fault.
func (f Fault) refusalStatus() int {
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

// isFor reports whether the fault is for the calls of a caller.
func (f Fault) isFor(caller string) bool {
	return len(f.Callers) == 0 || slices.Contains(f.Callers, caller)
}

// faults holds the active fault; it is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	current Fault
}

func (f *faults) set(next Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
}

// forCall returns the fault for one call and counts the call, or a fault with ModeNone if the active fault is not for
// it. ModeLostAnswer and ModeDelayedWrite are for writes only, and ModeTruncated for reads of objects only.
func (f *faults) forCall(caller string, isWrite, isObjectRead bool) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := f.current
	isForWrites := active.Mode == ModeLostAnswer || active.Mode == ModeDelayedWrite
	if isForWrites && !isWrite || active.Mode == ModeTruncated && !isObjectRead || !active.isFor(caller) {
		return Fault{Mode: ModeNone}
	}
	if active.Count > 0 {
		f.current.Count--
		if f.current.Count == 0 {
			f.current = Fault{Mode: ModeNone}
		}
	}
	return active
}

// silenceFor returns the mode in which a response to a caller that is due now is lost, or ModeNone.
func (f *faults) silenceFor(caller string) Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	isSilent := f.current.Mode == ModeSilent || f.current.Mode == ModeHeadOnly
	if !isSilent || !f.current.isFor(caller) {
		return ModeNone
	}
	return f.current.Mode
}

// SetFault replaces the active fault; the calls that follow fail accordingly.
func (s *Server) SetFault(f Fault) { s.faults.set(f) }

// serveFault sets the fault in the body of the request.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<12)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(f)
	w.WriteHeader(http.StatusNoContent)
}
