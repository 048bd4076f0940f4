package owner

import (
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/slot"
	"siskinspar.example/sidecar/upstream"
)

// clockTolerance is how far the clock of an instance may go back after the start of its backend server.
const clockTolerance = time.Minute

// checkAnnouncement returns an error if the backend server beside the daemon can't have made an announcement: it is of
// another service, or of a start in the future, which would hide each true one.
func (o *Owner) checkAnnouncement(now time.Time, s member.Server) error {
	if o.Service != "" && s.Service != o.Service {
		return eris.Errorf("service %q, but the instance is of service %q", s.Service, o.Service)
	}
	if latest := now.Add(clockTolerance).UnixMilli(); s.Born > latest {
		return eris.Errorf("the start %d is after %d", s.Born, latest)
	}
	return nil
}

// Announce applies an announcement of the backend server and reports whether its ID, state or incarnation changed.
//
// An announcement of an earlier incarnation or with an earlier sequence number changes nothing, and neither does any
// announcement of an incarnation that drains. A drain applies whatever its sequence number, since an incarnation that
// drains does not become ready again. An announcement that the server beside the daemon can't have made is ignored.
func (o *Owner) Announce(s member.Server) bool {
	if err := o.checkAnnouncement(time.Now(), s); err != nil {
		o.Logger.Warn("owner: announcement ignored", "server", s.ID, "error", err)
		return false
	}
	isChanged := o.apply(s)
	if s.State == member.Draining {
		o.leave(s)
	}
	return isChanged
}

// apply applies an announcement of the server beside the daemon and reports whether its ID, state or incarnation changed.
func (o *Owner) apply(s member.Server) bool {
	o.mu.Lock()
	previous := o.server
	if o.drains.has(s) {
		s.State = member.Draining
	}
	switch {
	case previous.ID != "" && s.Born < previous.Born:
		o.mu.Unlock()
		return false
	case s.Born == previous.Born && s.ID == previous.ID:
		isLate := s.Sequence <= previous.Sequence && s.State != member.Draining
		if previous.State == member.Draining || isLate {
			o.mu.Unlock()
			return false
		}
		o.server = s
	default:
		o.replaceServer(s)
	}
	o.slots.SetSlots(s.Slots + o.ExtraRequests)
	if s.State == member.Draining {
		o.notify(o.slots.Drain())
	}
	o.unreachableUntil = time.Time{}
	isChanged := previous.State != s.State || previous.ID != s.ID || previous.Born != s.Born
	o.mu.Unlock()
	if isChanged {
		o.Logger.Info("owner: backend server announced", "server", s.ID, "service", s.Service, "state", s.State.String(), "born", s.Born, "sequence", s.Sequence, "slots", s.Slots)
		o.OnChange()
	}
	return isChanged
}

// replaceServer switches to another incarnation of the backend server: it refuses the waiting requests and drops the
// connections and statistics of the previous one. The caller holds the lock.
func (o *Owner) replaceServer(s member.Server) {
	o.notify(o.slots.Reset(s.Slots + o.ExtraRequests))
	if o.client != nil {
		o.client.Close()
	}
	o.failures = failures{}
	o.rateLimit = slot.Unlimited
	o.hasNotice = false
	o.client = &upstream.Client{
		Address: s.Address, MaximumConnections: o.MaximumConnections(s.Service), IDHeader: o.Headers.IDHeader(), OnDial: o.OnDial,
		MaximumBodySize: o.MaximumAnswerSize, Memory: o.Memory,
	}
	o.server = s
	o.applyPreviousLimit()
}
