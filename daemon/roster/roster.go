package roster

import (
	"sync"
	"time"

	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/timeline"
)

// Roster guards a membership machine with a lock, which is the last in the lock order and is never held during I/O.
type Roster struct {
	// Machine and Recorder are set before use.
	Machine  *membership.Machine
	Recorder *timeline.Recorder

	mu sync.Mutex
	// relays are the relays of the own data centre, as of the value relaysComputedAt of Machine.Revision.
	relays           []membership.Record
	relaysComputedAt uint64
	index            index
}

// Update runs one step of the machine under the lock, and records the events and the changed instances that it causes.
func (r *Roster) Update(step func(m *membership.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step(r.Machine)
	r.recordChanges()
}

// recordChanges marks the instances that changed in the index and records the events of the machine in the timeline.
func (r *Roster) recordChanges() {
	r.index.markChanged(r.Machine.TakeChangedIDs())
	for _, e := range r.Machine.TakeEvents() {
		r.Recorder.Record(timeline.Event{
			Kind:    timeline.Kind(e.Kind()),
			Subject: string(e.Record().ID),
			Detail:  string(e.Record().DataCentre),
		})
	}
}

// Self returns the daemon's own record.
func (r *Roster) Self() membership.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Machine.Self()
}

// Find returns the record of an instance, and false when the instance is not known.
func (r *Roster) Find(id membership.ID) (membership.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Machine.Find(id)
}

// ServingIn returns the serving members of a data centre.
func (r *Roster) ServingIn(d membership.DataCentre) []membership.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Machine.ServingIn(d)
}

// Serving returns all serving members.
func (r *Roster) Serving() []membership.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Machine.Serving()
}

// DataCentres returns the data centres with serving members.
func (r *Roster) DataCentres() []membership.DataCentre {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Machine.DataCentres()
}

// Relays returns the relays of a data centre.
func (r *Roster) Relays(d membership.DataCentre) []membership.Record {
	return distribution.Relays(r.ServingIn(d), d)
}

// IsLost reports whether a data centre can't be reached from the own one.
func (r *Roster) IsLost(d membership.DataCentre) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Machine.IsLost(d)
}

// IsRelay reports whether this daemon is a relay of its data centre, and records an event when that has changed.
func (r *Roster) IsRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.Machine.Self()
	if r.relaysComputedAt != r.Machine.Revision() {
		wasRelay := distribution.IsRelay(r.relays, self.ID)
		r.relays = distribution.Relays(r.Machine.ServingIn(self.DataCentre), self.DataCentre)
		r.relaysComputedAt = r.Machine.Revision()
		r.recordRelayChange(wasRelay, distribution.IsRelay(r.relays, self.ID))
	}
	return distribution.IsRelay(r.relays, self.ID)
}

// recordRelayChange records an event when this daemon became a relay or ceased to be one.
func (r *Roster) recordRelayChange(wasRelay, isRelay bool) {
	if wasRelay == isRelay {
		return
	}
	detail := "became relay"
	if wasRelay {
		detail = "is no longer relay"
	}
	r.Recorder.Record(timeline.Event{Kind: timeline.KindRelayChanged, Subject: string(r.Machine.Self().ID), Detail: detail})
}

// Announce replaces the backend servers that this daemon announces to the other members.
func (r *Roster) Announce(servers []membership.BackendServer) {
	r.Update(func(m *membership.Machine) {
		m.Announce(time.Now(), servers)
	})
}
