package owner

import (
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

// RecordDrain applies the report of another daemon that an incarnation of the backend server has announced its drain to
// this daemon. This daemon does not know of the drain any more if it restarted since, and an earlier announcement may
// still arrive. The report is stored as unmatchedDrain unless the stored one has a later Born.
func (o *Owner) RecordDrain(s member.Server) {
	o.mu.Lock()
	if s.Born >= o.unmatchedDrain.Born {
		o.unmatchedDrain = s
	}
	isDraining := o.hasUnmatchedDrain(o.server)
	o.mu.Unlock()
	if isDraining {
		o.Drain(s.ID)
	}
}

// hasUnmatchedDrain reports whether an incarnation counts as draining because of unmatchedDrain; the caller holds the
// lock.
func (o *Owner) hasUnmatchedDrain(s member.Server) bool {
	return s.ID != "" && s.ID == o.unmatchedDrain.ID && s.Born <= o.unmatchedDrain.Born
}

// Drain starts the drain of the backend server with an ID, which has announced it, and reports whether its state
// changed.
//
// A daemon that has restarted may not know the ID yet. It then stores the drain as unmatchedDrain, so that a late
// announcement of an incarnation that started before counts as draining. The two times are comparable, because the
// start of an incarnation and the time of this call come from the clock of the same instance.
func (o *Owner) Drain(id string) bool {
	o.mu.Lock()
	if o.server.ID != id {
		o.unmatchedDrain = member.Server{ID: id, Born: time.Now().UnixMilli()}
		o.mu.Unlock()
		o.Logger.Info("owner: drain of an unknown backend server", "server", id)
		return false
	}
	if o.server.State == member.Draining {
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
