package placement

import (
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/route"
)

const (
	// otherCentreDelay is what a backend server in another data centre adds to the expected time of a request.
	otherCentreDelay = 12 * time.Millisecond
	// otherCentreDelayPerKilobyte is added to it for each kilobyte of the request and its answer, because the bytes
	// between data centres are costly.
	otherCentreDelayPerKilobyte = 10 * time.Millisecond
	// maximumOtherCentreDelay bounds both together, so that a large request still leaves a data centre that is full.
	maximumOtherCentreDelay = 160 * time.Millisecond
	// sameCentreDelay is what another instance of the own data centre adds.
	sameCentreDelay = 2 * time.Millisecond
	// unknownLargeSize is the size in bytes that is assumed for a request with a large body or answer before one of its
	// route was answered.
	unknownLargeSize = 50 << 10
	// unknownSmallSize is the same for other requests.
	unknownSmallSize = 1 << 10
	bytesPerKilobyte = 1 << 10
)

// Transfer describes what a request moves between the entry daemon and the owner.
type Transfer struct {
	Kind route.Kind
	// Size is the usual number of bytes of a request of the route and its answer, or 0 if it is unknown.
	Size int
	// AnswerTime is the usual time until an answer of the route, or 0 if it is unknown.
	AnswerTime time.Duration
	// Backlog is how long a large body would wait for the link of the entry daemon's instance.
	Backlog time.Duration
}

// size returns the expected number of bytes.
func (t Transfer) size() int {
	switch {
	case t.Size > 0:
		return t.Size
	case t.Kind.IsLarge():
		return unknownLargeSize
	}
	return unknownSmallSize
}

// answerTime returns the expected time until an answer of a backend server with a relative time of 1.
func (t Transfer) answerTime() time.Duration {
	if t.AnswerTime > 0 {
		return t.AnswerTime
	}
	return referenceServiceTime
}

// isDownload reports whether the answer is large, so that the link of the owner's instance matters.
func (t Transfer) isDownload() bool { return t.Kind == route.Download }

// delay returns what the network adds to the time of a request at a backend server, both ways, including the wait for
// the link that a large body or answer has to take. The distance counts more the more bytes there are.
func (t Transfer) delay(p *Placer, c member.Candidate) time.Duration {
	if c.Address == p.Address {
		return 0
	}
	wait := time.Duration(0)
	switch t.Kind {
	case route.Download:
		wait = c.Load.Backlog
	case route.Upload:
		wait = t.Backlog
	}
	if c.DataCentre == p.DataCentre {
		return sameCentreDelay + wait
	}
	distance := otherCentreDelay + otherCentreDelayPerKilobyte*time.Duration(t.size())/bytesPerKilobyte
	return min(maximumOtherCentreDelay, distance) + wait
}
