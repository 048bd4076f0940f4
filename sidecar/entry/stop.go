package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/sidecar/message"
)

// startFactor is the multiple of the usual answer time of a route that must be left before the end of this daemon, so
// that a request is passed on.
const startFactor = 2

// reasonStopping is the reason of a request that is refused because this daemon ends.
const reasonStopping = "the daemon stops"

// ending is the end of this daemon, once it is known. The zero value is ready for use.
type ending struct {
	mu sync.Mutex
	at time.Time
	// known is closed by set; it is nil while nobody waits.
	known chan struct{}
	// expired ends when Expire is called, for which expire is called; both are nil while nobody waits.
	expired context.Context
	expire  context.CancelFunc
}

// set sets the end and wakes those that wait for it.
func (e *ending) set(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = at
	if e.known == nil {
		e.known = make(chan struct{})
	}
	close(e.known)
}

// time returns the end, or false while it is not known.
func (e *ending) time() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at, !e.at.IsZero()
}

// wait returns a channel that is closed once the end is known.
func (e *ending) wait() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known == nil {
		e.known = make(chan struct{})
	}
	return e.known
}

// expiry returns a context that ends when Expire is called, and the function that ends it.
func (e *ending) expiry() (context.Context, context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.expired == nil {
		e.expired, e.expire = context.WithCancel(context.Background())
	}
	return e.expired, e.expire
}

// StopBy tells the handler that this daemon ends at the time end; it is called once. A request that is not passed on yet
// is refused once its usual answer time no longer fits, so that its client can try elsewhere.
func (h *Handler) StopBy(end time.Time) { h.ending.set(end) }

// Expire ends the waits for replies of owners as if the deadlines had passed, so that replies that have arrived are
// returned before this daemon ends. The owner of this daemon must expire first.
func (h *Handler) Expire() {
	_, expire := h.ending.expiry()
	expire()
}

// limit returns a context that ends at a deadline or when Expire is called; the cause is context.DeadlineExceeded in both
// cases.
func (h *Handler) limit(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	timed, stopTimer := context.WithDeadline(ctx, deadline)
	limited, cancel := context.WithCancelCause(timed)
	expired, _ := h.ending.expiry()
	stopWaiting := context.AfterFunc(expired, func() { cancel(context.DeadlineExceeded) })
	return limited, func() {
		stopWaiting()
		cancel(nil)
		stopTimer()
	}
}

// Abandon implements ingress.Handler: it returns the response to a request that is unanswered when this daemon ends. The
// request may have been passed on, so the response promises nothing.
func (h *Handler) Abandon(r *ingress.Request) *ingress.Response {
	id, _ := h.Headers.Read(r.Header)
	took := time.Since(r.Arrived)
	h.Meter.Count(message.Unknown, http.StatusBadGateway, took)
	h.Logger.Warn("entry: request unanswered at the end of the daemon", "request", id, "outcome", message.Unknown.String(), "status", http.StatusBadGateway, "reason", reasonStopping, "took", took)
	return h.refuse(id, http.StatusBadGateway, 0)
}

// deadline returns when an answer to a request stops being of use, or the end of this daemon if that is earlier.
func (h *Handler) deadline(c *clientCall) time.Time {
	if end, ok := h.ending.time(); ok && end.Before(c.deadline) {
		return end
	}
	return c.deadline
}

// lastStart returns until when a request may be passed on.
func (h *Handler) lastStart(c *clientCall) time.Time {
	end, ok := h.ending.time()
	if !ok {
		return c.deadline
	}
	h.mu.Lock()
	usual := h.meanTimes[c.route.Name()]
	h.mu.Unlock()
	if last := end.Add(-startFactor * usual); last.Before(c.deadline) {
		return last
	}
	return c.deadline
}
