package routing

import (
	"time"

	"siskinspar.example/membership"
)

// Endpoint identifies a backend server.
type Endpoint struct {
	// Instance is the daemon beside the backend server.
	Instance membership.ID
	// Backend is the name of the backend server at that daemon.
	Backend string
}

// Candidate is an endpoint that can serve a call, with what the router and the sender need to know of it.
type Candidate struct {
	endpoint   Endpoint
	address    string
	dataCentre membership.DataCentre
	slots      int
}

// NewCandidate returns a candidate whose daemon has the given peer address; fewer than one slot counts as one.
func NewCandidate(e Endpoint, address string, d membership.DataCentre, slots int) Candidate {
	return Candidate{endpoint: e, address: address, dataCentre: d, slots: max(1, slots)}
}

// Endpoint returns the backend server.
func (c Candidate) Endpoint() Endpoint { return c.endpoint }

// Address returns the peer address of the daemon beside the backend server.
func (c Candidate) Address() string { return c.address }

// DataCentre returns the data centre of the backend server.
func (c Candidate) DataCentre() membership.DataCentre { return c.dataCentre }

// Slots returns the number of requests that the backend server announced it can run at once, at least 1.
func (c Candidate) Slots() int { return c.slots }

// Result is how a call to an endpoint ended.
type Result int

// The results of a call.
const (
	// ResultAnswered means that the backend server answered.
	ResultAnswered Result = iota
	// ResultRefused means that the call was refused: by the daemon before it ran, or by a server that sheds load.
	ResultRefused
	// ResultFailed means that no answer arrived.
	ResultFailed
	// ResultCancelled means that the call was cancelled, or its deadline passed, before it ended.
	ResultCancelled
)

// observation is what this entry daemon has recorded about one endpoint.
type observation struct {
	// outstanding holds the calls in flight by their number.
	outstanding map[uint64]outstandingCall
	// latency is the moving average of the latencies of answers and of the ages of cancelled calls that were above the
	// average. Both kinds count in samples.
	latency time.Duration
	samples int
	// failures and ejections are counted since the last answer; an ejection resets failures.
	failures  int
	ejections int
	// ejectedUntil and overloadedUntil are when the endpoint may be picked again after failures or a refusal.
	ejectedUntil    time.Time
	overloadedUntil time.Time
	// isOnProbation allows one call at a time from the end of an ejection until an answer arrives.
	isOnProbation bool
	lastUsed      time.Time
	// load is the last reported load, received at loadReceived.
	load         float64
	loadReceived time.Time
}

// outstandingCall is a call that has not ended. Once its answer has begun it no longer counts as a possible stall.
type outstandingCall struct {
	started    time.Time
	isAnswered bool
}

// oldestUnanswered returns the age of the oldest call whose answer has not begun, or 0 if there is none.
func (o *observation) oldestUnanswered(now time.Time) time.Duration {
	var age time.Duration
	for _, c := range o.outstanding {
		if !c.isAnswered {
			age = max(age, now.Sub(c.started))
		}
	}
	return age
}

// isEjected reports whether the endpoint takes no call now: it is ejected, or on probation with a call in flight.
func (o *observation) isEjected(now time.Time) bool {
	if now.Before(o.ejectedUntil) {
		return true
	}
	return o.isOnProbation && len(o.outstanding) > 0
}
