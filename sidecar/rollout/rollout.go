package rollout

// State is the state of a roll-out.
type State int

// The states of a roll-out.
const (
	// Running means that the target version is judged or that the requests are being moved.
	Running State = iota
	// Completed means that all requests go to the target version.
	Completed
	// RolledBack means that the target version gets no requests any more.
	RolledBack
)

// String returns the state for logs.
func (s State) String() string {
	switch s {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	}
	return "running"
}

// Step is one decision of a roll-out. The zero value is that of an order of which no step is known yet.
type Step struct {
	// State is final unless it is Running.
	State State
	// Number grows by one with each step of a roll-out, from 1.
	Number uint64
	// Share is the mean share of the requests for the target version, from 0 to 1.
	Share float64
	// Reason says why the roll-out was rolled back; it is empty for other steps.
	Reason string
}

// IsEnded reports whether no further step follows.
func (s Step) IsEnded() bool { return s.State != Running }

// rollBack returns the step that follows when the target version is bad.
func (s Step) rollBack(reason string) Step {
	return Step{State: RolledBack, Number: s.Number + 1, Reason: reason}
}

// Rollout is an order with the latest step that is known.
type Rollout struct {
	Order Order
	Step  Step
	// IsStored is true if the step is known to be on the store. Only a rolled back one may spread before it is.
	IsStored bool
}

// RollBack returns the roll-out with the step that a bad target version calls for, which is not on the store yet. One that
// has ended stays as it is.
func (r Rollout) RollBack(reason string) Rollout {
	if r.Step.IsEnded() {
		return r
	}
	r.Step, r.IsStored = r.Step.rollBack(reason), false
	return r
}

// Supersedes reports whether this roll-out replaces another one of the same service: its order is newer, or its step of
// the same order is later. An ended step is later than any running one, and of two ended ones that on the store.
func (r Rollout) Supersedes(o Rollout) bool {
	if !r.Order.IsSame(o.Order) {
		return r.Order.IsNewer(o.Order)
	}
	if a, b := r.rank(), o.rank(); a != b {
		return a > b
	}
	return r.Step.Number > o.Step.Number
}

// rank orders steps of the same order.
func (r Rollout) rank() int {
	switch {
	case !r.Step.IsEnded():
		return 0
	case !r.IsStored:
		return 1
	}
	return 2
}
