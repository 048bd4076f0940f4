package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

const (
	// wideningShare is the share of the time to the target after which a request that waits in its own data centre also
	// waits in others.
	wideningShare = 0.125
	// minimumWideningDelay and maximumWideningDelay bound that time.
	minimumWideningDelay = 10 * time.Millisecond
	maximumWideningDelay = 100 * time.Millisecond
	// largeWideningShare and maximumLargeWideningDelay take their place for a request with a large body or answer whose
	// own data centre has links that are behind: the wait for them shows no hang, and elsewhere its bytes would take the
	// links between data centres.
	largeWideningShare        = 0.35
	maximumLargeWideningDelay = 700 * time.Millisecond
	// backlogFactor is how long such a request waits, as a multiple of the least backlog of these links.
	backlogFactor = 2
)

// reservationResult is the reply of one owner to a reservation, or the error of the attempt; index is its place in the
// list of queues.
type reservationResult struct {
	index int
	grant message.Grant
	err   error
}

// reservation is a request that waits for a slot at several owners.
type reservation struct {
	handler *Handler
	call    *clientCall
	// queues are the owners that were asked, and jobs what they were asked for.
	queues  []member.Candidate
	jobs    []message.Job
	results chan reservationResult
	// pending holds the places in queues of the owners without a reply.
	pending map[int]bool
}

// reserve asks several owners for a slot, uses the first one that is granted and withdraws the other reservations. Those
// in near are asked at once, those in far once all in near have refused, or have not replied for the widening delay: an
// owner that hangs must not hold the request. It reports false when all owners refuse, the deadline or the last start
// passes, or the client disconnects, and sets the reason of the request.
func (h *Handler) reserve(ctx context.Context, c *clientCall, near, far []member.Candidate) (destination, bool) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	r := &reservation{handler: h, call: c, results: make(chan reservationResult, len(near)+len(far)), pending: map[int]bool{}}
	defer r.withdrawPending()
	r.start(ctx, near)
	widen := time.NewTimer(wideningDelay(c, near))
	defer widen.Stop()
	ending := h.ending.wait()
	var tooLate <-chan time.Time
	for {
		if len(r.pending) == 0 {
			if len(far) == 0 {
				return destination{}, false
			}
			r.start(ctx, far)
			far = nil
		}
		select {
		case result := <-r.results:
			delete(r.pending, result.index)
			if h.recordGrant(c, r.queues[result.index], result) {
				return destination{candidate: r.queues[result.index], job: r.jobs[result.index], ticket: result.grant.Ticket}, true
			}
		case <-widen.C:
			r.start(ctx, far)
			far = nil
		case <-ending:
			ending = nil
			if last := h.lastStart(c); last.Before(c.deadline) {
				tooLate = time.After(time.Until(last))
			}
		case <-tooLate:
			c.reason = reasonStopping
			return destination{}, false
		case <-ctx.Done():
			c.reason = reasonFor(ctx.Err())
			return destination{}, false
		}
	}
}

// wideningDelay returns how long a request waits in its own data centre alone, at the owners in near.
func wideningDelay(c *clientCall, near []member.Candidate) time.Duration {
	toTarget := time.Until(c.target)
	delay := time.Duration(wideningShare * float64(toTarget))
	delay = min(maximumWideningDelay, max(minimumWideningDelay, delay))
	if !c.route.Kind().IsLarge() || len(near) == 0 {
		return delay
	}
	least := slices.MinFunc(near, func(a, b member.Candidate) int { return cmp.Compare(a.Load.Backlog, b.Load.Backlog) })
	most := min(maximumLargeWideningDelay, time.Duration(largeWideningShare*float64(toTarget)))
	return max(delay, min(most, backlogFactor*least.Load.Backlog))
}

// start asks further owners for a slot.
func (r *reservation) start(ctx context.Context, queues []member.Candidate) {
	for _, candidate := range queues {
		index := len(r.queues)
		job := r.handler.newJob(r.call, candidate, 1/float64(len(queues)))
		r.queues = append(r.queues, candidate)
		r.jobs = append(r.jobs, job)
		r.pending[index] = true
		go func() {
			grant, err := r.handler.Owners.Reserve(ctx, candidate.Address, job)
			r.results <- reservationResult{index: index, grant: grant, err: err}
		}()
	}
}

// withdrawPending withdraws the reservations without a reply.
func (r *reservation) withdrawPending() {
	for i := range r.pending {
		r.handler.Owners.Withdraw(r.queues[i].Address, message.Withdrawal{Entry: r.handler.Address, Number: r.jobs[i].Number})
	}
}

// reasonFor returns why no slot was granted before the context ended.
func reasonFor(err error) string {
	if errors.Is(err, context.Canceled) {
		return "the client disconnected"
	}
	return "no slot before the deadline"
}

// recordGrant records the load or the reason in the reply to one reservation and reports whether a slot was granted.
func (h *Handler) recordGrant(c *clientCall, from member.Candidate, result reservationResult) bool {
	if result.err != nil {
		c.reason = result.err.Error()
		return false
	}
	h.Directory.RecordLoad(time.Now(), from.Address, result.grant.Load)
	if result.grant.Ticket != 0 {
		return true
	}
	c.reason = result.grant.Reason
	return false
}
