package membership

// Probe asks a member whether it is alive, and carries gossip.
type Probe struct {
	From ID
	// Incarnation is the sender's own, so that the receiver sees whether it holds a later one.
	Incarnation uint64
	Gossip      []Record
	Reach       []ReachRecord
}

// Ack answers a probe, and carries gossip.
type Ack struct {
	From   ID
	Gossip []Record
	Reach  []ReachRecord
}

// Event is a change of the membership, which the daemon records in its timeline.
type Event struct {
	kind   EventKind
	record Record
}

// EventKind classifies a change of the membership.
type EventKind string

// The kinds of membership event. Those that begin with "member-" are about the status of another instance.
const (
	EventJoined EventKind = "member-joined"
	// EventUpdated says that a serving member announced a new record.
	EventUpdated   EventKind = "member-updated"
	EventSuspected EventKind = "member-suspected"
	// EventCleared says that a suspected member refuted the suspicion.
	EventCleared EventKind = "member-cleared"
	// EventDead says that a member counts as dead.
	EventDead EventKind = "member-removed"
	EventLeft EventKind = "member-left"
	// EventRefuted says that others held a record of this instance that it hadn't announced, such as one that suspects
	// it, and that it raised its incarnation to replace it.
	EventRefuted EventKind = "self-refuted"
	// EventCentreLost and EventCentreBack say that a whole data centre became unreachable, and reachable again.
	EventCentreLost EventKind = "data-centre-lost"
	EventCentreBack EventKind = "data-centre-back"
	// EventPaused says that this instance ran no Tick for several periods, as in a suspended process.
	EventPaused EventKind = "self-paused"
)

// Kind returns what kind of change the event is.
func (e Event) Kind() EventKind { return e.kind }

// Record returns the member's record after the change. For EventRefuted it is the record that was refuted, for
// EventPaused this instance's own, and for a data centre a record with its name as ID and DataCentre.
func (e Event) Record() Record { return e.record }

// Action is a probe that a call of Machine asks the daemon to send: direct, or through helpers that probe the target.
type Action struct {
	target  Record
	helpers []Record
}

// Target returns the member to probe.
func (a Action) Target() Record { return a.target }

// Helpers returns the members to ask for an indirect probe; none means a direct probe.
func (a Action) Helpers() []Record { return a.helpers }
