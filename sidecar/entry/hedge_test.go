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

const usualTime = 100 * time.Millisecond

// after returns a step that takes some time.
func after(d time.Duration, s step) step {
	s.delay = d
	return s
}

// newLearnedHandler returns a handler that knows the usual time of the route and has saved up its allowance.
func newLearnedHandler(t *testing.T, m *mesh, kind route.Kind) *entry.Handler {
	t.Helper()
	h := newHandler(t, m, kind)
	for range 20 {
		m.steps = []step{after(usualTime, ran(http.StatusOK))}
		h.Serve(t.Context(), arriving("/x/1"))
	}
	time.Sleep(10 * time.Second)
	m.called = nil
	return h
}

func TestASlowAnswerIsAskedForASecondTime(t *testing.T) {
	slow := after(4*time.Second, ran(http.StatusOK))
	for _, c := range []struct {
		name   string
		kind   route.Kind
		steps  []step
		status int
		calls  int
		within time.Duration
	}{
		{"the second is quicker", route.Idempotent, []step{slow, after(usualTime, ran(200))}, 200, 2, time.Second},
		{"the first is quicker after all", route.Idempotent, []step{after(400*time.Millisecond, ran(200)), slow}, 200, 2, time.Second},
		{"the second fails", route.Idempotent, []step{after(time.Second, ran(200)), after(usualTime, ran(500))}, 200, 2, 2 * time.Second},
		{"both fail", route.Idempotent, []step{after(time.Second, unknown()), after(usualTime, ran(500))}, 500, 2, 2 * time.Second},
		{"the second does not run", route.Idempotent, []step{after(time.Second, ran(200)), notRun("draining")}, 200, 2, 2 * time.Second},
		{"the first does not run", route.Idempotent, []step{after(time.Second, notRun("draining")), after(time.Second, ran(200))}, 200, 2, 2 * time.Second},
		{"an answer as quick as usual", route.Idempotent, []step{after(usualTime, ran(200))}, 200, 1, time.Second},
		{"unrepeatable", route.Unrepeatable, []step{slow}, 200, 1, 5 * time.Second},
		{"large answers", route.Download, []step{slow}, 200, 1, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &mesh{}
				h := newLearnedHandler(t, m, c.kind)
				m.steps = c.steps
				began := time.Now()
				response := h.Serve(t.Context(), arriving("/x/2"))
				assert.Equal(t, response.Status, c.status)
				assert.Equal(t, len(m.called), c.calls)
				assert.Assert(t, time.Since(began) < c.within, "took %v", time.Since(began))
				synctest.Wait()
			})
		})
	}
}

func TestTheSlowerRunIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{}
		h := newLearnedHandler(t, m, route.Idempotent)
		m.steps = []step{after(4*time.Second, ran(200)), after(usualTime, ran(200))}
		h.Serve(t.Context(), arriving("/x/2"))
		synctest.Wait()
		assert.Equal(t, m.withdrawn, 1)
	})
}

// TestSlowServersDontUseUpTheAllowance plays a service that has turned slow: the allowance stays for requests that fail.
func TestSlowServersDontUseUpTheAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{}
		h := newLearnedHandler(t, m, route.Idempotent)
		const requests = 200
		for range 2 * requests {
			m.steps = append(m.steps, after(3*time.Second, ran(200)))
		}
		for range requests {
			h.Serve(t.Context(), arriving("/x/2"))
			time.Sleep(usualTime)
		}
		m.steps = []step{unknown(), ran(200)}
		response := h.Serve(t.Context(), arriving("/x/3"))
		assert.Equal(t, response.Status, http.StatusOK, "a request that failed may still be repeated")
	})
}
