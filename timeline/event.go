package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// The kinds of event besides the values of membership.EventKind, which are recorded as kinds too.
const (
	KindStarted            Kind = "started"
	KindStopping           Kind = "stopping"
	KindVersionAccepted    Kind = "version-accepted"
	KindVersionReceived    Kind = "version-received"
	KindVersionRefused     Kind = "version-refused"
	KindVersionInForce     Kind = "version-in-force"
	KindVersionRestored    Kind = "version-restored"
	KindSubmissionRefused  Kind = "submission-refused"
	KindRelayChanged       Kind = "relay-changed"
	KindStoreDown          Kind = "store-down"
	KindStoreBack          Kind = "store-back"
	KindBackendAnnounced   Kind = "backend-announced"
	KindBackendExpired     Kind = "backend-expired"
	KindBackendCrashed     Kind = "backend-crashed"
	KindDraining           Kind = "draining"
	KindEndpointEjected    Kind = "endpoint-ejected"
	KindRequestRefused     Kind = "request-refused"
	KindRequestQuarantined Kind = "request-quarantined"
	KindRequestReleased    Kind = "request-released"
)

// Event is one entry of the timeline.
type Event struct {
	// Stamp and Instance are set by Recorder.Record.
	Stamp    Stamp  `json:"stamp"`
	Instance string `json:"instance"`
	Kind     Kind   `json:"kind"`
	// Version is the version of the configuration that the event is about, or 0.
	Version uint64 `json:"version,omitempty"`
	// Subject names what the event is about, such as an instance, a backend server or an operator.
	Subject string `json:"subject,omitempty"`
	// Detail adds to the kind, for example an error text or an address.
	Detail string `json:"detail,omitempty"`
}

// Capacity is the number of events that one instance keeps.
const Capacity = 4096

// Recorder keeps the newest events of one instance; it is safe for concurrent use.
type Recorder struct {
	// Instance and Clock are set before the first event.
	Instance string
	Clock    *Clock

	mu     sync.Mutex
	events []Event
	// oldest is the index of the oldest event: events is a ring once it holds Capacity events.
	oldest int
}

// Record stamps an event and keeps it. It replaces the oldest event when there are Capacity events.
func (r *Recorder) Record(e Event) {
	e.Stamp = r.Clock.Stamp()
	e.Instance = r.Instance
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % Capacity
}

// Filter selects events; a field that is zero selects all.
type Filter struct {
	Kinds    []Kind
	Instance string
	// Since selects the events at this time or later.
	Since time.Time
	// Limit is the largest number of events; the newest ones are selected.
	Limit int
}

// Matches reports whether the filter selects an event, apart from Limit.
func (f Filter) Matches(e Event) bool {
	if len(f.Kinds) > 0 && !slices.Contains(f.Kinds, e.Kind) {
		return false
	}
	if f.Instance != "" && f.Instance != e.Instance {
		return false
	}
	return f.Since.IsZero() || !e.Stamp.Time().Before(f.Since)
}

// Events returns the events that the filter selects, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	all := slices.Concat(r.events[r.oldest:], r.events[:r.oldest])
	r.mu.Unlock()
	matching := slices.DeleteFunc(all, func(e Event) bool { return !f.Matches(e) })
	return f.newest(matching)
}

// newest returns the last events of a list, up to Limit.
func (f Filter) newest(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Merge returns the events of several instances in causal order, those with equal stamps in order of instance. Of the
// filter it applies only Limit.
func Merge(f Filter, lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return f.newest(all)
}
