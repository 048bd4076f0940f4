package entry

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/request/outcome"
	"siskinspar.example/request/routing"
)

// hedgeDelay returns the estimator of the delay after which a read of the call's route is hedged; the caller of
// hedgeDelay holds the lock.
func (h *Handler) hedgeDelay(c *call) *routing.HedgeDelay {
	name := c.route.Intent().Name
	if h.hedgeDelays == nil {
		h.hedgeDelays = map[string]*routing.HedgeDelay{}
	}
	d, ok := h.hedgeDelays[name]
	if !ok {
		d = &routing.HedgeDelay{}
		h.hedgeDelays[name] = d
	}
	return d
}

// countCrash counts a failure of the request in which the backend server crashed.
func (c *call) countCrash(f *outcome.Failure) {
	if f != nil && f.Reason() == outcome.ReasonCrashed {
		c.crashes++
	}
}

// isHedgeable reports whether a second attempt may run in parallel with the first: only for repeatable reads from
// outside the mesh whose body is not streamed, and not after a backend server crashed during the request.
func isHedgeable(c *call) bool {
	isRead := c.request.Method == http.MethodGet || c.request.Method == http.MethodHead
	return isRead && c.crashes == 0 && isFromOutsideMesh(c) && c.route.Intent().IsRepeatable() && !c.body.IsStreamed()
}

// sendWithHedge sends the request to one owner, and to a second one if the response to a read is late and the retry
// budget allows it.
func (h *Handler) sendWithHedge(ctx context.Context, c *call, snap *snapshot.Snapshot, to routing.Candidate) (*ownerResponse, *outcome.Failure) {
	h.mu.Lock()
	wait, isKnown := h.hedgeDelay(c).Value()
	h.mu.Unlock()
	if !isKnown || !isHedgeable(c) {
		response, failure := h.sendToOwner(ctx, c, to)
		c.countCrash(failure)
		return response, failure
	}
	r := &hedgedRead{handler: h, call: c, snapshot: snap, results: make(chan attemptResult, 2)}
	r.launch(ctx, to)
	return r.run(ctx, wait)
}

// hedgedRead is a read with at most two parallel attempts, of which the first response is used.
type hedgedRead struct {
	handler  *Handler
	call     *call
	snapshot *snapshot.Snapshot
	results  chan attemptResult
	cancels  []context.CancelFunc
}

// attemptResult holds the response or the failure of one attempt; attempt is its index in the order of launch.
type attemptResult struct {
	attempt  int
	response *ownerResponse
	failure  *outcome.Failure
}

func (r *hedgedRead) launch(ctx context.Context, to routing.Candidate) {
	ctx, cancel := context.WithCancel(ctx)
	attempt := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.handler.attempts.Go(func() {
		response, failure := r.handler.sendToOwner(ctx, r.call, to)
		r.results <- attemptResult{attempt: attempt, response: response, failure: failure}
	})
}

func (r *hedgedRead) run(ctx context.Context, wait time.Duration) (*ownerResponse, *outcome.Failure) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var failure *outcome.Failure
	for finished := 0; finished < len(r.cancels); {
		select {
		case <-timer.C:
			r.launchHedge(ctx)
		case result := <-r.results:
			finished++
			if result.response != nil {
				r.cancelOthers(result.attempt, len(r.cancels)-finished)
				return result.response, nil
			}
			r.cancels[result.attempt]()
			r.call.countCrash(result.failure)
			failure = lessCertain(failure, result.failure)
		}
	}
	return nil, failure
}

// lessCertain returns a if it leaves open whether the request ran, and b otherwise, also if a is nil.
func lessCertain(a, b *outcome.Failure) *outcome.Failure {
	if a == nil || a.Outcome() == outcome.NotRun {
		return b
	}
	return a
}

func (r *hedgedRead) launchHedge(ctx context.Context) {
	if !r.handler.spendRetry() {
		return
	}
	second, ok := r.handler.pickBackend(r.call, r.snapshot)
	if !ok {
		return
	}
	r.call.tried = append(r.call.tried, second.Endpoint())
	r.handler.Meter.CountHedge()
	r.launch(ctx, second)
}

// cancelOthers cancels all attempts but the winner and closes, unread, any response that still arrives for them.
// running is the number of attempts without a result.
func (r *hedgedRead) cancelOthers(winner, running int) {
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
			if result := <-r.results; result.response != nil {
				_ = result.response.Body.Close()
				result.response.finish(routing.ResultCancelled)
			}
		}
	})
}
