package member

import "time"

// State is the state of a backend server as it announced it.
type State int

// The states of a backend server.
const (
	// Absent means that no backend server has announced itself to the daemon.
	Absent State = iota
	// Ready means that the backend server takes new requests.
	Ready
	// Draining means that the backend server takes no new requests, since it is about to stop or has stopped.
	Draining
)

// String returns the state for logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "absent"
}

// Server describes a backend server. Daemons send it to each other; see package peer.
type Server struct {
	ID      string
	Service string
	Address string
	Version string
	Slots   int
	State   State
	// Born is the start of the incarnation, in milliseconds since 1970 by the clock of its instance.
	Born int64
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	// Cold is how much longer the backend server expects to be slow after its start, as stated in its announcement and
	// counted from it. The daemons pass it on, and decide nothing by it.
	Cold time.Duration
	// RateLimit is the requests a second that the backend server states in its answers that it takes, from all daemons
	// together, or 0 if it states none.
	RateLimit float64
}

// Notice is what a backend server states of itself in an answer to a request.
type Notice struct {
	// IsLeaving is true if the backend server drains or is about to stop.
	IsLeaving bool
	// IsLimited is true if the backend server states a limit of the requests that it takes.
	IsLimited bool
	// RateLimit is that limit in requests a second, from all daemons together.
	RateLimit float64
	// IsSilent is true if the answer says nothing of a limit that can be read; the limit stated last then holds.
	IsSilent bool
}

// Load is the current load of a backend server. Daemons send it to each other; see package peer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Failing is the share of its latest requests that the backend server failed or rejected, from 0 to 1. It is 0 when
	// the latest failure is longer ago than failureMemory in package owner.
	Failing float64
	// Backlog is how long a large answer that was ready now would wait for the outgoing link of the instance, including
	// the expected answers of the running requests.
	Backlog time.Duration
	// StartWait is how long the rate limit of the backend server would keep a further request from its start.
	StartWait time.Duration
}

// IsFree reports whether the backend server has a free slot, no request waits for one and its rate limit allows another.
func (l Load) IsFree() bool { return l.Running < l.Slots && l.Waiting == 0 && l.StartWait == 0 }

// Record is the state that a daemon reports of itself. Daemons send it to each other; see package peer.
type Record struct {
	// Address is where the daemon accepts calls of other daemons.
	Address    string
	DataCentre string
	// Incarnation is the start of the daemon in milliseconds since 1970.
	Incarnation int64
	// Sequence grows with each change within one incarnation.
	Sequence   uint64
	Server     Server
	Load       Load
	IsStopping bool
	// IsStoreDown is true while the daemon can't read the store.
	IsStoreDown bool
}

// IsNewer reports whether the record is of a later incarnation, or of a higher sequence in the same incarnation,
// than another record of the same daemon.
func (r Record) IsNewer(than Record) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	return r.Sequence > than.Sequence
}
