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
		o.applyRateLimit(n)
	}
	o.mu.Unlock()
	if isCurrent && n.IsLeaving {
		o.Drain(id)
	}
}

// applyRateLimit bounds the requests to the backend server by the limit that it states, or no more if it states none.
// The caller holds the lock.
func (o *Owner) applyRateLimit(n member.Notice) {
	limit := slot.Unlimited
	if n.IsLimited {
		limit = n.RateLimit
	}
	if limit == o.rateLimit {
		return
	}
	o.Logger.Info("owner: backend server changed its rate limit", "server", o.server.ID, "from", o.rateLimit, "to", limit)
	o.rateLimit = limit
	o.slots.SetRate(time.Now(), limit)
}
