package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
)

const (
	// hedgeFactor times the usual time of a route is how long the first answer is waited for alone.
	hedgeFactor = 3
	// shortestHedge keeps quick routes from being sent twice for a pause of a few milliseconds.
	shortestHedge = 80 * time.Millisecond
)

// sent is a request that was handed to an owner, with what became of it.
type sent struct {
	to     member.Candidate
	reply  message.Reply
	isSent bool
	reason string
	took   time.Duration
}

// isAnswer reports whether a backend server answered and did not fail.
func (s sent) isAnswer() bool {
	return s.reply.Outcome == message.Ran && s.reply.Answer.Status < http.StatusInternalServerError
}

// send hands the request to one owner and waits for what becomes of it.
func (h *Handler) send(ctx context.Context, c *call, m *message.Call, to member.Candidate) sent {
	limited, cancel := context.WithDeadline(ctx, c.expires.Add(answerGrace))
	defer cancel()
	h.Directory.NoteSent(to.Address)
	started := time.Now()
	reply, isSent, err := h.Owners.Call(limited, to.Address, m)
	now := time.Now()
	s := sent{to: to, reply: reply, isSent: isSent, took: now.Sub(started)}
	if err != nil {
		s.reply = h.lost(ctx, c, to, m, isSent)
		s.reason = err.Error()
	} else {
		h.Directory.NoteLoad(now, to.Address, reply.Load)
	}
	return s
}

// exchange sends a request and returns what became of it. One that may be repeated goes to a second owner, too, when its
// answer takes unusually long; the first answer counts, and the other run is given up.
func (h *Handler) exchange(ctx context.Context, c *call, p place) sent {
	delay, mayHedge := h.hedgeDelay(c)
	if !mayHedge {
		return h.send(ctx, c, h.message(c, p), p.at)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sent, 2)
	start := func(p place) {
		m := h.message(c, p)
		go func() { results <- h.send(ctx, c, m, p.at) }()
	}
	start(p)
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
			h.noteTry(c, s)
		case <-timer.C:
			second, ok := h.hedge(c, p)
			if !ok {
				continue
			}
			c.arrivals++
			open++
			start(second)
		}
	}
}

// hedgeDelay returns how long the first answer is waited for alone. Large answers are not sent twice, since links are
// scarcer than slots, and nested calls neither: the request that waits for them is.
func (h *Handler) hedgeDelay(c *call) (time.Duration, bool) {
	if c.route.Kind() != route.Idempotent || c.isNested {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	usual, ok := h.usual[c.route.Name()]
	return max(shortestHedge, hedgeFactor*usual), ok
}

// hedge picks a second owner with a free slot, within the attempts of the route and the spare part of the allowance.
func (h *Handler) hedge(c *call, first place) (place, bool) {
	if c.arrivals+2 > c.route.Attempts() {
		return place{}, false
	}
	now := time.Now()
	candidates := h.Directory.Candidates(now, c.service)
	daemons := h.Directory.Daemons()
	h.mu.Lock()
	defer h.mu.Unlock()
	free, ok := h.Placer.Free(now, candidates, append(slices.Clone(c.tried), first.at.Server.ID), false)
	if !ok || !h.budget(c.service).SpendSpare(now, daemons) {
		return place{}, false
	}
	h.Logger.Info("entry: request sent to a second owner", "request", c.request.ID, "route", c.route.Name(), "first", first.at.Address, "second", free.Address,
		"usual", h.usual[c.route.Name()], "load-age", free.LoadAge)
	return place{at: free, job: h.newJob(c, free, 1)}, true
}

// noteTry takes in a try that failed while another one is on its way.
func (h *Handler) noteTry(c *call, s sent) {
	c.tried = append(c.tried, s.to.Server.ID)
	c.reason = s.reply.Reason
	if s.reply.Outcome == message.NotRun {
		return
	}
	h.noteFailure(s.to.Server.ID)
	if s.reply.Outcome == message.Ran {
		c.failed = &s.reply.Answer
	}
	if s.reply.IsCrash {
		h.Quarantine.NoteCrash(c.fingerprint, s.reply.Incarnation)
	}
}

// message returns the call for one owner.
func (h *Handler) message(c *call, p place) *message.Call {
	p.job.Deadline = time.Until(c.expires)
	return &message.Call{Job: p.job, Ticket: p.ticket, Request: c.request}
}
