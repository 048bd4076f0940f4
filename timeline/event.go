package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind classifies an event.
type Kind string

// The kinds of event, besides those of the membership.
const (
	KindStarted            Kind = "started"
	KindStopping           Kind = "stopping"
	KindVersionAccepted    Kind = "version-accepted"
	KindVersionReceived    Kind = "version-received"
	KindVersionRefused     Kind = "version-refused"
	KindVersionInForce     Kind = "version-in-force"
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

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Instance string `json:"instance"`
	Kind     Kind   `json:"kind"`
	Version  uint64 `json:"version,omitempty"`
	Subject  string `json:"subject,omitempty"`
	Detail   string `json:"detail,omitempty"`
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
	next   int
}

// Record stamps an event and keeps it, in place of the oldest one when the recorder is full.
func (r *Recorder) Record(e Event) {
	e.Stamp = r.Clock.Stamp()
	e.Instance = r.Instance
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % Capacity
}

// Filter selects events; zero fields select all.
type Filter struct {
	Kinds    []Kind
	Instance string
	Since    time.Time
	Limit    int
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(e Event) bool {
	if len(f.Kinds) > 0 && !slices.Contains(f.Kinds, e.Kind) {
		return false
	}
	if f.Instance != "" && f.Instance != e.Instance {
		return false
	}
	return f.Since.IsZero() || !e.Stamp.Time().Before(f.Since)
}

// Events returns the newest events that match, in order of their stamps.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	all := slices.Concat(r.events[r.next:], r.events[:r.next])
	r.mu.Unlock()
	matching := slices.DeleteFunc(all, func(e Event) bool { return !f.Matches(e) })
	return f.newest(matching)
}

func (f Filter) newest(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Merge returns the events of several instances in causal order, equal stamps by instance.
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
