package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/route"
	"siskinspar.example/sidecar/slot"
)

// Configuration provides the routes in force.
type Configuration interface {
	// Table returns the routes in force, or nil before the first configuration has arrived.
	Table() *route.Table
}

// Directory lists the backend servers of a service and records what calls to their owners show.
type Directory interface {
	// Candidates returns the ready backend servers of a service.
	Candidates(now time.Time, service string) []member.Candidate
	// RecordLoad records the load of the backend server at an owner's address, as stated in the owner's reply.
	RecordLoad(now time.Time, address string, l member.Load)
	// RecordSent counts a request that is being sent to the owner at an address.
	RecordSent(address string)
	// RecordUnreachable records that nothing could be sent to the owner at an address.
	RecordUnreachable(address string)
	// RecordLeaving records that the backend server beside the owner at an address has stated that it leaves.
	RecordLeaving(address string, s member.Server)
	// Daemons returns the number of known daemons, including this one.
	Daemons() int
}

// Owners sends messages to the owners, which are the daemons beside the backend servers.
type Owners interface {
	// Call has an owner run a request and returns its reply. If err is set, isSent says whether any part of the request
	// was sent; if not, it certainly has not run.
	Call(ctx context.Context, address string, c *message.Call) (reply message.Reply, isSent bool, err error)
	// Reserve waits until an owner grants a slot to the request or refuses it.
	Reserve(ctx context.Context, address string, j message.Job) (message.Grant, error)
	// Resume returns the reply to a call whose connection broke, or an error. IsGone says whether no daemon runs at the
	// address any more, so that another try is useless.
	Resume(ctx context.Context, address string, kind route.Kind, r message.Resumption) (reply message.Reply, isGone bool, err error)
	// Withdraw cancels a reservation or a running call at an owner, without waiting for the result.
	Withdraw(address string, w message.Withdrawal)
}

// Quarantine tracks the requests that crash backend servers, by their fingerprints.
type Quarantine interface {
	// IsQuarantined reports whether the request has crashed so many backend servers that it must not run again.
	IsQuarantined(fingerprint string) bool
	// RecordAnswer clears a request of the suspicion of crashing backend servers, since one has answered it.
	RecordAnswer(fingerprint string)
	// RecordCrash counts the crash of the backend server with an ID while it ran the request.
	RecordCrash(fingerprint, serverID string)
}

// Headers reads the headers of client requests and builds those of responses.
type Headers interface {
	// Read returns the ID of a request and how long its client waits, or 0 if the client does not state it.
	Read(h http.Header) (id string, timeout time.Duration)
	// Refusal returns the headers of a response that no backend server gave. The client is asked to retry after
	// retryAfter; 0 states no time.
	Refusal(id string, retryAfter time.Duration) http.Header
	// ForClient returns the headers of a backend server's answer without those that concern one connection only.
	ForClient(h http.Header) http.Header
	// Notice returns what a backend server states of itself in an answer.
	Notice(status int, h http.Header) member.Notice
	// Forwarded returns the headers of a client request that are passed on to a backend server.
	Forwarded(h http.Header) http.Header
	// Authorization returns the values of the header that holds the API key of a request.
	Authorization(h http.Header) []string
	// RemoveIdentity removes the API key and the name of an organisation from the headers that Forwarded returned.
	RemoveIdentity(h http.Header)
}

// Running knows the requests that run at the backend server beside this daemon.
type Running interface {
	// LongestTimeLeft returns the longest time that any of them has left until its deadline, or 0 if none runs.
	LongestTimeLeft(now time.Time) time.Duration
}

// Meter counts the requests by outcome.
type Meter interface {
	// Count adds one request with its outcome, the HTTP status of its response and the time since its arrival.
	Count(outcome message.Outcome, status int, took time.Duration)
}

// Handler serves the requests of clients; its exported fields are set before use. No other lock is acquired while its
// lock is held.
type Handler struct {
	// Address is the host and port at which other daemons reach this one.
	Address string
	// Service is the service of the backend server on this machine; it is sent as the caller of each request.
	Service       string
	Configuration Configuration
	Directory     Directory
	Owners        Owners
	Quarantine    Quarantine
	Running       Running
	Headers       Headers
	Meter         Meter
	// Quotas bounds the requests of organisations; it is set before use, or nil for no bound.
	Quotas Quotas
	// Rollouts divides the backend servers of a service by version; it is set before use, or nil for no roll-outs.
	Rollouts Rollouts
	Logger   *slog.Logger
	// Placer selects backend servers.
	Placer *placement.Placer
	// RetryAllowance bounds the retries and hedges for each service over all daemons.
	RetryAllowance placement.RetryAllowance
	// Link is the outgoing link of the instance, or nil for a link without limit.
	Link slot.Link
	// Random is used only under the lock.
	Random *rand.Rand

	// FirstNumber is below the numbers of all jobs; it differs from one start of the daemon to the next, so that the
	// owners don't take a job for one of an earlier start. It is set before use.
	FirstNumber uint64

	// ending is the end of this daemon, once StopBy has set it.
	ending ending
	// lastNumber is the number of the latest job sent to an owner, less FirstNumber.
	lastNumber atomic.Uint64
	mu         sync.Mutex
	// budgets holds the retry budgets by service.
	budgets map[string]*placement.Budget
	// rotation divides the requests of weighted routes among their services.
	rotation route.Rotation
	// versions draws the requests of a service that go to the target version of a roll-out.
	versions route.Rotation
	// timeLeft estimates how long clients wait, and which requests are nested.
	timeLeft placement.TimeLeftEstimates
	// meanTimes holds the moving means of the answer times, by route.
	meanTimes map[string]time.Duration
	// meanSizes holds the moving means of the bytes of a request and its answer, by route.
	meanSizes map[string]int
}

// smoothing is the weight of a new answer time in the moving mean of a route.
const smoothing = 0.05

// Serve implements ingress.Handler: it returns the response to a request of a client.
func (h *Handler) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	table := h.Configuration.Table()
	id, timeout := h.Headers.Read(r.Header)
	if table == nil {
		return h.refuse(id, http.StatusServiceUnavailable, unconfiguredRetryAfter)
	}
	matched := table.Match(r.Host, r.URL.Path)
	if matched == nil {
		h.Logger.Info("entry: no route", "request", id, "host", r.Host, "path", r.URL.Path, "version", uint64(table.Version()))
		return h.refuse(id, http.StatusNotFound, 0)
	}
	client, ok := identify(table, matched, h.Headers.Authorization(r.Header))
	if !ok {
		h.Logger.Info("entry: no organisation holds the key of the request", "request", id, "route", matched.Name(), "version", uint64(table.Version()))
		return h.refuseUnidentified(id)
	}
	c := h.newClientCall(r, matched, id, timeout)
	c.recordOrganisation(h.Headers, table, client)
	result := h.serve(ctx, c)
	took := time.Since(r.Arrived)
	h.Meter.Count(result.outcome, result.response.Status, took)
	if result.reason != "" {
		h.Logger.Info("entry: request failed", "request", id, "route", matched.Name(), "organisation", c.request.Organisation, "kind", matched.Kind().String(), "priority", matched.Priority(), "nested", c.isNested, "version", uint64(table.Version()), "outcome", result.outcome.String(),
			"status", result.response.Status, "reason", result.reason, "owner", c.owner, "tried", c.tried, "took", took, "pause", result.retryAfter)
	}
	return result.response
}

// unconfiguredRetryAfter is the time after which clients are asked to retry at a daemon without a configuration.
const unconfiguredRetryAfter = 300 * time.Millisecond

// exhaustedRetryAfter is the time after which clients are asked to retry at a daemon without memory for their request.
const exhaustedRetryAfter = 300 * time.Millisecond

// Refuse implements ingress.Handler: it returns the response to a request that could not be read.
func (h *Handler) Refuse(status int) *ingress.Response {
	h.Logger.Info("entry: request could not be read", "status", status)
	var retryAfter time.Duration
	if status == http.StatusServiceUnavailable {
		retryAfter = exhaustedRetryAfter
	}
	return h.refuse("", status, retryAfter)
}

// refuse returns a response without a body that asks the client to retry after retryAfter, unless that is 0.
func (h *Handler) refuse(id string, status int, retryAfter time.Duration) *ingress.Response {
	return &ingress.Response{Status: status, Header: h.Headers.Refusal(id, retryAfter)}
}

// serve returns the response to a request of which the route and the organisation are known.
func (h *Handler) serve(ctx context.Context, c *clientCall) clientResult {
	if h.Quotas != nil && c.organisation != nil && c.organisation.Quota().IsLimited() {
		return h.serveWithinQuota(ctx, c)
	}
	return h.dispatch(ctx, c)
}

// newClientCall returns the state of a new request. Its deadline is the shorter of the route's timeout and the
// client's; its target is the route's target less the time that the client has waited before.
func (h *Handler) newClientCall(r *ingress.Request, matched *route.Route, id string, clientTimeout time.Duration) *clientCall {
	timeout := matched.Timeout()
	if timeout <= 0 || clientTimeout > 0 && clientTimeout < timeout {
		timeout = clientTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	clientWait := max(timeout, clientTimeout)
	target := matched.Target()
	if target <= 0 {
		target = timeout
	}
	longestRunning := h.Running.LongestTimeLeft(r.Arrived)
	h.mu.Lock()
	service := matched.Service(h.rotation.Draw(matched.Name(), h.Random.Float64))
	waited, isNested := h.recordTimeLeft(r.Arrived, matched.Name(), clientTimeout, longestRunning)
	h.mu.Unlock()
	return &clientCall{
		route: matched, service: service, deadline: r.Arrived.Add(timeout), clientDeadline: r.Arrived.Add(clientWait),
		target: r.Arrived.Add(target - waited), isNested: isNested,
		request: message.Request{
			ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host,
			Header: h.Headers.Forwarded(r.Header), Body: r.BodyContent, Caller: h.Service,
		},
	}
}

// recordTimeLeft records how much longer the client of a request waits. It returns the estimated time that the client
// has waited in earlier attempts, and whether the request is probably nested. The caller holds the lock.
func (h *Handler) recordTimeLeft(now time.Time, route string, left, longestRunning time.Duration) (waited time.Duration, isNested bool) {
	if left <= 0 {
		return 0, false
	}
	h.timeLeft.Record(route, left, longestRunning)
	return h.timeLeft.Waited(now, route, left), h.timeLeft.IsNested(now, route)
}

// ClientRoutes returns the routes of which this daemon has found that clients use them, for other daemons.
func (h *Handler) ClientRoutes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.timeLeft.ClientRoutes()
}

// MergeClientRoutes records the routes of which another daemon has found that clients use them.
func (h *Handler) MergeClientRoutes(routes []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeLeft.MergeClientRoutes(time.Now(), routes)
}

// defaultTimeout is the timeout of a request for which neither the client nor the route states one.
const defaultTimeout = 15 * time.Second

// budget returns the retry budget of a service; the caller holds the lock.
func (h *Handler) budget(service string) *placement.Budget {
	if h.budgets == nil {
		h.budgets = map[string]*placement.Budget{}
	}
	b, ok := h.budgets[service]
	if !ok {
		b = &placement.Budget{RetryAllowance: h.RetryAllowance}
		h.budgets[service] = b
	}
	return b
}

// recordAnswer updates the means of the route and the placer's estimate for the backend server. The time includes the
// transfer over the links between the daemons; the size is that of the body of the answer in bytes.
func (h *Handler) recordAnswer(c *clientCall, server string, took time.Duration, size int) {
	name := c.route.Name()
	transfer := h.transfer(time.Now(), c)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.meanTimes == nil {
		h.meanTimes = map[string]time.Duration{}
		h.meanSizes = map[string]int{}
	}
	mean, ok := h.meanTimes[name]
	if !ok {
		mean = took
	}
	h.meanTimes[name] = mean + time.Duration(smoothing*float64(took-mean))
	size += len(c.request.Body)
	meanSize, ok := h.meanSizes[name]
	if !ok {
		meanSize = size
	}
	h.meanSizes[name] = meanSize + int(smoothing*float64(size-meanSize))
	h.Placer.RecordAnswer(server, took, mean, transfer)
}
