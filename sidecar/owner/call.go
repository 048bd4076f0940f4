package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/recovery"
	"siskinspar.example/sidecar/route"
	"siskinspar.example/sidecar/slot"
	"siskinspar.example/sidecar/upstream"
)

// Reserve waits until the request is granted a slot or is refused. The grant expires after grantLifetime unless the
// call of the request claims it. The ticket of the reply identifies the grant.
func (o *Owner) Reserve(q message.Job) message.Grant {
	now := time.Now()
	o.mu.Lock()
	if reason := o.refusalReason(now, q); reason != "" {
		defer o.mu.Unlock()
		return message.Grant{Reason: reason, Load: o.load()}
	}
	j := o.newSlotJob(now, q)
	t, decision, reason := o.slots.Arrive(now, j, true)
	if decision == slot.Refuse {
		defer o.mu.Unlock()
		o.refusals.count(q.Priority, reason)
		return message.Grant{Reason: string(reason), Load: o.load()}
	}
	waiting := o.addCall(q, t)
	if decision == slot.Run {
		defer o.mu.Unlock()
		o.slots.Grant(t, now.Add(waiting.grantLifetime))
		return message.Grant{Ticket: uint64(t), Load: o.load()}
	}
	o.mu.Unlock()
	reason = <-waiting.waitResult
	o.mu.Lock()
	defer o.mu.Unlock()
	if reason != "" {
		return message.Grant{Reason: string(reason), Load: o.load()}
	}
	return message.Grant{Ticket: uint64(t), Load: o.load()}
}

// newSlotJob returns the job for which the slot controller decides on a slot.
func (o *Owner) newSlotJob(now time.Time, q message.Job) slot.Job {
	// The body of a request arrives after its slot is granted, so that much less time is left for the wait and the run.
	// The answer to a request that entered at this daemon is sent to the client over the link of this instance once,
	// whichever backend server gives it, so it need not wait for the link here.
	isBulk := q.Kind == route.Download && q.Entry != o.Address
	return slot.Job{
		Class: q.Route, Priority: q.Priority, OrganisationPriority: q.OrganisationPriority, IsFlood: q.IsFlood,
		Target: now.Add(q.Target - q.TransferTime), Deadline: now.Add(o.timeLeft(now, q) - q.TransferTime), Share: q.Share, IsBulk: isBulk, IsNested: q.IsNested,
	}
}

// addCall registers a request that waits for a slot or has one; the caller holds the lock.
func (o *Owner) addCall(q message.Job, t slot.Ticket) *trackedCall {
	tc := &trackedCall{
		key: callKey{q.Entry, q.Number}, ticket: t, ended: make(chan struct{}), waitResult: make(chan slot.Reason, 1), deadline: time.Now().Add(q.Deadline),
		priority: q.Priority, grantLifetime: grantLifetime + min(q.TransferTime, maximumTransferTime),
	}
	o.calls[tc.key] = tc
	o.tickets[t] = tc
	return tc
}

// refusalReason returns why a request can't run here even if a slot is free, or an empty string; the caller holds the
// lock.
func (o *Owner) refusalReason(now time.Time, q message.Job) string {
	switch {
	case q.Deadline <= 0:
		return ReasonDeadlinePassed
	case o.withdrawals.has(callKey{q.Entry, q.Number}):
		return ReasonWithdrawn
	case o.server.ID != q.Server || o.server.State == member.Absent:
		return ReasonOtherServer
	case o.isRefusing, o.server.State == member.Draining, o.isTooLate(now, q.Route):
		return string(slot.ReasonDraining)
	case now.Before(o.unreachableUntil):
		return ReasonUnreachable
	}
	return ""
}

// Call runs a request in the slot that was granted to it, or in a free one, and returns the whole answer or why there
// is none. The wait ends at the deadline of the request at the latest, with an answer that has arrived by then.
func (o *Owner) Call(c message.Call) message.Reply {
	arrived := time.Now()
	// The timeout of the send starts only once a connection is open.
	limited, stopTimer := context.WithDeadline(context.Background(), arrived.Add(c.Job.Deadline))
	defer stopTimer()
	ctx, cancel := context.WithCancelCause(limited)
	defer cancel(nil)
	tc, client, reason := o.acquireSlot(arrived, c, cancel)
	if reason != "" {
		return o.refusedReply(reason)
	}
	o.mu.Lock()
	c.Job.Deadline = o.timeLeft(arrived, c.Job)
	o.mu.Unlock()
	result := o.send(ctx, client, c)
	o.applyNotice(client, c.Job.Server, result)
	took := time.Since(arrived)
	reply := o.completeCall(tc, c, result)
	if c.IsTimed {
		reply.Took = took
	}
	if reply.Outcome == message.Unknown && !reply.IsExpired && reply.Reason != ReasonWithdrawn {
		reply.IsCrash = o.hasCrashed(c.Job.Server)
		reply.Incarnation = c.Job.Server
	}
	o.keepReply(tc, reply)
	if reply.Outcome != message.Ran {
		o.Logger.Info("owner: call failed", "request", c.Request.ID, "entry", c.Job.Entry, "server", c.Job.Server, "outcome", reply.Outcome.String(), "reason", reply.Reason,
			"crash", reply.IsCrash, "took", took, "running", reply.Load.Running, "waiting", reply.Load.Waiting, "slots", reply.Load.Slots)
	}
	return reply
}

// send sends a request to the backend server. After a panic the outcome is unknown.
func (o *Owner) send(ctx context.Context, client *upstream.Client, c message.Call) (result upstream.Result) {
	defer recovery.Handle(o.Logger, "owner", func() {
		result = upstream.Result{Outcome: upstream.Lost, Err: eris.New("the request ended in a panic")}
	})
	header := o.Headers.ForServer(c.Request, c.Job.Server, c.Job.Deadline)
	return client.Send(ctx, c.Request, header, c.Job.Deadline)
}

// keepReply keeps the reply to a call for Resume.
func (o *Owner) keepReply(tc *trackedCall, reply message.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, tc.key)
	o.results.add(time.Now(), tc.key, reply)
	close(tc.ended)
}

// acquireSlot claims the granted slot of a call with a ticket, and takes a free slot for one without. It returns the
// reason if the call may not run.
func (o *Owner) acquireSlot(now time.Time, c message.Call, cancel context.CancelCauseFunc) (*trackedCall, *upstream.Client, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.results.isBarred(callKey{c.Job.Entry, c.Job.Number}) {
		return nil, nil, ReasonNeverCame
	}
	if c.Ticket != 0 {
		return o.claimSlot(now, c, cancel)
	}
	if reason := o.refusalReason(now, c.Job); reason != "" {
		return nil, nil, reason
	}
	t, decision, reason := o.slots.Arrive(now, o.newSlotJob(now, c.Job), false)
	if decision != slot.Run {
		return nil, nil, string(reason)
	}
	tc := o.addCall(c.Job, t)
	tc.setCancel(c.Job, cancel)
	return tc, o.client, ""
}

// claimSlot claims the slot that was granted to a call; the caller holds the lock. It returns the reason if the grant
// has expired or the call may not run.
func (o *Owner) claimSlot(now time.Time, c message.Call, cancel context.CancelCauseFunc) (*trackedCall, *upstream.Client, string) {
	tc, ok := o.tickets[slot.Ticket(c.Ticket)]
	if !ok || tc.key != (callKey{c.Job.Entry, c.Job.Number}) || !o.slots.Claim(now, tc.ticket) {
		return nil, nil, string(slot.ReasonGrantExpired)
	}
	if reason := o.refusalReason(now, c.Job); reason != "" {
		o.removeCall(tc)
		o.notify(o.slots.Release(now, tc.ticket))
		return nil, nil, reason
	}
	tc.setCancel(c.Job, cancel)
	return tc, o.client, ""
}

// setCancel lets Expire end the call, and a withdrawal cancel it, except that an unrepeatable request runs to its end.
func (tc *trackedCall) setCancel(q message.Job, cancel context.CancelCauseFunc) {
	tc.expire = func() { cancel(context.DeadlineExceeded) }
	tc.cancel = func() {
		if q.Kind.IsRepeatable() {
			cancel(nil)
		}
	}
}

// refusedReply returns the reply to a call that has not run.
func (o *Owner) refusedReply(reason string) message.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return message.Reply{Outcome: message.NotRun, Reason: reason, Load: o.load()}
}

// completeCall frees the slot, records the result in the statistics of the backend server and returns the reply.
func (o *Owner) completeCall(tc *trackedCall, c message.Call, result upstream.Result) message.Reply {
	reply := o.replyFor(result)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	// The call stays in calls until its reply is kept.
	delete(o.tickets, tc.ticket)
	if reply.Outcome == message.Ran && !isServerError(reply.Answer) {
		if c.Job.Kind == route.Download && o.Link != nil {
			o.slots.RecordAnswerSize(c.Job.Route, len(reply.Answer.Body))
		}
		o.notify(o.slots.Finish(now, tc.ticket))
	} else {
		o.notify(o.slots.Release(now, tc.ticket))
	}
	o.failures.record(now, isServerFailure(reply))
	if result.IsRefused && o.server.ID == c.Job.Server {
		o.unreachableUntil = now.Add(unreachableTime)
	}
	reply.Load = o.load()
	return reply
}

// replyFor returns the reply with the outcome and reason for the result of a send, without the load.
func (o *Owner) replyFor(result upstream.Result) message.Reply {
	if result.Outcome == upstream.Answered {
		if o.Headers.IsNotRun(result.Answer.Status, result.Answer.Header) {
			return message.Reply{Outcome: message.NotRun, Reason: ReasonRejected, Answer: result.Answer}
		}
		return message.Reply{Outcome: message.Ran, Answer: result.Answer}
	}
	outcome := message.Unknown
	if result.Outcome == upstream.NotSent {
		outcome = message.NotRun
	}
	switch {
	case errors.Is(result.Err, context.DeadlineExceeded):
		return message.Reply{Outcome: outcome, Reason: ReasonDeadlinePassed, IsExpired: true}
	case errors.Is(result.Err, context.Canceled):
		return message.Reply{Outcome: outcome, Reason: ReasonWithdrawn}
	case outcome == message.NotRun:
		return message.Reply{Outcome: outcome, Reason: ReasonUnreachable}
	}
	return message.Reply{Outcome: outcome, Reason: ReasonConnectionEnded + ": " + result.Err.Error()}
}

// isServerError reports whether an answer has a status of 500 or more. The duration of such a call is not used to
// estimate service times, since it says nothing about the duration of a successful one.
func isServerError(a message.Answer) bool { return a.Status >= http.StatusInternalServerError }

// isServerFailure reports whether the backend server failed a call or did not run it. A passed deadline, a status of
// 504 and a withdrawal by the entry daemon don't count, since load or the caller may have caused them.
func isServerFailure(r message.Reply) bool {
	if r.Outcome == message.Ran {
		return isServerError(r.Answer) && r.Answer.Status != http.StatusGatewayTimeout
	}
	return !r.IsExpired && r.Reason != ReasonWithdrawn
}
