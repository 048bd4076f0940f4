package entry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/request/forward"
	"siskinspar.example/request/outcome"
	"siskinspar.example/request/routing"
	"siskinspar.example/timeline"
)

// answer is the response of an owner; done notes how the call ended, the first time it is called, and frees it.
type answer struct {
	*http.Response
	done func(routing.Result)
}

// discard ends an answer that is not passed on, as a refusal of its backend server.
func (a *answer) discard() {
	_ = a.Body.Close()
	a.done(routing.ResultRefused)
}

// send hands the request to the daemon beside one backend server.
func (h *Handler) send(ctx context.Context, c *call, to routing.Candidate) (*answer, *outcome.Failure) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	ctx, cancel := context.WithCancel(ctx)
	out, err := h.newOwnerRequest(httptrace.WithClientTrace(ctx, trace), c, to)
	if err != nil {
		cancel()
		return nil, outcome.NewFailure(outcome.NotRun, outcome.ReasonUnreachable, http.StatusBadRequest)
	}
	started, done := h.start(to, cancel)
	response, err := h.Transport.RoundTrip(out)
	if err != nil {
		failure := failureOf(ctx, isConnected.Load())
		done(resultOf(ctx))
		return nil, failure
	}
	h.noteLoad(to.Endpoint(), response.Header.Get(outcome.HeaderLoad))
	if outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)) == outcome.Ran {
		h.noteAnswer(c, started)
		return &answer{Response: response, done: done}, nil
	}
	_ = response.Body.Close()
	failure := outcome.ParseFailure(response.StatusCode, response.Header)
	done(resultOfFailure(failure))
	return nil, failure
}

// resultOf tells a call that was given up from one whose endpoint failed.
func resultOf(ctx context.Context) routing.Result {
	if ctx.Err() != nil {
		return routing.ResultCancelled
	}
	return routing.ResultFailed
}

func resultOfFailure(f *outcome.Failure) routing.Result {
	switch {
	case f.Outcome() == outcome.NotRun && f.Reason() == outcome.ReasonUnreachable:
		return routing.ResultFailed
	case f.Outcome() == outcome.NotRun:
		return routing.ResultRefused
	case f.Reason() == outcome.ReasonCancelled, f.Reason() == outcome.ReasonDeadline:
		return routing.ResultCancelled
	}
	return routing.ResultFailed
}

func (h *Handler) newOwnerRequest(ctx context.Context, c *call, to routing.Candidate) (*http.Request, error) {
	target := *c.request.URL
	target.Scheme = h.Identity.Scheme()
	target.Host = to.Address()
	target.Path = peer.PathCall + c.request.URL.Path
	if target.RawPath != "" {
		target.RawPath = peer.PathCall + target.RawPath
	}
	out, err := http.NewRequestWithContext(ctx, c.request.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	forward.CopyHeader(out.Header, c.request.Header)
	out.Host = c.request.Host
	out.Trailer = c.request.Trailer
	newOwnerCall(c, to.Endpoint()).Write(out.Header)
	h.Identity.Sign(out.Header)
	c.body.Attach(out)
	return out, nil
}

// start notes the beginning of a call at the router and returns the function that notes its end.
func (h *Handler) start(to routing.Candidate, cancel context.CancelFunc) (routing.Call, func(routing.Result)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	started := h.Router.Start(time.Now(), to.Endpoint())
	var once sync.Once
	return started, func(result routing.Result) {
		once.Do(func() {
			cancel()
			h.mu.Lock()
			isEjected := h.Router.Finish(time.Now(), started, result)
			h.mu.Unlock()
			if isEjected {
				h.Recorder.Record(timeline.Event{Kind: timeline.KindEndpointEjected, Subject: string(to.Endpoint().Instance) + "/" + to.Endpoint().Backend})
			}
		})
	}
}

func (h *Handler) noteLoad(e routing.Endpoint, text string) {
	load, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Router.NoteLoad(time.Now(), e, load)
}

// noteAnswer notes the latency at the moment at which the answer begins, whatever the size of its body.
func (h *Handler) noteAnswer(c *call, started routing.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := h.Router.Answer(time.Now(), started)
	h.delay(c).Add(latency)
}

// failureOf tells a request that never got a connection from one that an owner may have sent on.
func failureOf(ctx context.Context, isConnected bool) *outcome.Failure {
	if !isConnected {
		return outcome.NewFailure(outcome.NotRun, outcome.ReasonUnreachable, http.StatusServiceUnavailable)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.NewFailure(outcome.Unknown, outcome.ReasonDeadline, http.StatusGatewayTimeout)
	}
	return outcome.NewFailure(outcome.Unknown, outcome.ReasonBackendFailure, http.StatusBadGateway)
}
