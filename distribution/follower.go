package distribution

import (
	"math/rand/v2"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/membership"
)

// Timing holds the intervals of a follower.
type Timing struct {
	// Poll is the mean time between two reads of the head by one relay.
	Poll time.Duration
	// PullTimeout is the time after which a pull is given up.
	PullTimeout time.Duration
}

// DefaultTiming is the timing in production.
var DefaultTiming = Timing{Poll: time.Second, PullTimeout: 2 * time.Second}

// Step is what the shell has to do next.
type Step struct {
	kind StepKind
	from membership.ID
}

// StepKind classifies a step.
type StepKind int

// The kinds of step.
const (
	// StepNone asks for nothing.
	StepNone StepKind = iota
	// StepPull asks for the changes that a peer holds.
	StepPull
	// StepReadHead asks for a strong read of the head in the store.
	StepReadHead
)

// Kind returns the class of the step.
func (s Step) Kind() StepKind { return s.kind }

// From returns the peer to pull from.
func (s Step) From() membership.ID { return s.from }

// Follower decides when one daemon pulls from a peer and when it reads the store.
//
// It is not safe for concurrent use; the shell serialises its calls.
type Follower struct {
	// Timing and Random are set before the first call.
	Timing Timing
	Random *rand.Rand

	inForce  declaration.Version
	pulling  bool
	deadline time.Time
	nextPoll time.Time
}

// NewFollower returns a follower that holds no version.
func NewFollower(t Timing, r *rand.Rand) *Follower { return &Follower{Timing: t, Random: r} }

// HandleInForce notes the version that the daemon has put in force.
func (f *Follower) HandleInForce(v declaration.Version) {
	f.inForce = max(f.inForce, v)
}

// HandleHeard is told the version that a peer holds and asks for a pull when it is newer.
func (f *Follower) HandleHeard(now time.Time, from membership.ID, v declaration.Version) Step {
	if v <= f.inForce || f.pulling && now.Before(f.deadline) {
		return Step{}
	}
	f.pulling = true
	f.deadline = now.Add(f.Timing.PullTimeout)
	return Step{kind: StepPull, from: from}
}

// HandlePulled notes that a pull has ended, with or without success.
func (f *Follower) HandlePulled() { f.pulling = false }

// Tick asks a relay for a read of the head at random intervals around the poll time.
func (f *Follower) Tick(now time.Time, isRelay bool) Step {
	if !isRelay || now.Before(f.nextPoll) {
		return Step{}
	}
	f.nextPoll = now.Add(f.Timing.Poll/2 + time.Duration(f.Random.Int64N(int64(f.Timing.Poll))))
	return Step{kind: StepReadHead}
}
