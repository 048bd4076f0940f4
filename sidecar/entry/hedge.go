package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/route"
)

const (
	// hedgeFactor is the multiple of the route's mean answer time after which a request is sent to a second owner.
	hedgeFactor = 3
	// minimumHedgeDelay keeps requests of quick routes from being sent twice because of a pause of a few milliseconds.
	minimumHedgeDelay = 80 * time.Millisecond
)

// callResult is the result of one call to an owner.
type callResult struct {
	to member.Candidate
	// reply is the reply of the owner, or that of replyForError if the call failed.
	reply message.Reply
	// isSent is false if the call failed before any part of it was sent.
	isSent bool
	// reason is the text of the error that Owners.Call returned, or empty. attempt stores it in clientCall.reason, where
	// handleNotRun and handleUnknown replace it by the reason of the reply, unless the client has disconnected.
	reason string
	// took is the duration of the call.
	took time.Duration
}

// isAnswer reports whether a backend server answered with a status below 500.
func (s callResult) isAnswer() bool {
	return s.reply.Outcome == message.Ran && s.reply.Answer.Status < http.StatusInternalServerError
}

// send sends the request to one owner and waits for the reply until answerGrace after the deadline, or until Expire.
func (h *Handler) send(ctx context.Context, c *clientCall, m *message.Call, to member.Candidate) callResult {
	limited, cancel := h.limit(ctx, h.deadline(c).Add(answerGrace))
	defer cancel()
	h.Directory.RecordSent(to.Address)
	started := time.Now()
	reply, isSent, err := h.Owners.Call(limited, to.Address, m)
	if err != nil && isSent {
		reply, err = h.resume(limited, c, m, to, started, err)
	}
	now := time.Now()
	s := callResult{to: to, reply: reply, isSent: isSent, took: now.Sub(started)}
	if err != nil {
		s.reply = h.replyForError(ctx, c, to, m, isSent)
		s.reason = err.Error()
	} else {
		h.Directory.RecordLoad(now, to.Address, reply.Load)
		h.recordNotice(to, reply.Answer)
		s.reply = withoutOddAnswer(reply)
	}
	h.observe(c, s, ctx.Err() != nil)
	return s
}

// withoutOddAnswer returns the reply as one without an answer if the status of its answer is none: an owner of an earlier
// release passes such answers on.
func withoutOddAnswer(r message.Reply) message.Reply {
	if r.Outcome != message.Ran || r.Answer.IsFinal() {
		return r
	}
	return message.Reply{Reason: fmt.Sprintf("%03d is not the status of an answer", r.Answer.Status), Load: r.Load}
}

// recordNotice records what a backend server states of itself in an answer, before the client gets it.
func (h *Handler) recordNotice(from member.Candidate, a message.Answer) {
	if h.Headers.Notice(a.Status, a.Header).IsLeaving {
		h.Directory.RecordLeaving(from.Address, from.Server)
	}
}

// sendHedged sends a request and returns the result. An idempotent request is also sent to a second owner when its
// answer takes unusually long; the first successful answer is used, and the other call is cancelled. If both calls
// fail, the result is that of the call which ended last.
func (h *Handler) sendHedged(ctx context.Context, c *clientCall, d destination) callResult {
	delay, mayHedge := h.hedgeDelay(c)
	if !mayHedge {
		return h.send(ctx, c, h.newOwnerCall(c, d), d.candidate)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 2)
	start := func(d destination) {
		m := h.newOwnerCall(c, d)
		go func() { results <- h.send(ctx, c, m, d.candidate) }()
	}
	start(d)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	open := 1
	for {
		select {
		case s := <-results:
			open--
			if open == 0 || s.isAnswer() {
				return s
			}
			h.recordFailedAttempt(c, s)
		case <-timer.C:
			second, ok := h.selectHedge(c, d)
			if !ok {
				continue
			}
			c.arrivals++
			open++
			start(second)
		}
	}
}

// hedgeDelay returns how long to wait for the first answer before the request is hedged, and whether it may be hedged.
// Requests with large answers are not, since links are scarcer than slots. Nested requests, as defined in package
// placement, are not either, because the request that waits for them is hedged itself.
func (h *Handler) hedgeDelay(c *clientCall) (time.Duration, bool) {
	if c.route.Kind() != route.Idempotent || c.isNested {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	mean, ok := h.meanTimes[c.route.Name()]
	return max(minimumHedgeDelay, hedgeFactor*mean), ok
}

// selectHedge selects a second owner with a free slot, within the route's attempts: the hedge makes two arrivals more
// than clientCall.arrivals holds, since the first call is still running and not counted. The hedge uses only the part
// of the retry budget that is not kept for requests that failed.
func (h *Handler) selectHedge(c *clientCall, first destination) (destination, bool) {
	if c.arrivals+2 > c.route.Attempts() {
		return destination{}, false
	}
	now := time.Now()
	_, candidates := h.divide(now, c, h.Directory.Candidates(now, c.service))
	daemons := h.Directory.Daemons()
	h.mu.Lock()
	defer h.mu.Unlock()
	free, ok := h.Placer.PickFree(now, candidates, append(slices.Clone(c.tried), first.candidate.Server.ID), placement.Transfer{Kind: c.route.Kind(), Size: h.meanSizes[c.route.Name()], AnswerTime: h.meanTimes[c.route.Name()]})
	if !ok || !h.budget(c.service).SpendOnHedge(now, daemons) {
		return destination{}, false
	}
	h.Logger.Info("entry: request sent to a second owner", "request", c.request.ID, "route", c.route.Name(), "first", first.candidate.Address, "second", free.Address,
		"usual", h.meanTimes[c.route.Name()], "load-age", free.LoadAge)
	return destination{candidate: free, job: h.newJob(c, free, 1)}, true
}

// recordFailedAttempt records a call that failed while the other call of a hedged request is still running.
func (h *Handler) recordFailedAttempt(c *clientCall, s callResult) {
	c.tried = append(c.tried, s.to.Server.ID)
	c.reason = s.reply.Reason
	if s.reply.Outcome == message.NotRun {
		// The hedge was counted when it was sent, so that one of the two calls is counted before its result.
		c.arrivals--
		return
	}
	h.recordFailure(s.to.Server.ID)
	if s.reply.Outcome == message.Ran {
		c.failedAnswer = &s.reply.Answer
	}
	if s.reply.IsCrash {
		h.Quarantine.RecordCrash(c.fingerprint, s.reply.Incarnation)
	}
}

// newOwnerCall returns the message to the owner of the destination, with the time left until the deadline.
func (h *Handler) newOwnerCall(c *clientCall, d destination) *message.Call {
	d.job.Deadline = time.Until(h.deadline(c))
	isTimed := h.Rollouts != nil && h.Rollouts.IsObserved(c.service)
	return &message.Call{Job: d.job, Ticket: d.ticket, Request: c.request, IsTimed: isTimed}
}
