package routing

import (
	"time"

	"siskinspar.example/membership"
)

// Endpoint identifies a backend server by the instance beside it and its name.
type Endpoint struct {
	Instance membership.ID
	Backend  string
}

// Candidate is an endpoint that may serve a call.
type Candidate struct {
	endpoint   Endpoint
	address    string
	dataCentre membership.DataCentre
	slots      int
}

// NewCandidate returns a candidate with the peer address of its daemon and its number of slots.
func NewCandidate(e Endpoint, address string, d membership.DataCentre, slots int) Candidate {
	return Candidate{endpoint: e, address: address, dataCentre: d, slots: max(1, slots)}
}

// Endpoint returns the backend server.
func (c Candidate) Endpoint() Endpoint { return c.endpoint }

// Address returns the peer address of the daemon beside the backend server.
func (c Candidate) Address() string { return c.address }

// DataCentre returns where the backend server is.
func (c Candidate) DataCentre() membership.DataCentre { return c.dataCentre }

// Slots returns the announced number of slots.
func (c Candidate) Slots() int { return c.slots }

// Result tells how a call to an endpoint ended.
type Result int

// The results of a call.
const (
	// ResultAnswered means that the backend server answered.
	ResultAnswered Result = iota
	// ResultRefused means that the daemon beside it refused the call before it ran.
	ResultRefused
	// ResultFailed means that no answer came.
	ResultFailed
	// ResultCancelled means that the call was given up by its caller.
	ResultCancelled
)

// observation is what this entry daemon has seen of one endpoint.
type observation struct {
	outstanding  map[uint64]outstandingCall
	latency      time.Duration
	samples      int
	failures     int
	ejections    int
	ejectedUntil time.Time
	fullUntil    time.Time
	isProbation  bool
	seen         time.Time
	load         float64
	loadAt       time.Time
}

// outstandingCall is a call that has not ended; once its answer has begun it no longer shows a stall.
type outstandingCall struct {
	started    time.Time
	isAnswered bool
}

func (o *observation) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, c := range o.outstanding {
		if !c.isAnswered {
			age = max(age, now.Sub(c.started))
		}
	}
	return age
}

func (o *observation) isEjected(now time.Time) bool {
	if now.Before(o.ejectedUntil) {
		return true
	}
	return o.isProbation && len(o.outstanding) > 0
}
