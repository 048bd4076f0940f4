package claim

import "time"

// State is what the holder of a claim knows of its own attempt.
type State string

// The states of an attempt.
const (
	// StateUnknown means that the daemon knows nothing of the attempt, as after a restart.
	StateUnknown State = "unknown"
	// StateRunning means that the attempt may be dispatched or has been.
	StateRunning State = "running"
	// StateAnswered means that the backend server answered.
	StateAnswered State = "answered"
	// StateFailed means that the attempt was dispatched and no whole answer came.
	StateFailed State = "failed"
	// StateAbandoned means that the attempt was not dispatched and never will be.
	StateAbandoned State = "abandoned"
)

const (
	// registryLifetime is how long an ended attempt is remembered.
	registryLifetime = time.Hour
	// registrySize bounds the remembered attempts.
	registrySize = 20000
)

type attempt struct {
	state State
	ended time.Time
}

// Registry remembers the attempts of one daemon; the shell serialises its calls.
type Registry struct {
	attempts map[Token]attempt
	order    []Token
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{attempts: map[Token]attempt{}} }

// Begin notes an attempt before its claim is written.
func (r *Registry) Begin(now time.Time, t Token) {
	r.expire(now)
	r.attempts[t] = attempt{state: StateRunning}
	r.order = append(r.order, t)
}

// End notes how an attempt ended; an end is final.
func (r *Registry) End(now time.Time, t Token, s State) {
	if a, ok := r.attempts[t]; ok && a.state == StateRunning {
		r.attempts[t] = attempt{state: s, ended: now}
	}
}

// Find returns the state of an attempt.
func (r *Registry) Find(t Token) State {
	if a, ok := r.attempts[t]; ok {
		return a.state
	}
	return StateUnknown
}

// expire forgets the oldest attempts that ended long ago, and any ended ones beyond the bound.
func (r *Registry) expire(now time.Time) {
	for len(r.order) > 0 {
		a := r.attempts[r.order[0]]
		isOld := a.state != StateRunning && now.Sub(a.ended) > registryLifetime
		isSurplus := a.state != StateRunning && len(r.order) > registrySize
		if !isOld && !isSurplus {
			return
		}
		delete(r.attempts, r.order[0])
		r.order = r.order[1:]
	}
}
