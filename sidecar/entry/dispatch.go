package entry

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/organisation"
	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/route"
)

const (
	// maximumQueues is the number of owners of the own data centre, and of others, at which one request waits at once.
	maximumQueues = 8
	// sampledQueues is that number where there are more than samplingThreshold backend servers: the better of two is
	// nearly as good there, and each owner costs messages and perhaps a grant that is not used.
	sampledQueues     = 2
	samplingThreshold = 8
	// maximumDirectCalls is the number of first calls of a request that need no granted slot. One of them that had a
	// reservation counts too.
	maximumDirectCalls = 3
	// maximumFurtherCalls is the number of calls that may follow, each with a granted slot.
	maximumFurtherCalls = 4
	// answerGrace is how long after the deadline the entry daemon still waits for the owner's reply.
	answerGrace = 40 * time.Millisecond
)

// clientCall is the state of one client request until its response. It keeps the route that was in force on arrival,
// also when a new configuration comes into force meanwhile.
type clientCall struct {
	route   *route.Route
	service string
	request message.Request
	// draw is the number that decides which version of the service the request goes to; it is 0 until it is drawn.
	draw float64
	// organisation is the one that the request belongs to, or nil.
	organisation *organisation.Organisation
	// isFlood is true if the organisation asks for much more than its quota.
	isFlood bool
	// deadline is when an answer stops being of use; no attempt starts after it.
	deadline time.Time
	// clientDeadline is when the client stops waiting; it may be later than the deadline, which the route's timeout
	// bounds.
	clientDeadline time.Time
	// target is when the answer is late; an answer between target and deadline is of use, but worth less.
	target time.Time
	// isNested is true for a request that is probably nested, as defined in package placement.
	isNested bool
	// tried lists the IDs of the backend servers that failed or refused the request; they are not selected again.
	tried []string
	// arrivals is the number of attempts that ran the request or may have run it; the route's attempts bound it. An
	// attempt counts when its result is known. A hedge counts when it is sent, and no more once one of the two calls has
	// not run.
	arrivals int
	// failedAnswer is the latest answer with a status of 500 or more; the client gets it if no retry succeeds.
	failedAnswer *message.Answer
	// reason says why the latest attempt or reservation failed, or that no backend server was found.
	reason string
	// fingerprint identifies the request in the quarantine, whatever its ID.
	fingerprint string
	// owner is the address of the daemon to which the request was sent last.
	owner string
	// isBudgetExhausted is true once the retry budget has not allowed a retry after a backend server rejected the request.
	isBudgetExhausted bool
}

// destination is the backend server to which a request is sent; ticket identifies the slot that its owner granted to
// the request, and is 0 if the call is to take a free slot.
type destination struct {
	candidate member.Candidate
	job       message.Job
	ticket    uint64
}

// clientResult is the response to a client, with what is logged and counted for it.
type clientResult struct {
	response *ingress.Response
	outcome  message.Outcome
	reason   string
	// retryAfter is the time after which the client is asked to retry, or 0.
	retryAfter time.Duration
}

// dispatch sends the request to one owner after the other until a backend server answers or another attempt would be
// unsafe or too late.
func (h *Handler) dispatch(ctx context.Context, c *clientCall) clientResult {
	c.fingerprint = fingerprint(c.request)
	if h.Quarantine.IsQuarantined(c.fingerprint) {
		return h.errorResult(c, message.NotRun, http.StatusServiceUnavailable, "quarantined after crashes")
	}
	h.earnRetryCredit(c)
	c.reason = "no backend server"
	calls := 0
	for range maximumDirectCalls + maximumFurtherCalls {
		now := time.Now()
		if ctx.Err() != nil {
			return clientResult{response: &ingress.Response{IsAborted: true}, outcome: message.NotRun, reason: "the client disconnected"}
		}
		if c.isBudgetExhausted || !now.Before(c.deadline) {
			break
		}
		if !now.Before(h.lastStart(c)) {
			c.reason = reasonStopping
			break
		}
		d, ok := h.selectDestination(ctx, c, now, calls < maximumDirectCalls)
		if !ok {
			break
		}
		calls++
		if done, r := h.attempt(ctx, c, d); done {
			return r
		}
	}
	return h.failedResult(c)
}

// failedResult returns the result of a request for which every attempt failed. It is a failed answer of a backend
// server where there is one; otherwise 502 if the request may have run, and 503 if it has not.
func (h *Handler) failedResult(c *clientCall) clientResult {
	if c.failedAnswer != nil {
		return clientResult{response: h.response(*c.failedAnswer), outcome: message.Ran, reason: c.reason}
	}
	if c.arrivals > 0 {
		// An earlier attempt ran or may have run, so the outcome can't be reported as not run, even if the
		// request is repeatable.
		return h.errorResult(c, message.Unknown, http.StatusBadGateway, c.reason)
	}
	return h.errorResult(c, message.NotRun, http.StatusServiceUnavailable, c.reason)
}

// errorResult returns a result with an error status of this daemon's own. The client of a request that has not run is
// told when to retry.
func (h *Handler) errorResult(c *clientCall, o message.Outcome, status int, reason string) clientResult {
	var retryAfter time.Duration
	if o == message.NotRun {
		h.mu.Lock()
		retryAfter = placement.RetryDelay(time.Until(c.clientDeadline), h.Random)
		h.mu.Unlock()
	}
	return clientResult{response: h.refuse(c.request.ID, status, retryAfter), outcome: o, reason: reason, retryAfter: retryAfter}
}

// earnRetryCredit adds the credit that one request earns to the retry budget of its service.
func (h *Handler) earnRetryCredit(c *clientCall) {
	daemons := h.Directory.Daemons()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(c.service).Earn(time.Now(), daemons)
}

// attempt sends the request to the owner of the destination, or to two owners if it is hedged. It returns the result
// for the client, or done = false when another attempt may be made.
func (h *Handler) attempt(ctx context.Context, c *clientCall, d destination) (done bool, r clientResult) {
	s := h.sendHedged(ctx, c, d)
	c.owner = s.to.Address
	if s.reason != "" {
		c.reason = s.reason
	}
	switch s.reply.Outcome {
	case message.Ran:
		return h.handleRan(c, s.to, s.reply, s.took)
	case message.NotRun:
		h.handleNotRun(c, s.to, s.reply, s.isSent)
		return false, clientResult{}
	}
	return h.handleUnknown(ctx, c, s.to, s.reply)
}

// replyForError returns the reply that is assumed for a call which ended with an error. A call that was not sent has
// not run. For any other call it sends a withdrawal to the owner, and the reply keeps the zero value of its outcome,
// which is message.Unknown.
func (h *Handler) replyForError(ctx context.Context, c *clientCall, to member.Candidate, m *message.Call, isSent bool) message.Reply {
	if !isSent {
		return h.replyForUnsent(ctx, c, to)
	}
	h.Owners.Withdraw(to.Address, message.Withdrawal{Entry: h.Address, Number: m.Job.Number})
	if ctx.Err() != nil {
		return message.Reply{Reason: "the client disconnected"}
	}
	return message.Reply{Reason: "no reply from the owner", IsExpired: !time.Now().Before(c.deadline)}
}

// replyForUnsent returns the reply for a call of which nothing was sent. The owner is taken as unreachable unless the
// time was up before the call had its turn on the link.
func (h *Handler) replyForUnsent(ctx context.Context, c *clientCall, to member.Candidate) message.Reply {
	if ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return message.Reply{Outcome: message.NotRun, Reason: "the call was not sent in time"}
	}
	h.Directory.RecordUnreachable(to.Address)
	return message.Reply{Outcome: message.NotRun, Reason: "the owner can't be reached"}
}

// handleRan handles an answer of the backend server. One with a status of 500 or more is kept, and the request is
// retried if it is repeatable and within the route's attempts and the retry budget.
func (h *Handler) handleRan(c *clientCall, to member.Candidate, reply message.Reply, took time.Duration) (bool, clientResult) {
	c.arrivals++
	if reply.Answer.Status < http.StatusInternalServerError {
		h.recordAnswer(c, to.Server.ID, took, len(reply.Answer.Body))
		h.Quarantine.RecordAnswer(c.fingerprint)
		return true, clientResult{response: h.response(reply.Answer), outcome: message.Ran}
	}
	h.recordFailure(to.Server.ID)
	c.failedAnswer = &reply.Answer
	c.reason = "the backend server failed the request"
	if c.route.Kind().IsRepeatable() && h.beginRetry(c, to) {
		return false, clientResult{}
	}
	return true, h.failedResult(c)
}

// handleNotRun handles a refusal or a rejection, after which any request may be sent again. An owner that only had no
// slot for the request may be selected again, to queue there. A refusal by the owner is free; a rejection by the
// backend server is charged to the retry budget, because the request reached it.
func (h *Handler) handleNotRun(c *clientCall, to member.Candidate, reply message.Reply, isSent bool) {
	c.reason = reply.Reason
	switch {
	case isWithoutSlot(reply.Reason):
	case isRejected(reply):
		h.recordFailure(to.Server.ID)
		c.tried = append(c.tried, to.Server.ID)
		if !h.spendRetryCredit(c) {
			c.isBudgetExhausted = true
		}
	default:
		if !isSent {
			h.recordFailure(to.Server.ID)
		}
		c.tried = append(c.tried, to.Server.ID)
	}
}

// handleUnknown handles a call after which the request may have run: a repeatable one is retried within the route's
// attempts and the retry budget unless it is quarantined, any other one fails. Once the deadline has passed, the status
// is 504 unless an earlier attempt got a failed answer.
func (h *Handler) handleUnknown(ctx context.Context, c *clientCall, to member.Candidate, reply message.Reply) (bool, clientResult) {
	c.arrivals++
	if ctx.Err() != nil {
		return true, clientResult{response: &ingress.Response{IsAborted: true}, outcome: message.Unknown, reason: "the client disconnected"}
	}
	h.recordFailure(to.Server.ID)
	c.reason = reply.Reason
	if reply.IsCrash {
		h.Quarantine.RecordCrash(c.fingerprint, reply.Incarnation)
	}
	if c.failedAnswer == nil && (reply.IsExpired || !time.Now().Before(c.deadline)) {
		return true, h.errorResult(c, message.Unknown, http.StatusGatewayTimeout, reply.Reason)
	}
	if c.route.Kind().IsRepeatable() && !h.Quarantine.IsQuarantined(c.fingerprint) && h.beginRetry(c, to) {
		return false, clientResult{}
	}
	return true, h.failedResult(c)
}

// beginRetry marks a backend server as tried, charges the retry budget if the route's attempts and the budget allow
// another attempt, and logs the failure. It reports whether the request is to be sent to another backend server.
func (h *Handler) beginRetry(c *clientCall, failed member.Candidate) bool {
	c.tried = append(c.tried, failed.Server.ID)
	isRetried := c.arrivals < c.route.Attempts() && h.spendRetryCredit(c)
	h.Logger.Info("entry: request failed at a backend server", "request", c.request.ID, "route", c.route.Name(), "owner", failed.Address, "server", failed.Server.ID,
		"reason", c.reason, "arrivals", c.arrivals, "attempts", c.route.Attempts(), "repeated", isRetried, "load-age", failed.LoadAge)
	return isRetried
}

// spendRetryCredit reports whether the retry budget of the service allows another attempt, and charges it.
func (h *Handler) spendRetryCredit(c *clientCall) bool {
	daemons := h.Directory.Daemons()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(c.service).Spend(time.Now(), daemons)
}

// recordFailure records a failure of a backend server, so that the placer avoids it for some time.
func (h *Handler) recordFailure(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Placer.RecordFailure(time.Now(), server)
}

// response returns the response for a client from the answer of a backend server.
func (h *Handler) response(a message.Answer) *ingress.Response {
	return &ingress.Response{Status: a.Status, Header: h.Headers.ForClient(a.Header), Body: a.Body}
}
