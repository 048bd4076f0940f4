package entry

import (
	"context"
	"errors"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

// reservationResult is the reply of one owner to a reservation, or the error of the attempt; index is its place in the
// list of owners.
type reservationResult struct {
	index int
	grant message.Grant
	err   error
}

// reserve asks several owners for a slot at once, uses the first one that is granted and withdraws the other
// reservations. It reports false when all owners refuse, the deadline passes or the client disconnects, and sets the
// reason of the request.
func (h *Handler) reserve(ctx context.Context, c *clientCall, queues []member.Candidate) (destination, bool) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	jobs := make([]message.Job, len(queues))
	results := make(chan reservationResult, len(queues))
	for i, candidate := range queues {
		jobs[i] = h.newJob(c, candidate, 1/float64(len(queues)))
		go func() {
			grant, err := h.Owners.Reserve(ctx, candidate.Address, jobs[i])
			results <- reservationResult{index: i, grant: grant, err: err}
		}()
	}
	pending := map[int]bool{}
	for i := range queues {
		pending[i] = true
	}
	for len(pending) > 0 {
		select {
		case result := <-results:
			delete(pending, result.index)
			if h.recordGrant(c, queues[result.index], result) {
				h.withdrawPending(queues, jobs, pending)
				return destination{candidate: queues[result.index], job: jobs[result.index], ticket: result.grant.Ticket}, true
			}
		case <-ctx.Done():
			h.withdrawPending(queues, jobs, pending)
			c.reason = reasonFor(ctx.Err())
			return destination{}, false
		}
	}
	return destination{}, false
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

// withdrawPending withdraws the reservations without a reply; pending holds their places in the list of owners.
func (h *Handler) withdrawPending(queues []member.Candidate, jobs []message.Job, pending map[int]bool) {
	for i := range pending {
		h.Owners.Withdraw(queues[i].Address, message.Withdrawal{Entry: h.Address, Number: jobs[i].Number})
	}
}
