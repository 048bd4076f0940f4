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
)

// Configuration gives the routes in force.
type Configuration interface {
	// Table returns nil before the first configuration.
	Table() *route.Table
}

// Directory gives the backend servers of a service.
type Directory interface {
	// Candidates returns the ready backend servers.
	Candidates(now time.Time, service string) []member.Candidate
	// NoteLoad takes in a load that came with the answer to a call.
	NoteLoad(now time.Time, address string, l member.Load)
	// NoteSent counts a request that is on its way.
	NoteSent(address string)
	// NoteUnreachable notes a daemon to which nothing could be sent.
	NoteUnreachable(address string)
	// Daemons returns the number of daemons, this one included.
	Daemons() int
}

// Owners reaches the daemons beside the backend servers.
type Owners interface {
	// Call runs a request; isSent is false when nothing of it was sent.
	Call(ctx context.Context, address string, c *message.Call) (reply message.Reply, isSent bool, err error)
	// Reserve waits for a slot.
	Reserve(ctx context.Context, address string, j message.Job) (message.Grant, error)
	// Withdraw takes back a reservation or gives up a call, without waiting.
	Withdraw(address string, w message.Withdrawal)
}

// Quarantine knows the requests that crash backend servers.
type Quarantine interface {
	// IsStopped reports whether the request must not run.
	IsStopped(fingerprint string) bool
	// NoteAnswer clears a request that was suspected and has now been answered.
	NoteAnswer(fingerprint string)
	// NoteCrash counts a backend server that ended while it ran the request.
	NoteCrash(fingerprint, instance string)
}

// Headers reads the headers of clients and names those of answers.
type Headers interface {
	// Read returns the ID of a request and the time that its client waits, or 0.
	Read(h http.Header) (id string, deadline time.Duration)
	// Refusal returns the headers of an answer without a backend server; a pause of 0 names no time to come back.
	Refusal(id string, pause time.Duration) http.Header
	// ForClient removes the headers of an answer that concern one connection.
	ForClient(h http.Header) http.Header
	// Forwarded returns the headers of a request that go on to a backend server.
	Forwarded(h http.Header) http.Header
}

// Meter counts what became of the requests.
type Meter interface {
	// Count adds one request with its status and latency.
	Count(outcome message.Outcome, status int, took time.Duration)
}

// Handler serves the requests of clients; its exported fields are set before use. Its lock is taken last.
type Handler struct {
	// Address is where other daemons reach this one.
	Address string
	// Service is the service of the backend server on this machine.
	Service       string
	Configuration Configuration
	Directory     Directory
	Owners        Owners
	Quarantine    Quarantine
	Headers       Headers
	Meter         Meter
	Logger        *slog.Logger
	Placer        *placement.Placer
	Repeats       placement.Allowance
	Random        *rand.Rand

	number   atomic.Uint64
	mu       sync.Mutex
	budgets  map[string]*placement.Budget
	patience map[string]*placement.Patience
	usual    map[string]time.Duration
}

// smoothing is the weight of a new time in the usual time of a route.
const smoothing = 0.05

// Serve implements ingress.Handler.
func (h *Handler) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	table := h.Configuration.Table()
	id, deadline := h.Headers.Read(r.Header)
	if table == nil {
		return h.refuse(id, http.StatusServiceUnavailable, unconfiguredPause)
	}
	matched := table.Match(r.Host, r.URL.Path)
	if matched == nil {
		h.Logger.Info("entry: no route", "request", id, "host", r.Host, "path", r.URL.Path, "version", uint64(table.Version()))
		return h.refuse(id, http.StatusNotFound, 0)
	}
	c := h.newCall(r, matched, id, deadline)
	end := h.run(ctx, c)
	took := time.Since(r.Arrived)
	h.Meter.Count(end.outcome, end.response.Status, took)
	if end.reason != "" {
		h.Logger.Info("entry: request failed", "request", id, "route", matched.Name(), "version", uint64(table.Version()), "outcome", end.outcome.String(),
			"status", end.response.Status, "reason", end.reason, "owner", c.owner, "tried", c.tried, "took", took, "pause", end.pause)
	}
	return end.response
}

// unconfiguredPause is how long clients stay away from a daemon without a configuration.
const unconfiguredPause = 300 * time.Millisecond

// Refuse implements ingress.Handler.
func (h *Handler) Refuse(status int) *ingress.Response {
	h.Logger.Info("entry: request could not be read", "status", status)
	return h.refuse("", status, 0)
}

func (h *Handler) refuse(id string, status int, pause time.Duration) *ingress.Response {
	return &ingress.Response{Status: status, Header: h.Headers.Refusal(id, pause)}
}

func (h *Handler) newCall(r *ingress.Request, matched *route.Route, id string, deadline time.Duration) *call {
	limit := matched.Timeout()
	if limit <= 0 || deadline > 0 && deadline < limit {
		limit = deadline
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	leaves := max(limit, deadline)
	target := matched.Target()
	if target <= 0 {
		target = limit
	}
	h.mu.Lock()
	service := matched.Service(h.Random.Float64())
	used, isNested := h.notePatience(matched.Name(), deadline)
	h.mu.Unlock()
	return &call{
		route: matched, service: service, expires: r.Arrived.Add(limit), leaves: r.Arrived.Add(leaves),
		target: r.Arrived.Add(target - used), isNested: isNested,
		request: message.Request{
			ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host,
			Header: h.Headers.Forwarded(r.Header), Body: r.Content, Caller: h.Service,
		},
	}
}

// notePatience returns how long the client of a request has waited before, and whether another request waits for this
// one; the lock is held.
func (h *Handler) notePatience(route string, left time.Duration) (used time.Duration, isNested bool) {
	if left <= 0 {
		return 0, false
	}
	if h.patience == nil {
		h.patience = map[string]*placement.Patience{}
	}
	p, ok := h.patience[route]
	if !ok {
		p = &placement.Patience{}
		h.patience[route] = p
	}
	p.Note(left)
	return p.Used(left), p.IsNested(left)
}

// defaultTimeout bounds a request for which neither its client nor its route states a limit.
const defaultTimeout = 15 * time.Second

func (h *Handler) budget(service string) *placement.Budget {
	if h.budgets == nil {
		h.budgets = map[string]*placement.Budget{}
	}
	b, ok := h.budgets[service]
	if !ok {
		b = &placement.Budget{Allowance: h.Repeats}
		h.budgets[service] = b
	}
	return b
}

// noteAnswer learns from the time of an answer, with the links on its way.
func (h *Handler) noteAnswer(c *call, server string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.usual == nil {
		h.usual = map[string]time.Duration{}
	}
	name := c.route.Name()
	usual, ok := h.usual[name]
	if !ok {
		usual = took
	}
	h.usual[name] = usual + time.Duration(smoothing*float64(took-usual))
	h.Placer.NoteAnswer(server, took, usual, c.route.Kind() == route.Download)
}
