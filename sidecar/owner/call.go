package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
	"siskinspar.example/sidecar/slot"
	"siskinspar.example/sidecar/upstream"
)

// Reserve waits for a slot; the slot is then held for a short time for the call.
func (o *Owner) Reserve(q message.Job) message.Grant {
	now := time.Now()
	o.mu.Lock()
	if reason := o.check(now, q); reason != "" {
		defer o.mu.Unlock()
		return message.Grant{Reason: reason, Load: o.load()}
	}
	j := o.newJob(now, q)
	t, verdict, reason := o.slots.Arrive(now, j, true)
	if verdict == slot.Refuse {
		defer o.mu.Unlock()
		return message.Grant{Reason: string(reason), Load: o.load()}
	}
	w := o.add(q, t)
	if verdict == slot.Run {
		defer o.mu.Unlock()
		o.slots.Hold(t, now.Add(holdTime))
		return message.Grant{Ticket: uint64(t), Load: o.load()}
	}
	o.mu.Unlock()
	reason = <-w.granted
	o.mu.Lock()
	defer o.mu.Unlock()
	if reason != "" {
		return message.Grant{Reason: string(reason), Load: o.load()}
	}
	return message.Grant{Ticket: uint64(t), Load: o.load()}
}

func (o *Owner) newJob(now time.Time, q message.Job) slot.Job {
	// The answer to a request that entered here leaves over the link once, whichever backend server gives it.
	isBulk := q.Kind == route.Download && q.Entry != o.Address
	return slot.Job{
		Class: q.Route, Priority: q.Priority,
		Target: now.Add(q.Target), Deadline: now.Add(q.Deadline), Share: q.Share, IsBulk: isBulk, IsNested: q.IsNested,
	}
}

func (o *Owner) add(q message.Job, t slot.Ticket) *job {
	j := &job{key: key{q.Entry, q.Number}, ticket: t, granted: make(chan slot.Reason, 1)}
	o.jobs[j.key] = j
	o.tickets[t] = j
	return j
}

// check returns why a request can't run here whatever the slots, or nothing.
func (o *Owner) check(now time.Time, q message.Job) string {
	switch {
	case o.server.ID != q.Server || o.server.State == member.Absent:
		return ReasonOtherServer
	case o.server.State == member.Draining:
		return string(slot.ReasonDraining)
	case now.Before(o.downUntil):
		return ReasonUnreachable
	}
	return ""
}

// Call runs a request in a slot that is held for it or free, and returns the whole answer.
func (o *Owner) Call(c message.Call) message.Reply {
	arrived := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	j, client, reason := o.enter(arrived, c, cancel)
	if reason != "" {
		return o.refusal(reason)
	}
	header := o.Headers.ForServer(c.Request, c.Job.Server, c.Job.Deadline)
	result := client.Send(ctx, c.Request, header, c.Job.Deadline)
	took := time.Since(arrived)
	reply := o.settle(j, c, result)
	if reply.Outcome == message.Unknown && !reply.IsExpired && reply.Reason != ReasonWithdrawn {
		reply.IsCrash = o.hasCrashed(c.Job.Server)
		reply.Incarnation = c.Job.Server
	}
	if reply.Outcome != message.Ran {
		o.Logger.Info("owner: call failed", "request", c.Request.ID, "entry", c.Job.Entry, "server", c.Job.Server, "outcome", reply.Outcome.String(), "reason", reply.Reason,
			"crash", reply.IsCrash, "took", took, "running", reply.Load.Running, "waiting", reply.Load.Waiting, "slots", reply.Load.Slots)
	}
	return reply
}

// enter takes the slot of a call.
func (o *Owner) enter(now time.Time, c message.Call, cancel context.CancelFunc) (*job, *upstream.Client, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.Ticket != 0 {
		return o.claim(now, c, cancel)
	}
	if reason := o.check(now, c.Job); reason != "" {
		return nil, nil, reason
	}
	t, verdict, reason := o.slots.Arrive(now, o.newJob(now, c.Job), false)
	if verdict != slot.Run {
		return nil, nil, string(reason)
	}
	j := o.add(c.Job, t)
	j.start(c.Job, cancel)
	return j, o.client, ""
}

// claim starts the call for which a slot is held.
func (o *Owner) claim(now time.Time, c message.Call, cancel context.CancelFunc) (*job, *upstream.Client, string) {
	j, ok := o.tickets[slot.Ticket(c.Ticket)]
	if !ok || j.key != (key{c.Job.Entry, c.Job.Number}) || !o.slots.Claim(now, j.ticket) {
		return nil, nil, string(slot.ReasonLapsed)
	}
	if reason := o.check(now, c.Job); reason != "" {
		o.forget(j)
		o.notify(o.slots.Release(now, j.ticket))
		return nil, nil, reason
	}
	j.start(c.Job, cancel)
	return j, o.client, ""
}

// start makes the call one that can be given up; an unrepeatable request is let finish.
func (j *job) start(q message.Job, cancel context.CancelFunc) {
	if !q.Kind.IsRepeatable() {
		cancel = func() {}
	}
	j.cancel = cancel
}

func (o *Owner) refusal(reason string) message.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return message.Reply{Outcome: message.NotRun, Reason: reason, Load: o.load()}
}

// settle frees the slot and tells what became of the call.
func (o *Owner) settle(j *job, c message.Call, result upstream.Result) message.Reply {
	reply := o.reply(result)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(j)
	if reply.Outcome == message.Ran && !isFailed(reply.Answer) {
		if c.Job.Kind == route.Download && o.Link != nil {
			o.slots.NoteSize(c.Job.Route, len(reply.Answer.Body))
		}
		o.notify(o.slots.Finish(now, j.ticket))
	} else {
		o.notify(o.slots.Release(now, j.ticket))
	}
	o.failing.note(now, isFailure(reply))
	if result.IsRefused && o.server.ID == c.Job.Server {
		o.downUntil = now.Add(downTime)
	}
	reply.Load = o.load()
	return reply
}

func (o *Owner) reply(result upstream.Result) message.Reply {
	switch result.Outcome {
	case upstream.NotSent:
		return message.Reply{Outcome: message.NotRun, Reason: ReasonUnreachable}
	case upstream.Answered:
		if o.Headers.IsNotRun(result.Answer.Status, result.Answer.Header) {
			return message.Reply{Outcome: message.NotRun, Reason: ReasonRejected, Answer: result.Answer}
		}
		return message.Reply{Outcome: message.Ran, Answer: result.Answer}
	}
	switch {
	case errors.Is(result.Err, context.DeadlineExceeded):
		return message.Reply{Outcome: message.Unknown, Reason: ReasonDeadline, IsExpired: true}
	case errors.Is(result.Err, context.Canceled):
		return message.Reply{Outcome: message.Unknown, Reason: ReasonWithdrawn}
	}
	return message.Reply{Outcome: message.Unknown, Reason: ReasonBroken + ": " + result.Err.Error()}
}

// isFailed reports whether a backend server failed the request; how long that took tells nothing of the time of a success.
func isFailed(a message.Answer) bool { return a.Status >= http.StatusInternalServerError }

// isFailure reports whether the backend server, and not its load or the caller, is the reason for a missing success.
func isFailure(r message.Reply) bool {
	switch r.Outcome {
	case message.Ran:
		return isFailed(r.Answer) && r.Answer.Status != http.StatusGatewayTimeout
	case message.NotRun:
		return true
	}
	return !r.IsExpired && r.Reason != ReasonWithdrawn
}
