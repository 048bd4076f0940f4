package entry

import (
	"context"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

// granted is the answer of one owner to a reservation.
type granted struct {
	index int
	grant message.Grant
	err   error
}

// reserve waits at several owners and takes the first slot that is granted; the others get the reservation back.
func (h *Handler) reserve(ctx context.Context, c *call, queues []member.Candidate) (place, bool) {
	ctx, cancel := context.WithDeadline(ctx, c.expires)
	defer cancel()
	jobs := make([]message.Job, len(queues))
	grants := make(chan granted, len(queues))
	for i, q := range queues {
		jobs[i] = h.newJob(c, q, 1/float64(len(queues)))
		go func() {
			g, err := h.Owners.Reserve(ctx, q.Address, jobs[i])
			grants <- granted{index: i, grant: g, err: err}
		}()
	}
	open := map[int]bool{}
	for i := range queues {
		open[i] = true
	}
	for len(open) > 0 {
		select {
		case g := <-grants:
			delete(open, g.index)
			if h.take(c, queues[g.index], g) {
				h.withdraw(queues, jobs, open)
				return place{at: queues[g.index], job: jobs[g.index], ticket: g.grant.Ticket}, true
			}
		case <-ctx.Done():
			h.withdraw(queues, jobs, open)
			c.reason = "no slot before the deadline"
			return place{}, false
		}
	}
	return place{}, false
}

// take notes the answer to one reservation and reports whether it grants a slot.
func (h *Handler) take(c *call, from member.Candidate, g granted) bool {
	if g.err != nil {
		c.reason = g.err.Error()
		return false
	}
	h.Directory.NoteLoad(time.Now(), from.Address, g.grant.Load)
	if g.grant.Ticket != 0 {
		return true
	}
	c.reason = g.grant.Reason
	return false
}

func (h *Handler) withdraw(queues []member.Candidate, jobs []message.Job, open map[int]bool) {
	for i := range open {
		h.Owners.Withdraw(queues[i].Address, message.Withdrawal{Entry: h.Address, Number: jobs[i].Number})
	}
}
