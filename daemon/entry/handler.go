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
	// responseGrace is how long the entry daemon waits beyond the deadline, so that it can pass on the owner's own
	// error, which says whether the request ran.
	responseGrace = 100 * time.Millisecond
	// failureEventInterval is the least time between two timeline events for failures with the same reason.
	failureEventInterval = time.Second
	// maximumCrashes is the number of backend server crashes during a request after which it is not retried.
	maximumCrashes = 2
	// maximumAttempts is the greatest number of tries for one request; a try may include a hedge.
	maximumAttempts = 4
)

// Configuration provides the configuration that is in force.
type Configuration interface {
	// Snapshot returns the compiled configuration, or nil before the first version is in force.
	Snapshot() *snapshot.Snapshot
}

// Liveness reports whether the daemon may serve calls.
type Liveness interface {
	// IsServing returns false before the daemon is ready, and after its process was paused until it has caught up.
	IsServing() bool
}

// CandidateSource lists the backend servers that may serve a route; it is the roster.
type CandidateSource interface {
	// Candidates returns the backend servers of the route that are not draining.
	Candidates(snap *snapshot.Snapshot, r snapshot.Route) []routing.Candidate
}

// Meter counts calls by outcome.
type Meter interface {
	// Count adds one call; the reason is empty for calls that ran.
	Count(o outcome.Outcome, r outcome.Reason)
	// CountHedge adds one hedge: the second attempt of a read whose first attempt is late.
	CountHedge()
}

// Handler serves the HTTP listener for callers; its exported fields are set before use.
type Handler struct {
	Configuration   Configuration
	Liveness        Liveness
	CandidateSource CandidateSource
	Identity        *peer.Identity
	Transport       http.RoundTripper
	Recorder        *timeline.Recorder
	Meter           Meter
	Router          *routing.Router
	Budget          *retry.Budget

	// mu guards Router, Budget, hedgeDelays and lastRecorded.
	mu sync.Mutex
	// hedgeDelays holds the delay estimators by the name of the route's intent.
	hedgeDelays map[string]*routing.HedgeDelay
	attempts    conc.WaitGroup
	// lastRecorded holds the time of the last timeline event by the reason of the failure.
	lastRecorded map[outcome.Reason]time.Time
}

// Wait waits for the hedged attempts that are still running; it panics again with the panic of an attempt, so
// that a broken invariant stops the process.
func (h *Handler) Wait() { h.attempts.Wait() }

// call is a request that is being served. The snapshot that matched its route is used until its end, so that a version
// that comes into force meanwhile does not affect it.
type call struct {
	request *http.Request
	route   snapshot.Route
	body    *forward.Body
	// version is the version of that snapshot.
	version  declaration.Version
	tried    []routing.Endpoint
	deadline time.Time
	crashes  int
}

// ServeHTTP implements http.Handler; it responds with a failure when no owner returned a response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snap := h.Configuration.Snapshot()
	if snap == nil || !h.Liveness.IsServing() {
		h.writeFailure(w, outcome.NewRefusal(outcome.ReasonNotReady))
		return
	}
	w.Header().Set(outcome.HeaderVersion, strconv.FormatUint(uint64(snap.Version()), 10))
	route, ok := snap.Match(hostWithoutPort(r), r.Method, path.Clean("/"+r.URL.Path))
	if !ok {
		h.writeFailure(w, outcome.NewRefusal(outcome.ReasonNoRoute))
		return
	}
	c, failure := newCall(r, route, snap)
	if failure != nil {
		h.writeFailure(w, failure)
		return
	}
	h.serve(w, c, snap)
}

func hostWithoutPort(r *http.Request) string {
	host := r.Host
	for i := len(host) - 1; i >= 0 && host[i] != ']'; i-- {
		if host[i] == ':' {
			return host[:i]
		}
	}
	return host
}

func newCall(r *http.Request, route snapshot.Route, snap *snapshot.Snapshot) (*call, *outcome.Failure) {
	if route.Intent().Unrepeatable && r.Header.Get(outcome.HeaderKey) == "" {
		return nil, outcome.NewRefusal(outcome.ReasonMissingKey)
	}
	body, err := forward.ReadBody(r)
	if err != nil {
		return nil, outcome.NewFailure(outcome.NotRun, outcome.ReasonCancelled, http.StatusBadRequest)
	}
	timeout := forward.Timeout(r.Header, route.Intent().Timeout)
	return &call{request: r, route: route, body: body, version: snap.Version(), deadline: time.Now().Add(timeout)}, nil
}

func (h *Handler) serve(w http.ResponseWriter, c *call, snap *snapshot.Snapshot) {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline.Add(responseGrace))
	defer cancel()
	h.earnRetry()
	response, failure := h.sendWithRetries(ctx, c, snap)
	if failure != nil {
		h.writeFailure(w, failure)
		return
	}
	defer response.finish(routing.ResultAnswered)
	defer response.Body.Close()
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	if err := forward.SendResponse(w, response.Response); err != nil {
		response.finish(resultOfContext(c.request.Context()))
		h.Meter.Count(outcome.Unknown, outcome.ReasonBackendFailure)
		// Aborting the connection shows the caller that the body is incomplete.
		panic(http.ErrAbortHandler)
	}
	h.Meter.Count(outcome.Ran, "")
}

// writeFailure counts and records a failure and responds with it. The request may have run: the outcome of the failure
// says whether that is known.
func (h *Handler) writeFailure(w http.ResponseWriter, f *outcome.Failure) {
	h.Meter.Count(f.Outcome(), f.Reason())
	h.recordFailure(f)
	f.WriteTo(w)
}

// recordFailure adds at most one event per reason and failureEventInterval to the timeline, so that an overload
// does not fill it.
func (h *Handler) recordFailure(f *outcome.Failure) {
	now := time.Now()
	h.mu.Lock()
	isRecent := now.Sub(h.lastRecorded[f.Reason()]) < failureEventInterval
	if !isRecent {
		if h.lastRecorded == nil {
			h.lastRecorded = map[outcome.Reason]time.Time{}
		}
		h.lastRecorded[f.Reason()] = now
	}
	h.mu.Unlock()
	if !isRecent {
		h.Recorder.Record(timeline.Event{Kind: timeline.KindRequestRefused, Subject: string(f.Outcome()), Detail: string(f.Reason())})
	}
}

// sendWithRetries sends the request to one owner after another until one responds, or until a retry is not safe or
// not allowed.
func (h *Handler) sendWithRetries(ctx context.Context, c *call, snap *snapshot.Snapshot) (*ownerResponse, *outcome.Failure) {
	failure := outcome.NewRefusal(outcome.ReasonNoBackend)
	candidate, ok := h.pickBackend(c, snap)
	for range maximumAttempts {
		if !ok || !time.Now().Before(c.deadline) {
			return nil, failure
		}
		c.tried = append(c.tried, candidate.Endpoint())
		response, refused := h.sendWithHedge(ctx, c, snap, candidate)
		if refused == nil {
			if candidate, ok = h.nextAfterOverload(c, snap, response); !ok {
				return response, nil
			}
			response.discard()
			continue
		}
		failure = refused
		if !h.isRetryable(c, failure) {
			return nil, failure
		}
		candidate, ok = h.pickBackend(c, snap)
	}
	return nil, failure
}

// nextAfterOverload picks another backend server after one responded with status 503, for repeatable requests
// within the retry budget. It returns false when the 503 response is to be passed on to the caller.
func (h *Handler) nextAfterOverload(c *call, snap *snapshot.Snapshot, response *ownerResponse) (routing.Candidate, bool) {
	mayRepeat := response.StatusCode == http.StatusServiceUnavailable && isRepeatable(c) && isFromOutsideMesh(c) && c.body.IsReplayable()
	if !mayRepeat || len(c.tried) >= maximumAttempts {
		return routing.Candidate{}, false
	}
	next, ok := h.pickBackend(c, snap)
	return next, ok && h.spendRetry()
}

func (h *Handler) pickBackend(c *call, snap *snapshot.Snapshot) (routing.Candidate, bool) {
	candidates := h.CandidateSource.Candidates(snap, c.route)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Router.Pick(time.Now(), candidates, c.tried)
}

// isRetryable reports whether the request may be sent to another owner. A request that certainly did not run may,
// if its body can be replayed. One with an unknown outcome must also be repeatable, come from outside the mesh, and
// fit the retry budget.
func (h *Handler) isRetryable(c *call, f *outcome.Failure) bool {
	if !c.body.IsReplayable() || c.request.Context().Err() != nil {
		return false
	}
	if f.Outcome() == outcome.NotRun {
		return isRetryableElsewhere(f.Reason())
	}
	return c.crashes < maximumCrashes && isFromOutsideMesh(c) && isRepeatable(c) && f.Reason() != outcome.ReasonDeadline && h.spendRetry()
}

// isFromOutsideMesh reports whether the request is not a nested call, one that a backend server makes while it serves
// another request. Owners set HeaderAttempt to InnerLayer on the requests to their backend servers, and a backend
// server may pass that on with its nested calls. These are not retried here, since the entry daemon of the outermost
// call retries.
func isFromOutsideMesh(c *call) bool {
	return c.request.Header.Get(outcome.HeaderAttempt) != outcome.InnerLayer
}

// isRepeatable reports whether the request may run twice: the operators did not declare its intent unrepeatable or an
// upload, and HTTP defines its method as idempotent.
func isRepeatable(c *call) bool {
	if !c.route.Intent().IsRepeatable() {
		return false
	}
	switch c.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// isRetryableElsewhere reports whether another owner may accept a request that one owner refused for the reason.
func isRetryableElsewhere(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonDraining, outcome.ReasonQueueFull, outcome.ReasonNoBackend, outcome.ReasonUnreachable, outcome.ReasonDisplaced, outcome.ReasonLimit:
		return true
	}
	return false
}

func (h *Handler) earnRetry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Budget.Earn()
}

func (h *Handler) spendRetry() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Budget.Spend()
}

func newOwnerCall(c *call, e routing.Endpoint) owner.Call {
	intent := c.route.Intent()
	return owner.Call{
		Intent:         intent.Name,
		Backend:        e.Backend,
		Priority:       intent.Priority,
		IsProtected:    intent.ProtectedShare > 0,
		IsUnrepeatable: intent.Unrepeatable,
		Timeout:        time.Until(c.deadline),
		Fingerprint:    quarantine.NewFingerprint(c.request.Method, c.request.URL.RequestURI(), c.body.Kept()),
	}
}
