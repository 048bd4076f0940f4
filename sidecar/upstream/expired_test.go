package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/message"
)

// A process with little processor time may begin to send after the context has ended. The request must not reach the
// server then: the client of an unsafe one would get 504 and could not retry it.
func TestARequestWhoseContextHasEndedIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
	}{
		{"deadline", context.DeadlineExceeded},
		{"cancelled", context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			}))
			defer s.Close()
			client := &Client{Address: strings.TrimPrefix(s.URL, "http://"), IDHeader: "Request-Id"}
			defer client.Close()
			send := func(ctx context.Context, id string) Result {
				return client.Send(ctx, message.Request{Method: http.MethodPost, Target: "/", Host: "a"}, http.Header{"Request-Id": {id}}, time.Second)
			}
			assert.Equal(t, send(t.Context(), "first").Outcome, Answered)
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			result := send(ctx, "second")
			time.Sleep(100 * time.Millisecond)
			assert.Check(t, result.Outcome == NotSent, "outcome %d", result.Outcome)
			assert.Equal(t, runs.Load(), int32(1))
		})
	}
}
