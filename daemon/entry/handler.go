package entry

import (
	"context"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"siskinspar.example/daemon/owner"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/request/forward"
	"siskinspar.example/request/outcome"
	"siskinspar.example/request/quarantine"
	"siskinspar.example/request/retry"
	"siskinspar.example/request/routing"
	"siskinspar.example/timeline"
)

const (
	// answerGrace is how long after the deadline the entry daemon still waits for the truthful refusal of the owner.
	answerGrace = 100 * time.Millisecond
	// refusalSpan is the time in which refusals of one reason make one event.
	refusalSpan = time.Second
	// maximumCrashes is the number of backend servers that one request may crash.
	maximumCrashes = 2
	// maximumAttempts bounds the owners that one request is offered to.
	maximumAttempts = 4
)

// Configuration gives the snapshot in force.
type Configuration interface {
	// Snapshot returns nil before the first version is in force.
	Snapshot() *snapshot.Snapshot
}

// Liveness tells whether the daemon may serve.
type Liveness interface {
	// IsServing is false before the daemon is ready and after it stood still.
	IsServing() bool
}

// Directory gives the backend servers of a route.
type Directory interface {
	// Candidates returns the backend servers that are not draining.
	Candidates(n *snapshot.Snapshot, r snapshot.Route) []routing.Candidate
}

// Meter counts what became of the calls.
type Meter interface {
	// Count adds one call with its outcome and, unless it ran, the reason.
	Count(o outcome.Outcome, r outcome.Reason)
	// CountHedge adds one second attempt of a late read.
	CountHedge()
}

// Handler serves the caller listener; its exported fields are set before use.
type Handler struct {
	Configuration Configuration
	Liveness      Liveness
	Directory     Directory
	Identity      *peer.Identity
	Transport     http.RoundTripper
	Recorder      *timeline.Recorder
	Meter         Meter
	Router        *routing.Router
	Budget        *retry.Budget

	mu       sync.Mutex
	delays   map[string]*routing.Delay
	attempts conc.WaitGroup
	recorded map[outcome.Reason]time.Time
}

// Wait waits for the attempts that lost a race; a broken invariant in one of them stops the process here.
func (h *Handler) Wait() { h.attempts.Wait() }

// call is one request on its way; it holds one snapshot from first byte to last.
type call struct {
	request *http.Request
	route   snapshot.Route
	body    *forward.Body
	version declaration.Version
	tried   []routing.Endpoint
	expires time.Time
	crashes int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := h.Configuration.Snapshot()
	if n == nil || !h.Liveness.IsServing() {
		h.refuse(w, outcome.NewRefusal(outcome.ReasonNotReady))
		return
	}
	w.Header().Set(outcome.HeaderVersion, strconv.FormatUint(uint64(n.Version()), 10))
	route, ok := n.Match(hostOf(r), r.Method, path.Clean("/"+r.URL.Path))
	if !ok {
		h.refuse(w, outcome.NewRefusal(outcome.ReasonNoRoute))
		return
	}
	c, failure := newCall(r, route, n)
	if failure != nil {
		h.refuse(w, failure)
		return
	}
	h.serve(w, c, n)
}

func hostOf(r *http.Request) string {
	host := r.Host
	for i := len(host) - 1; i >= 0 && host[i] != ']'; i-- {
		if host[i] == ':' {
			return host[:i]
		}
	}
	return host
}

func newCall(r *http.Request, route snapshot.Route, n *snapshot.Snapshot) (*call, *outcome.Failure) {
	if route.Intent().Unrepeatable && r.Header.Get(outcome.HeaderKey) == "" {
		return nil, outcome.NewRefusal(outcome.ReasonMissingKey)
	}
	body, err := forward.ReadBody(r)
	if err != nil {
		return nil, outcome.NewFailure(outcome.NotRun, outcome.ReasonCancelled, http.StatusBadRequest)
	}
	timeout := forward.Timeout(r.Header, route.Intent().Timeout)
	return &call{request: r, route: route, body: body, version: n.Version(), expires: time.Now().Add(timeout)}, nil
}

func (h *Handler) serve(w http.ResponseWriter, c *call, n *snapshot.Snapshot) {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.expires.Add(answerGrace))
	defer cancel()
	h.earn()
	response, failure := h.attempt(ctx, c, n)
	if failure != nil {
		h.refuse(w, failure)
		return
	}
	defer response.done(routing.ResultAnswered)
	defer response.Body.Close()
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	if err := forward.SendResponse(w, response.Response); err != nil {
		response.done(resultOf(c.request.Context()))
		h.Meter.Count(outcome.Unknown, outcome.ReasonBackendFailure)
		// The connection is aborted so that the caller sees that the body is not whole.
		panic(http.ErrAbortHandler)
	}
	h.Meter.Count(outcome.Ran, "")
}

func (h *Handler) refuse(w http.ResponseWriter, f *outcome.Failure) {
	h.Meter.Count(f.Outcome(), f.Reason())
	h.record(f)
	f.WriteTo(w)
}

// record puts the first refusal of each reason in a second on the time line, so that an overload does not fill it.
func (h *Handler) record(f *outcome.Failure) {
	now := time.Now()
	h.mu.Lock()
	isRecent := now.Sub(h.recorded[f.Reason()]) < refusalSpan
	if !isRecent {
		if h.recorded == nil {
			h.recorded = map[outcome.Reason]time.Time{}
		}
		h.recorded[f.Reason()] = now
	}
	h.mu.Unlock()
	if !isRecent {
		h.Recorder.Record(timeline.Event{Kind: timeline.KindRequestRefused, Subject: string(f.Outcome()), Detail: string(f.Reason())})
	}
}

// attempt offers the request to owners until one answers, or until another attempt would not be safe.
func (h *Handler) attempt(ctx context.Context, c *call, n *snapshot.Snapshot) (*answer, *outcome.Failure) {
	failure := outcome.NewRefusal(outcome.ReasonNoBackend)
	candidate, ok := h.pick(c, n)
	for range maximumAttempts {
		if !ok || !time.Now().Before(c.expires) {
			return nil, failure
		}
		c.tried = append(c.tried, candidate.Endpoint())
		a, refused := h.offer(ctx, c, n, candidate)
		if refused == nil {
			if candidate, ok = h.afterShed(c, n, a); !ok {
				return a, nil
			}
			a.discard()
			continue
		}
		failure = refused
		if !h.isRetryable(c, failure) {
			return nil, failure
		}
		candidate, ok = h.pick(c, n)
	}
	return nil, failure
}

// afterShed picks another backend server after one answered that it sheds load, for requests that may be repeated
// and within the budget; without another one the answer stands.
func (h *Handler) afterShed(c *call, n *snapshot.Snapshot, a *answer) (routing.Candidate, bool) {
	mayRepeat := a.StatusCode == http.StatusServiceUnavailable && isRepeatable(c) && isOutermost(c) && c.body.IsReplayable()
	if !mayRepeat || len(c.tried) >= maximumAttempts {
		return routing.Candidate{}, false
	}
	next, ok := h.pick(c, n)
	return next, ok && h.spend()
}

func (h *Handler) pick(c *call, n *snapshot.Snapshot) (routing.Candidate, bool) {
	candidates := h.Directory.Candidates(n, c.route)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Router.Pick(time.Now(), candidates, c.tried)
}

// isRetryable allows another owner after a proven refusal, and after an unknown outcome only for
// repeatable requests of the outermost layer within the retry budget.
func (h *Handler) isRetryable(c *call, f *outcome.Failure) bool {
	if !c.body.IsReplayable() || c.request.Context().Err() != nil {
		return false
	}
	if f.Outcome() == outcome.NotRun {
		return isElsewherePossible(f.Reason())
	}
	return c.crashes < maximumCrashes && isOutermost(c) && isRepeatable(c) && f.Reason() != outcome.ReasonDeadline && h.spend()
}

// isOutermost reports whether no other layer of the mesh retries the request.
func isOutermost(c *call) bool {
	return c.request.Header.Get(outcome.HeaderAttempt) != outcome.InnerLayer
}

// isRepeatable takes the operators' word and, besides, repeats only methods that HTTP calls idempotent.
func isRepeatable(c *call) bool {
	if c.route.Intent().Unrepeatable {
		return false
	}
	switch c.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// isElsewherePossible reports whether another owner could take a request that was refused for the reason.
func isElsewherePossible(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonDraining, outcome.ReasonQueueFull, outcome.ReasonNoBackend, outcome.ReasonUnreachable, outcome.ReasonDisplaced, outcome.ReasonLimit:
		return true
	}
	return false
}

func (h *Handler) earn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Budget.Earn()
}

func (h *Handler) spend() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Budget.Spend()
}

func newOwnerCall(c *call, e routing.Endpoint) owner.Call {
	i := c.route.Intent()
	return owner.Call{
		Intent:         i.Name,
		Backend:        e.Backend,
		Priority:       i.Priority,
		IsProtected:    i.ProtectedShare > 0,
		IsUnrepeatable: i.Unrepeatable,
		Timeout:        time.Until(c.expires),
		Fingerprint:    quarantine.NewFingerprint(c.request.Method, c.request.URL.RequestURI(), c.body.Kept()),
	}
}
