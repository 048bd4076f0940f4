package owner

import (
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

// maximumDrains bounds the drains that an owner remembers, those of the latest servers.
const maximumDrains = 64

// drains are drains by the ID of the backend server: all its incarnations that started at the value or before, in
// milliseconds since 1970, count as draining.
type drains map[string]int64

// add adds a drain and forgets the one of the earliest server if there are more than maximumDrains.
func (d drains) add(id string, born int64) {
	d[id] = max(d[id], born)
	if len(d) <= maximumDrains {
		return
	}
	earliest := id
	for other, b := range d {
		if b < d[earliest] {
			earliest = other
		}
	}
	delete(d, earliest)
}

// has reports whether an incarnation counts as draining.
func (d drains) has(s member.Server) bool {
	born, ok := d[s.ID]
	return ok && s.Born <= born
}

// RecordDrain applies the report of another daemon, or of the store, that an incarnation of the backend server has
// announced its drain to this daemon. This daemon does not know of the drain any more if it restarted since, and an earlier
// announcement may still arrive.
func (o *Owner) RecordDrain(s member.Server) {
	o.mu.Lock()
	o.drains.add(s.ID, s.Born)
	isDraining := o.drains.has(o.server)
	o.mu.Unlock()
	if isDraining {
		o.drain(s.ID)
	}
}

// Drain starts the drain of the backend server with an ID, which has announced it, and reports whether its state
// changed.
//
// A daemon that has restarted may not know the ID yet. It then remembers the drain, so that a late announcement of an
// incarnation that started before counts as draining. The two times are comparable, because the start of an incarnation
// and the time of this call come from the clock of the same instance.
func (o *Owner) Drain(id string) bool {
	o.mu.Lock()
	leaving := o.server
	isKnown := leaving.ID == id
	if !isKnown {
		leaving = member.Server{ID: id, Born: time.Now().UnixMilli()}
		o.drains.add(id, leaving.Born)
	}
	o.mu.Unlock()
	if !isKnown {
		o.Logger.Info("owner: drain of an unknown backend server", "server", id)
	}
	isChanged := o.drain(id)
	o.leave(leaving)
	return isChanged
}

// leave passes on that a backend server has announced its drain.
func (o *Owner) leave(s member.Server) {
	if o.OnLeave != nil {
		o.OnLeave(s)
	}
}

// drain starts the drain of the backend server if it has the ID, and reports whether its state changed.
func (o *Owner) drain(id string) bool {
	o.mu.Lock()
	if o.server.ID != id || o.server.State == member.Draining {
		o.mu.Unlock()
		return false
	}
	o.server.State = member.Draining
	o.notify(o.slots.Drain())
	o.mu.Unlock()
	o.Logger.Info("owner: backend server drains", "server", id)
	o.OnChange()
	return true
}

// Refuse makes the owner refuse all reservations and calls from now on, since this daemon is about to end. Requests that
// wait are refused as well; those that have a slot run.
func (o *Owner) Refuse() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isRefusing = true
	o.notify(o.slots.Drain())
}

// StopBy tells the owner that this daemon ends at the time end. A request whose usual service no longer fits is refused
// from then on, and one that runs gets no more time than that.
func (o *Owner) StopBy(end time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.end = end
}

// Expire ends the calls that run as if their deadlines had passed, so that each returns the answer that has arrived, or
// that there is none, before this daemon ends.
func (o *Owner) Expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, tc := range o.calls {
		if tc.expire != nil {
			tc.expire()
		}
	}
}

// isTooLate reports whether the usual service of a request does not fit before the end of this daemon; the caller holds
// the lock.
func (o *Owner) isTooLate(now time.Time, route string) bool {
	return !o.end.IsZero() && now.Add(serviceFactor*o.slots.ServiceTime(route)).After(o.end)
}

// timeLeft returns the time until the deadline of a request, or until the end of this daemon if that is earlier; the
// caller holds the lock.
func (o *Owner) timeLeft(now time.Time, q message.Job) time.Duration {
	if o.end.IsZero() {
		return q.Deadline
	}
	return min(q.Deadline, o.end.Sub(now))
}

// serviceFactor is the multiple of the usual service time of a route that must be left before the end of this daemon, so
// that a request gets a slot.
const serviceFactor = 2
