package entry

import (
	"context"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/route"
)

// selectDestination returns a backend server that appears to have a free slot, or the first one whose owner grants a
// slot.
//
// The bytes between data centres are costly, so a request first waits for the backend servers of its own data centre, and
// only where these would serve it too late also for the others. One with a large body or answer does so even if a slot is
// free elsewhere.
func (h *Handler) selectDestination(ctx context.Context, c *clientCall, now time.Time, mayCallDirectly bool) (destination, bool) {
	canary, candidates := h.divide(now, c, h.Directory.Candidates(now, c.service))
	if d, ok := h.selectCanary(ctx, c, canary, now); ok {
		return d, true
	}
	direct := candidates
	if c.route.Kind().IsLarge() {
		direct, _ = h.Placer.ByDataCentre(candidates)
	}
	if mayCallDirectly {
		if d, ok := h.pickFree(c, direct, now); ok {
			return d, true
		}
	}
	return h.reserveByDistance(ctx, c, candidates, now)
}

// pickFree returns a backend server that appears to have a free slot and may be called without a reservation.
//
// A large body is sent to another instance only for a granted slot: a refusal would cost a second transfer.
func (h *Handler) pickFree(c *clientCall, candidates []member.Candidate, now time.Time) (destination, bool) {
	transfer := h.transfer(now, c)
	h.mu.Lock()
	free, ok := h.Placer.PickFree(now, candidates, c.tried, transfer)
	h.mu.Unlock()
	if !ok || c.route.Kind() == route.Upload && free.Address != h.Address {
		return destination{}, false
	}
	return destination{candidate: free, job: h.newJob(c, free, 1)}, true
}

// reserveByDistance queues the request at several owners of its data centre, and later or if these refuse it, of others.
func (h *Handler) reserveByDistance(ctx context.Context, c *clientCall, candidates []member.Candidate, now time.Time) (destination, bool) {
	transfer := h.transfer(now, c)
	h.mu.Lock()
	usable := h.Placer.Usable(now, candidates, c.tried)
	own, others := h.Placer.ByDataCentre(usable)
	near := h.Placer.PickQueues(now, own, c.tried, queueCount(usable), transfer)
	far := h.Placer.PickQueues(now, others, c.tried, queueCount(usable), transfer)
	h.mu.Unlock()
	return h.reserve(ctx, c, near, far)
}

// queueCount returns the number of owners at which one request waits at once in its own data centre, and again in others,
// given all that it may use.
func queueCount(candidates []member.Candidate) int {
	if len(candidates) > samplingThreshold {
		return sampledQueues
	}
	return maximumQueues
}

// transfer returns what the request moves between this daemon and an owner.
func (h *Handler) transfer(now time.Time, c *clientCall) placement.Transfer {
	t := placement.Transfer{Kind: c.route.Kind()}
	if h.Link != nil {
		t.Backlog = h.Link.Backlog(now)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Size = h.meanSizes[c.route.Name()]
	t.AnswerTime = h.meanTimes[c.route.Name()]
	return t
}

// newJob returns the part of a call or reservation from which an owner decides on a slot. The share is the part of the
// request that waits at this owner: 1/n when it waits at n owners.
func (h *Handler) newJob(c *clientCall, to member.Candidate, share float64) message.Job {
	now := time.Now()
	organisationPriority := 0
	if c.organisation != nil {
		organisationPriority = c.organisation.Priority()
	}
	return message.Job{
		OrganisationPriority: organisationPriority, IsFlood: c.isFlood,
		TransferTime: h.transferTime(now, c, to),
		Number:       h.FirstNumber + h.lastNumber.Add(1), Entry: h.Address, Server: to.Server.ID, Route: c.route.Name(), Priority: c.route.Priority(),
		Kind: c.route.Kind(), IsNested: c.isNested, Target: c.target.Sub(now), Deadline: h.deadline(c).Sub(now), Share: share,
	}
}

// transferTime returns how long the body of the request takes to reach an owner, over the link of this instance.
func (h *Handler) transferTime(now time.Time, c *clientCall, to member.Candidate) time.Duration {
	if h.Link == nil || to.Address == h.Address || c.route.Kind() != route.Upload {
		return 0
	}
	return h.Link.Backlog(now) + h.Link.Duration(len(c.request.Body))
}
