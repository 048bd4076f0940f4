package owner

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"siskinspar.example/daemon/backends"
	"siskinspar.example/daemon/claimer"
	"siskinspar.example/daemon/crash"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/request/forward"
	"siskinspar.example/request/outcome"
	"siskinspar.example/sidecar/memory"
)

// Handler serves the calls that entry daemons forward; its fields are set before use.
type Handler struct {
	Backends *backends.Table
	Claimer  *claimer.Claimer
	Guard    *crash.Guard
	Limits   *Limits
	Meter    Meter
	// AnswerMemory bounds the answers to unrepeatable requests while they are read; nil means no limit together.
	AnswerMemory *memory.Budget
}

// Meter counts calls by outcome.
type Meter interface {
	// Count adds one call; the reason is empty for calls that ran.
	Count(o outcome.Outcome, r outcome.Reason)
}

// ServeHTTP implements http.Handler for paths below peer.PathCall; a call without a response gets its failure.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := readCall(r.Header)
	ctx, cancel := context.WithTimeout(r.Context(), c.Timeout)
	defer cancel()
	if failure := h.serve(ctx, w, r, c); failure != nil {
		h.Meter.Count(failure.Outcome(), failure.Reason())
		failure.WriteTo(w)
		return
	}
	h.Meter.Count(outcome.Ran, "")
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c Call) *outcome.Failure {
	b, ok := h.Backends.Find(c.Backend)
	if !ok {
		return outcome.NewRefusal(outcome.ReasonNoBackend)
	}
	request := crash.Request{Fingerprint: c.Fingerprint, Intent: c.Intent, IsUnrepeatable: c.IsUnrepeatable}
	if h.Guard.IsQuarantined(request) {
		return outcome.NewRefusal(outcome.ReasonQuarantined)
	}
	failure := h.admit(ctx, w, r, c, b)
	return h.reportResult(request, b, failure)
}

// reportResult reports the result of a call to the guard. A response clears a request that was suspected of crashes;
// a broken connection to a backend server that no longer listens becomes a failure with the reason crashed.
func (h *Handler) reportResult(request crash.Request, b *backends.Backend, failure *outcome.Failure) *outcome.Failure {
	if failure == nil {
		h.Guard.ClearIfSuspected(request)
		return nil
	}
	if failure.Reason() != outcome.ReasonBackendFailure || !h.Guard.DetectCrash(request, b.Name(), b.Address()) {
		return failure
	}
	h.Backends.RecordCrash(b.Name())
	return outcome.NewFailure(outcome.Unknown, outcome.ReasonCrashed, failure.Status())
}

// admit counts the call against the limits of its intent, waits for a slot and sends the request. The header of each
// response and failure carries the load of the backend server, by which entry daemons choose.
func (h *Handler) admit(ctx context.Context, w http.ResponseWriter, r *http.Request, c Call, b *backends.Backend) *outcome.Failure {
	w.Header().Set(outcome.HeaderLoad, strconv.FormatFloat(b.Gate().LoadPerSlot(), 'f', 2, 64))
	releaseLimit, failure := h.Limits.Acquire(c)
	if failure != nil {
		return failure
	}
	defer releaseLimit()
	if c.IsUnrepeatable {
		return h.serveAtMostOnce(ctx, w, r, c, b)
	}
	releaseSlot, failure := h.acquireSlot(ctx, c, b)
	if failure != nil {
		return failure
	}
	defer releaseSlot()
	return send(ctx, w, r, b)
}

// send sends the request to the backend server and streams the response to the entry daemon.
func send(ctx context.Context, w http.ResponseWriter, r *http.Request, b *backends.Backend) *outcome.Failure {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	out, err := newBackendRequest(httptrace.WithClientTrace(ctx, trace), r, b.Address())
	if err != nil {
		return outcome.NewRefusal(outcome.ReasonUnreachable)
	}
	if r.ContentLength != 0 {
		out.Body = r.Body
	}
	out.ContentLength = r.ContentLength
	out.Trailer = r.Trailer
	// false: the intent is not unrepeatable, so a connection may be reused.
	response, err := b.Transport(false).RoundTrip(out)
	if err != nil {
		return transportFailure(ctx, isConnected.Load())
	}
	defer response.Body.Close()
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	if err := forward.SendResponse(w, response); err != nil {
		// Aborting the connection shows the entry daemon that the body is incomplete.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func newBackendRequest(ctx context.Context, r *http.Request, address string) (*http.Request, error) {
	target := *r.URL
	target.Scheme = "http"
	target.Host = address
	target.Path = strings.TrimPrefix(r.URL.Path, peer.PathRequest)
	target.RawPath = strings.TrimPrefix(r.URL.RawPath, peer.PathRequest)
	out, err := http.NewRequestWithContext(ctx, r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	forward.CopyHeader(out.Header, r.Header)
	out.Header.Del("Expect")
	out.Host = r.Host
	deadline, _ := ctx.Deadline()
	forward.SetTimeout(out.Header, time.Until(deadline))
	out.Header.Set(outcome.HeaderAttempt, outcome.InnerLayer)
	return out, nil
}

// transportFailure returns the failure of a round trip to the backend server. A request that got no connection did not
// run; the outcome of any other is unknown.
func transportFailure(ctx context.Context, isConnected bool) *outcome.Failure {
	status := http.StatusBadGateway
	reason := outcome.ReasonBackendFailure
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		status = http.StatusGatewayTimeout
		reason = outcome.ReasonDeadline
	case ctx.Err() != nil:
		reason = outcome.ReasonCancelled
	case !isConnected:
		reason = outcome.ReasonUnreachable
	}
	if !isConnected {
		return outcome.NewFailure(outcome.NotRun, reason, status)
	}
	return outcome.NewFailure(outcome.Unknown, reason, status)
}
