package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request that can't be read must not take the answers to the whole requests before it.
func TestARefusedRequestLeavesTheRequestBeforeItsAnswer(t *testing.T) {
	for _, c := range []struct{ name, refused string }{
		{"large headers", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n"},
		{"no request line", "BAD\r\n\r\n" + strings.Repeat("x", 20000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, h, address := start(t)
			conn, r := dial(t, address)
			_, err := io.WriteString(conn, get("/wait"))
			assert.NilError(t, err)
			<-h.started
			_, err = io.WriteString(conn, c.refused)
			assert.NilError(t, err)
			assert.Assert(t, <-h.refused >= http.StatusBadRequest)
			select {
			case <-h.disconnected:
				t.Error("the request was cancelled, though its client is connected")
			case <-time.After(100 * time.Millisecond):
			}
			close(h.release)
			_, body := read(t, r)
			assert.Equal(t, body, "GET /wait ")
		})
	}
}
