package entry

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/request/outcome"
	"siskinspar.example/request/routing"
)

// delay returns the learned delay of the route of a call; the caller holds the lock.
func (h *Handler) delay(c *call) *routing.Delay {
	name := c.route.Intent().Name
	if h.delays == nil {
		h.delays = map[string]*routing.Delay{}
	}
	d, ok := h.delays[name]
	if !ok {
		d = &routing.Delay{}
		h.delays[name] = d
	}
	return d
}

// noteFailure counts the backend servers that crashed under the request.
func (c *call) noteFailure(f *outcome.Failure) {
	if f != nil && f.Reason() == outcome.ReasonCrashed {
		c.crashes++
	}
}

// isHedgeable reports whether a second attempt may run beside the first: only for reads whose repetition is
// harmless, and not after a crash.
func isHedgeable(c *call) bool {
	isRead := c.request.Method == http.MethodGet || c.request.Method == http.MethodHead
	return isRead && c.crashes == 0 && isOutermost(c) && !c.route.Intent().Unrepeatable && !c.body.IsStreamed()
}

// offer sends the request to one owner, and to a second one when a read is late and the budget allows it.
func (h *Handler) offer(ctx context.Context, c *call, n *snapshot.Snapshot, to routing.Candidate) (*answer, *outcome.Failure) {
	h.mu.Lock()
	wait, isKnown := h.delay(c).Value()
	h.mu.Unlock()
	if !isKnown || !isHedgeable(c) {
		a, failure := h.send(ctx, c, to)
		c.noteFailure(failure)
		return a, failure
	}
	r := &race{handler: h, call: c, snapshot: n, results: make(chan result, 2)}
	r.launch(ctx, to)
	return r.run(ctx, wait)
}

// race is a read with at most two attempts of which the first answer counts.
type race struct {
	handler  *Handler
	call     *call
	snapshot *snapshot.Snapshot
	results  chan result
	cancels  []context.CancelFunc
}

// result is what came of one attempt.
type result struct {
	attempt int
	answer  *answer
	failure *outcome.Failure
}

func (r *race) launch(ctx context.Context, to routing.Candidate) {
	ctx, cancel := context.WithCancel(ctx)
	attempt := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.handler.attempts.Go(func() {
		a, failure := r.handler.send(ctx, r.call, to)
		r.results <- result{attempt: attempt, answer: a, failure: failure}
	})
}

func (r *race) run(ctx context.Context, wait time.Duration) (*answer, *outcome.Failure) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var failure *outcome.Failure
	for ended := 0; ended < len(r.cancels); {
		select {
		case <-timer.C:
			r.launchSecond(ctx)
		case one := <-r.results:
			ended++
			if one.answer != nil {
				r.cancelOthers(one.attempt, len(r.cancels)-ended)
				return one.answer, nil
			}
			r.cancels[one.attempt]()
			r.call.noteFailure(one.failure)
			failure = worse(failure, one.failure)
		}
	}
	return nil, failure
}

// worse returns the failure that says less about the request having not run.
func worse(a, b *outcome.Failure) *outcome.Failure {
	if a == nil || a.Outcome() == outcome.NotRun {
		return b
	}
	return a
}

func (r *race) launchSecond(ctx context.Context) {
	if !r.handler.spend() {
		return
	}
	second, ok := r.handler.pick(r.call, r.snapshot)
	if !ok {
		return
	}
	r.call.tried = append(r.call.tried, second.Endpoint())
	r.handler.Meter.CountHedge()
	r.launch(ctx, second)
}

// cancelOthers ends the losers; an answer that a loser still gets is closed unread.
func (r *race) cancelOthers(winner, running int) {
	for i, cancel := range r.cancels {
		if i != winner {
			cancel()
		}
	}
	if running == 0 {
		return
	}
	r.handler.attempts.Go(func() {
		for range running {
			if one := <-r.results; one.answer != nil {
				_ = one.answer.Body.Close()
				one.answer.done(routing.ResultCancelled)
			}
		}
	})
}
