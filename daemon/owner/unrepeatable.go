package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"siskinspar.example/daemon/backends"
	"siskinspar.example/daemon/claimer"
	"siskinspar.example/request/admission"
	"siskinspar.example/request/claim"
	"siskinspar.example/request/forward"
	"siskinspar.example/request/outcome"
	"siskinspar.example/sidecar/memory"
)

// serveAtMostOnce runs an unrepeatable request under a claim on its idempotency key. It buffers the whole body, which
// the fingerprint of the claim covers, and the whole response, which is stored for resends.
func (h *Handler) serveAtMostOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, c Call, b *backends.Backend) *outcome.Failure {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, claim.MaximumBodySize))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return outcome.NewRefusal(outcome.ReasonTooLarge)
		}
		return outcome.NewRefusal(outcome.ReasonCancelled)
	}
	request := claimer.Request{Intent: c.Intent, Key: r.Header.Get(outcome.HeaderKey), Method: r.Method, Target: r.URL.RequestURI(), Body: body}
	acquireSlot := func(ctx context.Context) (func(), *outcome.Failure) { return h.acquireSlot(ctx, c, b) }
	send := func(ctx context.Context) (*claim.Answer, *outcome.Failure) { return h.sendBuffered(ctx, r, body, b) }
	answer, failure := h.Claimer.Do(ctx, request, acquireSlot, send)
	if failure != nil {
		return failure
	}
	writeAnswer(w, answer)
	return nil
}

func (h *Handler) acquireSlot(ctx context.Context, c Call, b *backends.Backend) (func(), *outcome.Failure) {
	deadline, _ := ctx.Deadline()
	return b.Gate().Acquire(ctx, admission.Request{Intent: c.Intent, Priority: c.Priority, Deadline: deadline, IsProtected: c.IsProtected})
}

// sendBuffered sends the request to the backend server on a connection of its own, and reads the whole response.
func (h *Handler) sendBuffered(ctx context.Context, r *http.Request, body []byte, b *backends.Backend) (*claim.Answer, *outcome.Failure) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	out, err := newBackendRequest(httptrace.WithClientTrace(ctx, trace), r, b.Address())
	if err != nil {
		return nil, outcome.NewRefusal(outcome.ReasonUnreachable)
	}
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
	if len(body) == 0 {
		out.Body = http.NoBody
	}
	// true: the request is unrepeatable and gets a connection of its own.
	response, err := b.Transport(true).RoundTrip(out)
	if err != nil {
		return nil, transportFailure(ctx, isConnected.Load())
	}
	defer response.Body.Close()
	data, err := memory.ReadBody(response.Body, response.ContentLength, claim.MaximumAnswerSize, h.AnswerMemory)
	if err != nil {
		return nil, outcome.NewFailure(outcome.Unknown, outcome.ReasonBackendFailure, http.StatusBadGateway)
	}
	answer := &claim.Answer{Status: response.StatusCode, Header: http.Header{}, Body: data}
	forward.CopyHeader(answer.Header, response.Header)
	return answer, nil
}

func writeAnswer(w http.ResponseWriter, a *claim.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
