package owner

import (
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/slot"
	"siskinspar.example/sidecar/upstream"
)

// applyNotice applies what the backend server with an ID states of itself in an answer. One that leaves gets no further
// request, whether it announces its drain or not, and one with a limit no more requests than that. An answer over the
// connections of an earlier incarnation is ignored.
func (o *Owner) applyNotice(from *upstream.Client, id string, r upstream.Result) {
	if r.Outcome != upstream.Answered {
		return
	}
	n := o.Headers.Notice(r.Answer.Status, r.Answer.Header)
	o.mu.Lock()
	isCurrent := o.client == from
	if isCurrent && !n.IsSilent {
		o.hasNotice = true
		o.setRateLimit(statedLimit(n))
	}
	o.mu.Unlock()
	if isCurrent && n.IsLeaving {
		o.drain(id)
	}
}

// statedLimit returns the rate limit that a backend server states, or slot.Unlimited.
func statedLimit(n member.Notice) float64 {
	if !n.IsLimited {
		return slot.Unlimited
	}
	return max(slot.MinimumRate, n.RateLimit)
}

// RecordLimit applies the report of another daemon that this one has reported a rate limit of its backend server before
// it restarted. It holds until the first answer of that incarnation of the server.
func (o *Owner) RecordLimit(s member.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.previousLimit = s
	o.applyPreviousLimit()
}

// applyPreviousLimit applies previousLimit if it is of the present incarnation of the backend server, which has not
// answered yet. The caller holds the lock.
func (o *Owner) applyPreviousLimit() {
	p := o.previousLimit
	if p.RateLimit > 0 && !o.hasNotice && o.server.ID == p.ID && o.server.Born == p.Born {
		o.setRateLimit(p.RateLimit)
	}
}

// setRateLimit bounds the requests to the backend server; the caller holds the lock.
func (o *Owner) setRateLimit(limit float64) {
	if limit == o.rateLimit {
		return
	}
	o.Logger.Info("owner: backend server changed its rate limit", "server", o.server.ID, "from", o.rateLimit, "to", limit)
	o.rateLimit = limit
	o.slots.SetRate(time.Now(), limit)
}
