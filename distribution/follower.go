package distribution

import (
	"math/rand/v2"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/membership"
)

// Timing holds the intervals of a follower.
type Timing struct {
	// Poll is the mean time between two reads by one relay of the head, the newest version in the store.
	Poll time.Duration
	// PullTimeout is the time after which a pull is given up and another may start.
	PullTimeout time.Duration
}

// DefaultTiming is the timing in production.
var DefaultTiming = Timing{Poll: time.Second, PullTimeout: 2 * time.Second}

// Step is what the daemon has to do after a call of Follower.
type Step struct {
	kind StepKind
	from membership.ID
}

// StepKind says what a step asks for.
type StepKind int

// The kinds of step.
const (
	// StepNone asks for nothing.
	StepNone StepKind = iota
	// StepPull asks for a pull of the changes that a peer holds.
	StepPull
	// StepReadHead asks for a strong read of the head in the store.
	StepReadHead
)

// Kind returns what the step asks for.
func (s Step) Kind() StepKind { return s.kind }

// From returns the peer to pull from; it is empty unless the kind is StepPull.
func (s Step) From() membership.ID { return s.from }

// Follower decides when one daemon pulls from a peer and when it reads the store.
//
// It is not safe for concurrent use: the daemon calls its methods under a lock.
type Follower struct {
	// Timing and Random are set before the first call of a method; Random spreads the polls of the relays.
	Timing Timing
	Random *rand.Rand

	inForce   declaration.Version
	isPulling bool
	// pullDeadline is when a pull that has not ended counts as given up, so that another may start.
	pullDeadline time.Time
	nextPoll     time.Time
}

// NewFollower returns a follower that holds no version.
func NewFollower(t Timing, r *rand.Rand) *Follower { return &Follower{Timing: t, Random: r} }

// HandleInForce records the version that the daemon has in force; an older one than before is ignored.
func (f *Follower) HandleInForce(v declaration.Version) {
	f.inForce = max(f.inForce, v)
}

// HandlePeerVersion takes the version that a peer has and returns a pull from it when that version is newer than the
// one in force and no other pull is under way.
func (f *Follower) HandlePeerVersion(now time.Time, from membership.ID, v declaration.Version) Step {
	if v <= f.inForce || f.isPulling && now.Before(f.pullDeadline) {
		return Step{}
	}
	f.isPulling = true
	f.pullDeadline = now.Add(f.Timing.PullTimeout)
	return Step{kind: StepPull, from: from}
}

// HandlePulled records that a pull has ended, with or without success, so that another may start.
func (f *Follower) HandlePulled() { f.isPulling = false }

// Tick returns a read of the head when this daemon is a relay and a read is due. The interval is random, from half to
// one and a half times Timing.Poll.
func (f *Follower) Tick(now time.Time, isRelay bool) Step {
	if !isRelay || now.Before(f.nextPoll) {
		return Step{}
	}
	f.nextPoll = now.Add(f.Timing.Poll/2 + time.Duration(f.Random.Int64N(int64(f.Timing.Poll))))
	return Step{kind: StepReadHead}
}
