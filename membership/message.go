package membership

// Probe asks a member whether it is alive and carries gossip.
type Probe struct {
	From        ID
	Incarnation uint64
	Gossip      []Record
	Reach       []ReachRecord
}

// Ack answers a probe and carries gossip.
type Ack struct {
	From   ID
	Gossip []Record
	Reach  []ReachRecord
}

// Event is a change of the membership for the time line.
type Event struct {
	kind   EventKind
	record Record
}

// EventKind classifies a change of the membership.
type EventKind string

// The kinds of membership event.
const (
	EventJoined    EventKind = "member-joined"
	EventUpdated   EventKind = "member-updated"
	EventSuspected EventKind = "member-suspected"
	EventCleared   EventKind = "member-cleared"
	EventRemoved   EventKind = "member-removed"
	EventLeft      EventKind = "member-left"
	// EventRefuted tells that this instance was suspected or removed by others and raised its incarnation.
	EventRefuted EventKind = "self-refuted"
	// EventCentreLost and EventCentreBack tell that a whole data centre can't be reached, and can be again.
	EventCentreLost EventKind = "data-centre-lost"
	EventCentreBack EventKind = "data-centre-back"
	// EventPaused tells that this instance ran no step for several periods.
	EventPaused EventKind = "self-paused"
)

// Kind returns the class of the event.
func (e Event) Kind() EventKind { return e.kind }

// Record returns the record after the change.
func (e Event) Record() Record { return e.record }

// Action is what the shell has to do after a step.
type Action struct {
	target  Record
	helpers []Record
}

// Target returns the member to probe.
func (a Action) Target() Record { return a.target }

// Helpers returns the members to probe through; none means a direct probe.
func (a Action) Helpers() []Record { return a.helpers }
