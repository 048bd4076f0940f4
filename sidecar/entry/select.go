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
// A request with a large body or answer first tries, and waits for, the backend servers of the daemon's own data centre,
// because transfers between data centres are costly.
func (h *Handler) selectDestination(ctx context.Context, c *clientCall, now time.Time, mayCallDirectly bool) (destination, bool) {
	candidates := h.Directory.Candidates(now, c.service)
	if c.route.Kind().IsLarge() {
		if d, ok := h.selectAmong(ctx, c, h.Placer.InOwnDataCentre(candidates), now, mayCallDirectly); ok {
			return d, true
		}
	}
	return h.selectAmong(ctx, c, candidates, now, mayCallDirectly)
}

// selectAmong selects a destination among the candidates. A backend server that appears to have a free slot is called
// without a reservation if mayCallDirectly; otherwise the request queues at several owners.
//
// A large body is sent to another instance only for a granted slot: a refusal would cost a second transfer.
func (h *Handler) selectAmong(ctx context.Context, c *clientCall, candidates []member.Candidate, now time.Time, mayCallDirectly bool) (destination, bool) {
	count := maximumQueues
	if len(candidates) > samplingThreshold {
		count = sampledQueues
	}
	transfer := h.transfer(now, c)
	h.mu.Lock()
	free, ok := h.Placer.PickFree(now, candidates, c.tried, transfer)
	queues := h.Placer.PickQueues(now, candidates, c.tried, count, transfer)
	h.mu.Unlock()
	if ok && mayCallDirectly && (c.route.Kind() != route.Upload || free.Address == h.Address) {
		return destination{candidate: free, job: h.newJob(c, free, 1)}, true
	}
	if len(queues) == 0 {
		return destination{}, false
	}
	return h.reserve(ctx, c, queues)
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
	return t
}

// newJob returns the part of a call or reservation from which an owner decides on a slot. The share is the part of the
// request that waits at this owner: 1/n when it waits at n owners.
func (h *Handler) newJob(c *clientCall, to member.Candidate, share float64) message.Job {
	now := time.Now()
	return message.Job{
		TransferTime: h.transferTime(now, c, to),
		Number:       h.FirstNumber + h.lastNumber.Add(1), Entry: h.Address, Server: to.Server.ID, Route: c.route.Name(), Priority: c.route.Priority(),
		Kind: c.route.Kind(), IsNested: c.isNested, Target: c.target.Sub(now), Deadline: c.deadline.Sub(now), Share: share,
	}
}

// transferTime returns how long the body of the request takes to reach an owner, over the link of this instance.
func (h *Handler) transferTime(now time.Time, c *clientCall, to member.Candidate) time.Duration {
	if h.Link == nil || to.Address == h.Address || c.route.Kind() != route.Upload {
		return 0
	}
	return h.Link.Backlog(now) + h.Link.Duration(len(c.request.Body))
}
