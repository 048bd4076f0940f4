package entry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/entry"
	"siskinspar.example/sidecar/route"
)

// meanTime is the mean answer time that the handler learns for its route.
const meanTime = 100 * time.Millisecond

// delayed returns a call with its result delayed.
func delayed(d time.Duration, s scriptedCall) scriptedCall {
	s.delay = d
	return s
}

// newTrainedHandler returns a handler that knows the mean answer time of its route and has a full retry budget.
func newTrainedHandler(t *testing.T, f *fakeDaemons, kind route.Kind) *entry.Handler {
	t.Helper()
	h := newHandler(t, f, kind)
	for range 20 {
		f.script = []scriptedCall{delayed(meanTime, ran(http.StatusOK))}
		h.Serve(t.Context(), arriving("/x/1"))
	}
	time.Sleep(10 * time.Second)
	f.called = nil
	return h
}

func TestSlowRequestsAreHedged(t *testing.T) {
	slow := delayed(4*time.Second, ran(http.StatusOK))
	for _, c := range []struct {
		name   string
		kind   route.Kind
		script []scriptedCall
		status int
		calls  int
		within time.Duration
	}{
		{"the second call is quicker", route.Idempotent, []scriptedCall{slow, delayed(meanTime, ran(200))}, 200, 2, time.Second},
		{"the first call is quicker", route.Idempotent, []scriptedCall{delayed(400*time.Millisecond, ran(200)), slow}, 200, 2, time.Second},
		{"the second call fails", route.Idempotent, []scriptedCall{delayed(time.Second, ran(200)), delayed(meanTime, ran(500))}, 200, 2, 2 * time.Second},
		{"both calls fail", route.Idempotent, []scriptedCall{delayed(time.Second, unknown()), delayed(meanTime, ran(500))}, 500, 2, 2 * time.Second},
		{"the second call does not run", route.Idempotent, []scriptedCall{delayed(time.Second, ran(200)), notRun("draining")}, 200, 2, 2 * time.Second},
		{"the first call does not run", route.Idempotent, []scriptedCall{delayed(time.Second, notRun("draining")), delayed(time.Second, ran(200))}, 200, 2, 2 * time.Second},
		{"no call runs", route.Idempotent, []scriptedCall{delayed(time.Second, notRun("draining")), notRun("draining"), notRun("draining")}, 503, 3, 2 * time.Second},
		{"answer in the mean time", route.Idempotent, []scriptedCall{delayed(meanTime, ran(200))}, 200, 1, time.Second},
		{"unrepeatable", route.Unrepeatable, []scriptedCall{slow}, 200, 1, 5 * time.Second},
		{"large answers", route.Download, []scriptedCall{slow}, 200, 1, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeDaemons{}
				h := newTrainedHandler(t, f, c.kind)
				f.script = c.script
				began := time.Now()
				response := h.Serve(t.Context(), arriving("/x/2"))
				assert.Equal(t, response.Status, c.status)
				assert.Equal(t, len(f.called), c.calls)
				assert.Assert(t, time.Since(began) < c.within, "took %v", time.Since(began))
				synctest.Wait()
			})
		})
	}
}

func TestSlowerHedgedCallIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDaemons{}
		h := newTrainedHandler(t, f, route.Idempotent)
		f.script = []scriptedCall{delayed(4*time.Second, ran(200)), delayed(meanTime, ran(200))}
		h.Serve(t.Context(), arriving("/x/2"))
		synctest.Wait()
		assert.Equal(t, f.withdrawn, 1)
	})
}

// TestHedgesLeaveBudgetForRetries guards against hedges that use up the retry budget when a whole service becomes slow,
// so that requests which fail could no longer be retried.
func TestHedgesLeaveBudgetForRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDaemons{}
		h := newTrainedHandler(t, f, route.Idempotent)
		const requests = 200
		for range 2 * requests {
			f.script = append(f.script, delayed(3*time.Second, ran(200)))
		}
		for range requests {
			h.Serve(t.Context(), arriving("/x/2"))
			time.Sleep(meanTime)
		}
		f.script = []scriptedCall{unknown(), ran(200)}
		response := h.Serve(t.Context(), arriving("/x/3"))
		assert.Equal(t, response.Status, http.StatusOK, "a request that failed is still retried")
	})
}
