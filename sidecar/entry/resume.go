package entry

import (
	"context"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

// resumePause is the time between two attempts to learn the reply to a call.
const resumePause = 200 * time.Millisecond

// resume asks the owner for the reply to a call whose connection broke with an error. The request may be running there,
// or be done, or never have come; only the owner knows. It returns the error if the owner can't tell, which leaves the
// outcome unknown.
//
// A request that may run again is asked for once, since it can be sent elsewhere; any other one until its deadline, or
// until no daemon runs there any more.
func (h *Handler) resume(ctx context.Context, c *clientCall, m *message.Call, to member.Candidate, sent time.Time, broken error) (message.Reply, error) {
	for ctx.Err() == nil {
		r := message.Resumption{Entry: h.Address, Number: m.Job.Number, Incarnation: to.Incarnation, Age: time.Since(sent)}
		reply, isGone, err := h.Owners.Resume(ctx, to.Address, c.route.Kind(), r)
		if err == nil {
			h.Logger.Info("entry: asked for the reply to a call whose connection broke", "request", c.request.ID, "owner", to.Address, "outcome", reply.Outcome.String(), "reason", reply.Reason, "after", time.Since(sent))
			return reply, nil
		}
		if isGone || c.route.Kind().IsRepeatable() {
			return message.Reply{}, broken
		}
		pause(ctx, resumePause)
	}
	return message.Reply{}, broken
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
