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

// ownerResponse is the response of an owner. Its finish function cancels the call's context and reports the result to
// the router; only the first call of it has an effect.
type ownerResponse struct {
	*http.Response
	finish func(routing.Result)
}

// discard closes a response that is not passed on to the caller and counts it as a refusal of its backend server.
func (r *ownerResponse) discard() {
	_ = r.Body.Close()
	r.finish(routing.ResultRefused)
}

// sendToOwner sends the request to the daemon beside one backend server.
func (h *Handler) sendToOwner(ctx context.Context, c *call, to routing.Candidate) (*ownerResponse, *outcome.Failure) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	ctx, cancel := context.WithCancel(ctx)
	out, err := h.newOwnerRequest(httptrace.WithClientTrace(ctx, trace), c, to)
	if err != nil {
		cancel()
		return nil, outcome.NewFailure(outcome.NotRun, outcome.ReasonUnreachable, http.StatusBadRequest)
	}
	started, finish := h.startCall(to, cancel)
	response, err := h.Transport.RoundTrip(out)
	if err != nil {
		failure := transportFailure(ctx, isConnected.Load())
		finish(resultOfContext(ctx))
		return nil, failure
	}
	h.recordLoad(to.Endpoint(), response.Header.Get(outcome.HeaderLoad))
	if outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)) == outcome.Ran {
		h.recordLatency(c, started)
		return &ownerResponse{Response: response, finish: finish}, nil
	}
	_ = response.Body.Close()
	failure := outcome.ParseFailure(response.StatusCode, response.Header)
	finish(resultOfFailure(failure))
	return nil, failure
}

// resultOfContext returns the router's result of a call without a whole response: cancelled if its context has
// ended, and otherwise a failure of the endpoint.
func resultOfContext(ctx context.Context) routing.Result {
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
	target.Path = peer.PathRequest + c.request.URL.Path
	if target.RawPath != "" {
		target.RawPath = peer.PathRequest + target.RawPath
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

// startCall reports the start of a call to the router and returns the function that reports its result.
func (h *Handler) startCall(to routing.Candidate, cancel context.CancelFunc) (routing.Call, func(routing.Result)) {
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

func (h *Handler) recordLoad(e routing.Endpoint, text string) {
	load, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Router.RecordLoad(time.Now(), e, load)
}

// recordLatency records the time to the response header, so that the size of the body does not count.
func (h *Handler) recordLatency(c *call, started routing.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := h.Router.RecordFirstByte(time.Now(), started)
	h.hedgeDelay(c).Add(latency)
}

// transportFailure returns the failure of a round trip to an owner. A request that got no connection did not run;
// the outcome of any other is unknown, since the owner may have sent it to the backend server.
func transportFailure(ctx context.Context, isConnected bool) *outcome.Failure {
	if !isConnected {
		return outcome.NewFailure(outcome.NotRun, outcome.ReasonUnreachable, http.StatusServiceUnavailable)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.NewFailure(outcome.Unknown, outcome.ReasonDeadline, http.StatusGatewayTimeout)
	}
	return outcome.NewFailure(outcome.Unknown, outcome.ReasonBackendFailure, http.StatusBadGateway)
}
