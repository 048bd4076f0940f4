package entry_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
)

func TestARequestThatWaitsForASlotIsRefusedBeforeItsDaemonEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    time.Duration
		within time.Duration
	}{
		{"at the end", 300 * time.Millisecond, 300 * time.Millisecond},
		{"at its own deadline", time.Minute, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				never := scriptedReservation{delay: time.Hour}
				f := &fakeDaemons{reservations: map[string]scriptedReservation{"a": never, "b": never, "c": never}}
				h := newHandler(t, f, route.Unrepeatable)
				time.AfterFunc(100*time.Millisecond, func() { h.StopBy(time.Now().Add(c.end - 100*time.Millisecond)) })
				began := time.Now()
				response := h.Serve(t.Context(), arriving("/x/1"))
				assert.Equal(t, response.Status, http.StatusServiceUnavailable)
				assert.Equal(t, len(f.called), 0, "a refused request is not passed on")
				assert.Assert(t, time.Since(began) <= c.within, "took %v", time.Since(began))
			})
		})
	}
}

func TestARequestWhoseUsualTimeDoesNotFitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ran(http.StatusOK)
		slow.delay = time.Second
		f := &fakeDaemons{script: []scriptedCall{slow}}
		h := newHandler(t, f, route.Unrepeatable)
		assert.Equal(t, h.Serve(t.Context(), arriving("/x/1")).Status, http.StatusOK)
		h.StopBy(time.Now().Add(1500 * time.Millisecond))
		began := time.Now()
		assert.Equal(t, h.Serve(t.Context(), arriving("/x/2")).Status, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(f.called), 1)
	})
}

// replyAtTheEnd has a reply ready when the wait for it ends, as a reply that lies unread in the socket.
type replyAtTheEnd struct{ *fakeDaemons }

// Call implements entry.Owners.
func (replyAtTheEnd) Call(ctx context.Context, _ string, _ *message.Call) (message.Reply, bool, error) {
	<-ctx.Done()
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return message.Reply{}, true, ctx.Err()
	}
	return ran(http.StatusOK).reply, true, nil
}

// A daemon that ends must not break off a call whose reply has arrived.
func TestTheReplyThatHasArrivedWhenTheCallsExpireIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDaemons{}
		h := newHandler(t, f, route.Unrepeatable)
		h.Owners = replyAtTheEnd{f}
		time.AfterFunc(100*time.Millisecond, func() {
			h.StopBy(time.Now().Add(100 * time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			h.Expire()
		})
		began := time.Now()
		assert.Equal(t, h.Serve(t.Context(), arriving("/x/1")).Status, http.StatusOK)
		assert.Equal(t, time.Since(began), 200*time.Millisecond)
	})
}

func TestARequestWithoutAReplyWhenTheCallsExpireIsAnsweredAtOnce(t *testing.T) {
	for _, kind := range []route.Kind{route.Unrepeatable, route.Idempotent} {
		synctest.Test(t, func(t *testing.T) {
			slow := ran(http.StatusOK)
			slow.delay = time.Second
			f := &fakeDaemons{script: []scriptedCall{slow, slow, slow}}
			h := newHandler(t, f, kind)
			time.AfterFunc(100*time.Millisecond, func() {
				h.StopBy(time.Now())
				h.Expire()
			})
			began := time.Now()
			assert.Equal(t, h.Serve(t.Context(), arriving("/x/1")).Status, http.StatusBadGateway)
			assert.Equal(t, time.Since(began), 100*time.Millisecond)
			assert.Equal(t, len(f.called), 1, "it is not passed on again")
		})
	}
}
