package entry

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/rollout"
	"siskinspar.example/sidecar/route"
)

// Rollouts divides the backend servers of a service by version while its requests move to another one.
type Rollouts interface {
	// Divide returns the candidates that a request may use. Those in canary are tried first, if they have a slot.
	Divide(now time.Time, service string, all []member.Candidate, q rollout.Request) (canary, rest []member.Candidate)
	// IsObserved reports whether the results of the requests of a service are to be observed.
	IsObserved(service string) bool
	// Observe records the result of a request of a route at a backend server.
	Observe(service, route string, s member.Server, r rollout.Result)
}

// canaryWait is how long a request with a large body or answer waits for a slot of the target version before it uses the
// others.
const canaryWait = 200 * time.Millisecond

// divide returns the candidates that the request may use, and those that its first attempt tries first. Candidates of one version are not
// divided.
func (h *Handler) divide(now time.Time, c *clientCall, all []member.Candidate) (canary, rest []member.Candidate) {
	if h.Rollouts == nil || !rollout.HasTwoVersions(all) {
		return nil, all
	}
	h.mu.Lock()
	if c.draw == 0 {
		c.draw = h.versions.Draw(c.service, h.Random.Float64)
	}
	h.mu.Unlock()
	return h.Rollouts.Divide(now, c.service, all, rollout.Request{Draw: c.draw, Tried: c.tried})
}

// selectCanary returns a backend server of the target version that has a slot for the request. The request does not wait
// there, since the few servers of a canary are more often full than all of the others together. Requests of the kinds that
// need a granted slot wait for canaryWait.
func (h *Handler) selectCanary(ctx context.Context, c *clientCall, canary []member.Candidate, now time.Time) (destination, bool) {
	if len(canary) == 0 || c.owner != "" {
		return destination{}, false
	}
	if d, ok := h.pickFree(c, canary, now); ok || c.route.Kind() != route.Upload {
		return d, ok
	}
	limited, cancel := context.WithTimeout(ctx, canaryWait)
	defer cancel()
	return h.reserveByDistance(limited, c, canary, now)
}

// observe records the result of a call for the roll-out of its service. A call that was cancelled shows how long the
// backend server took at least, unless it was cancelled early. What a link or another daemon may have caused is not
// counted: only the owner knows what its backend server did.
func (h *Handler) observe(c *clientCall, s callResult, isCancelled bool) {
	if h.Rollouts == nil || !h.Rollouts.IsObserved(c.service) {
		return
	}
	r := rollout.Result{Time: s.reply.Took}
	switch {
	case s.reply.Outcome == message.NotRun:
		return
	case s.reason != "":
		if isCancelled && s.took > h.meanTime(c) {
			r.Time = s.took
		}
	case s.reply.Reason == owner.ReasonWithdrawn:
	case s.reply.Outcome == message.Ran:
		r.IsFailure = s.reply.Answer.Status >= http.StatusInternalServerError || s.reply.Answer.Status < http.StatusOK
	default:
		r.IsFailure = !s.reply.IsExpired
	}
	h.Rollouts.Observe(c.service, c.route.Name(), s.to.Server, r)
}

// meanTime returns the mean answer time of the route of a request.
func (h *Handler) meanTime(c *clientCall) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.meanTimes[c.route.Name()]
}
