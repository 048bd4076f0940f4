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
)

// Handler serves calls from entry daemons; its fields are set before use.
type Handler struct {
	Backends *backends.Table
	Claimer  *claimer.Claimer
	Guard    *crash.Guard
	Limits   *Limits
	Meter    Meter
}

// Meter counts what became of the calls.
type Meter interface {
	// Count adds one call with its outcome and, unless it ran, the reason.
	Count(o outcome.Outcome, r outcome.Reason)
}

// ServeHTTP implements http.Handler for paths below peer.PathCall.
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
	q := crash.Request{Fingerprint: c.Fingerprint, Target: c.Intent, IsUnrepeatable: c.IsUnrepeatable}
	if h.Guard.IsQuarantined(q) {
		return outcome.NewRefusal(outcome.ReasonQuarantined)
	}
	failure := h.admit(ctx, w, r, c, b)
	return h.settle(q, b, failure)
}

// settle tells a crash of the backend server from another failure, and clears a suspected request that was answered.
func (h *Handler) settle(q crash.Request, b *backends.Backend, failure *outcome.Failure) *outcome.Failure {
	if failure == nil {
		h.Guard.NoteAnswer(q)
		return nil
	}
	if failure.Reason() != outcome.ReasonBackendFailure || !h.Guard.NoteBroken(q, b.Name(), b.Address()) {
		return failure
	}
	h.Backends.NoteCrash(b.Name())
	return outcome.NewFailure(outcome.Unknown, outcome.ReasonCrashed, failure.Status())
}

func (h *Handler) admit(ctx context.Context, w http.ResponseWriter, r *http.Request, c Call, b *backends.Backend) *outcome.Failure {
	w.Header().Set(outcome.HeaderLoad, strconv.FormatFloat(b.Gate().LoadPerSlot(), 'f', 2, 64))
	leave, failure := h.Limits.Enter(c)
	if failure != nil {
		return failure
	}
	defer leave()
	if c.IsUnrepeatable {
		return h.serveOnce(ctx, w, r, c, b)
	}
	release, failure := h.enter(ctx, c, b)
	if failure != nil {
		return failure
	}
	defer release()
	return send(ctx, w, r, b)
}

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
	response, err := b.Transport(false).RoundTrip(out)
	if err != nil {
		return failureOf(ctx, isConnected.Load())
	}
	defer response.Body.Close()
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	if err := forward.SendResponse(w, response); err != nil {
		// The connection is aborted so that the entry daemon sees that the body is not whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func newBackendRequest(ctx context.Context, r *http.Request, address string) (*http.Request, error) {
	target := *r.URL
	target.Scheme = "http"
	target.Host = address
	target.Path = strings.TrimPrefix(r.URL.Path, peer.PathCall)
	target.RawPath = strings.TrimPrefix(r.URL.RawPath, peer.PathCall)
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

// failureOf tells a request that never got a connection, and so did not run, from one whose fate is not known.
func failureOf(ctx context.Context, isConnected bool) *outcome.Failure {
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
