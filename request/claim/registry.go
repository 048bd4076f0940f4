package claim

import "time"

// State is the state of an attempt as its daemon, the holder of the claim, knows it.
type State string

// The states of an attempt.
const (
	// StateUnknown means that the daemon has no record of the attempt, for example after a restart.
	StateUnknown State = "unknown"
	// StateRunning means that the attempt has not ended: the request has been dispatched or still may be.
	StateRunning State = "running"
	// StateAnswered means that the backend server answered.
	StateAnswered State = "answered"
	// StateFailed means that the request was dispatched and no whole response arrived.
	StateFailed State = "failed"
	// StateAbandoned means that the request was not dispatched and this attempt never will dispatch it.
	StateAbandoned State = "abandoned"
)

const (
	// attemptLifetime is how long an ended attempt is kept.
	attemptLifetime = time.Hour
	// maximumAttempts is the number of attempts above which ended ones are removed before attemptLifetime.
	maximumAttempts = 20000
)

// attempt is the state of an attempt, and the time of its end unless it is running.
type attempt struct {
	state State
	ended time.Time
}

// Registry holds the states of the attempts of one daemon. It is not safe for concurrent use.
type Registry struct {
	attempts map[Token]attempt
	// order lists the attempts in the order of their Begin.
	order []Token
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{attempts: map[Token]attempt{}} }

// Begin adds an attempt as running. It has to be called before the claim is written, since a daemon that reads the
// claim may ask for the state at once.
func (r *Registry) Begin(now time.Time, t Token) {
	r.expire(now)
	r.attempts[t] = attempt{state: StateRunning}
	r.order = append(r.order, t)
}

// End sets the final state of an attempt; it has no effect on one that has ended.
func (r *Registry) End(now time.Time, t Token, s State) {
	if a, ok := r.attempts[t]; ok && a.state == StateRunning {
		r.attempts[t] = attempt{state: s, ended: now}
	}
}

// Find returns the state of an attempt, StateUnknown if the registry does not hold it.
func (r *Registry) Find(t Token) State {
	if a, ok := r.attempts[t]; ok {
		return a.state
	}
	return StateUnknown
}

// expire removes attempts, the oldest first, up to the first one that has to stay.
//
// One is removed if it ended more than attemptLifetime ago, or if it has ended and there are more than maximumAttempts.
func (r *Registry) expire(now time.Time) {
	for len(r.order) > 0 {
		a := r.attempts[r.order[0]]
		isOld := a.state != StateRunning && now.Sub(a.ended) > attemptLifetime
		isSurplus := a.state != StateRunning && len(r.order) > maximumAttempts
		if !isOld && !isSurplus {
			return
		}
		delete(r.attempts, r.order[0])
		r.order = r.order[1:]
	}
}
