package claimer_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/daemon/claimer"
	"siskinspar.example/platform/rowstore"
	"siskinspar.example/request/claim"
	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/platform"
)

// fakeHolder replies for the daemon that holds a claim with a fixed state.
type fakeHolder struct{ state claim.State }

func (h fakeHolder) ClaimState(context.Context, string, claim.Token) claim.State { return h.state }

func newClaimer(h *httptest.Server, name string, state claim.State) *claimer.Claimer {
	client := rowstore.NewClient(strings.TrimPrefix(h.URL, "http://"))
	return &claimer.Claimer{
		Self:         name,
		Table:        rowstore.Table{Client: client},
		Objects:      rowstore.Objects{Client: client},
		HolderClient: fakeHolder{state},
		Timeout:      time.Second,
		Era:          client.Era(),
	}
}

func acquireSlot(context.Context) (func(), *outcome.Failure) { return func() {}, nil }

var request = claimer.Request{Intent: "repayment", Key: "k", Method: "POST", Target: "/repayments", Body: []byte("pay")}

// TestDoAfterEarlierAttempt guards against a second run, and against a wrong outcome, when a request is resent to
// another daemon or the platform's table fails.
func TestDoAfterEarlierAttempt(t *testing.T) {
	unknown := outcome.NewFailure(outcome.Unknown, outcome.ReasonBackendFailure, 502)
	refused := outcome.NewRefusal(outcome.ReasonUnreachable)
	for _, c := range []struct {
		name    string
		earlier *outcome.Failure
		hasRun  bool
		state   claim.State
		fault   platform.Fault
		request claimer.Request
		outcome outcome.Outcome
		reason  outcome.Reason
		runs    int32
	}{
		{"no earlier attempt", nil, false, claim.StateUnknown, platform.Fault{}, request, outcome.Ran, "", 1},
		{"earlier attempt got a response", nil, true, claim.StateAnswered, platform.Fault{}, request, outcome.Ran, "", 0},
		{"earlier outcome is unknown", unknown, true, claim.StateFailed, platform.Fault{}, request, outcome.Unknown, outcome.ReasonClaimed, 0},
		{"holder does not know the attempt", unknown, true, claim.StateUnknown, platform.Fault{}, request, outcome.Unknown, outcome.ReasonClaimed, 0},
		{"holder did not dispatch the request", unknown, true, claim.StateAbandoned, platform.Fault{}, request, outcome.Ran, "", 1},
		{"earlier attempt was refused", refused, true, claim.StateUnknown, platform.Fault{}, request, outcome.Ran, "", 1},
		{"key reused with another body", nil, true, claim.StateAnswered, platform.Fault{}, claimer.Request{Intent: "repayment", Key: "k", Method: "POST", Target: "/repayments", Body: []byte("other")}, outcome.NotRun, outcome.ReasonKeyReused, 0},
		{"key is missing", nil, false, claim.StateUnknown, platform.Fault{}, claimer.Request{Intent: "repayment"}, outcome.NotRun, outcome.ReasonMissingKey, 0},
		{"the store is down", nil, false, claim.StateUnknown, platform.Fault{Mode: platform.ModeDown}, request, outcome.NotRun, outcome.ReasonStore, 0},
		{"the store throttles", nil, false, claim.StateUnknown, platform.Fault{Mode: platform.ModeThrottled}, request, outcome.NotRun, outcome.ReasonStore, 0},
		{"reply to the claim write is lost", nil, false, claim.StateUnknown, platform.Fault{Mode: platform.ModeLostAnswer, Count: 1}, request, outcome.Ran, "", 1},
		{"replies to the claim and response writes are lost", nil, false, claim.StateUnknown, platform.Fault{Mode: platform.ModeLostAnswer, Count: 2}, request, outcome.Ran, "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &platform.Server{}
			h := httptest.NewServer(s)
			t.Cleanup(h.Close)
			if c.hasRun {
				_, _ = newClaimer(h, "earlier", claim.StateUnknown).Do(t.Context(), request, acquireSlot, func(context.Context) (*claim.Answer, *outcome.Failure) {
					return &claim.Answer{Status: 200, Body: []byte("whole")}, c.earlier
				})
			}
			s.SetFault(c.fault)
			var runs atomic.Int32
			answer, failure := newClaimer(h, "later", c.state).Do(t.Context(), c.request, acquireSlot, func(context.Context) (*claim.Answer, *outcome.Failure) {
				runs.Add(1)
				return &claim.Answer{Status: 200, Body: []byte("whole")}, nil
			})
			assert.Equal(t, runs.Load(), c.runs)
			if c.outcome == outcome.Ran {
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, string(answer.Body), "whole")
				return
			}
			assert.Equal(t, failure.Outcome(), c.outcome)
			assert.Equal(t, failure.Reason(), c.reason)
		})
	}
}

// TestRefusalBeforeDispatchLeavesKeyFree guards against a claim that outlives a request refused by a full queue: a
// retry with the same key has to run.
func TestRefusalBeforeDispatchLeavesKeyFree(t *testing.T) {
	h := httptest.NewServer(&platform.Server{})
	t.Cleanup(h.Close)
	c := newClaimer(h, "one", claim.StateUnknown)
	refuseSlot := func(context.Context) (func(), *outcome.Failure) {
		return nil, outcome.NewRefusal(outcome.ReasonQueueFull)
	}
	run := func(context.Context) (*claim.Answer, *outcome.Failure) { return &claim.Answer{Status: 200}, nil }
	_, failure := c.Do(t.Context(), request, refuseSlot, run)
	assert.Equal(t, failure.Reason(), outcome.ReasonQueueFull)
	assert.Equal(t, failure.Outcome(), outcome.NotRun)
	_, failure = c.Do(t.Context(), request, acquireSlot, run)
	assert.Assert(t, failure == nil)
}

func TestAClaimThatTheStoreLostIsWrittenAgainWithItsResponse(t *testing.T) {
	s := &platform.Server{}
	h := httptest.NewServer(s)
	defer h.Close()
	older := s.Copy()
	first := newClaimer(h, "first", claim.StateAnswered)
	go first.RunRestores(t.Context(), slog.New(slog.DiscardHandler))
	var runs atomic.Int32
	run := func(context.Context) (*claim.Answer, *outcome.Failure) {
		runs.Add(1)
		return &claim.Answer{Status: 200, Body: []byte("paid")}, nil
	}
	_, failure := first.Do(t.Context(), request, acquireSlot, run)
	assert.Assert(t, failure == nil)
	second := newClaimer(h, "second", claim.StateAnswered)
	other := request
	other.Key = "other"
	_, failure = second.Do(t.Context(), other, acquireSlot, run)
	assert.Assert(t, failure == nil)
	s.Restore(older)
	_, failure = second.Do(t.Context(), request, acquireSlot, run)
	assert.Equal(t, failure.Outcome(), outcome.NotRun, "the claim of the first daemon may be lost")
	first.Era.Record(second.Era.Newest())
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if answer, _ := second.Do(t.Context(), request, acquireSlot, run); answer != nil {
			assert.Equal(t, string(answer.Body), "paid")
			break
		}
	}
	assert.Equal(t, runs.Load(), int32(2), "one run for each key")
}
