package sidecar_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a backend server or a health check in trouble whose calls have a head or a body without end, which
// the daemon would keep: much more than any call has is refused, and the connection is closed.
func TestCallsWithoutEndAreRefused(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	i := d.add("desk")
	d.await(i, "server-0")
	const heartbeat = "POST /rpc?call=instances.heartbeat&of=server-0 HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		name, address, beginning, part string
		status                         int
	}{
		{"a head to the control listener", i.settings.Announcements, heartbeat + "X-Long: ", "x", http.StatusRequestHeaderFieldsTooLarge},
		{"headers to the control listener", i.settings.Announcements, heartbeat, "X-Many: value\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"a body to the control listener", i.settings.Announcements, heartbeat + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", http.StatusBadRequest},
		{"a head to the readiness listener", i.settings.Readiness, "GET /", "x", http.StatusRequestHeaderFieldsTooLarge},
		{"headers to the readiness listener", i.settings.Readiness, "GET / HTTP/1.1\r\nHost: a\r\n", "X-Many: value\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n, err := net.Dial("tcp", c.address)
			assert.NilError(t, err)
			defer n.Close()
			assert.NilError(t, n.SetDeadline(time.Now().Add(10*time.Second)))
			// No call of the platform has a quarter of this, so it is refused without waiting for more.
			const sent = 256 << 10
			go func() { _, _ = io.WriteString(n, c.beginning+strings.Repeat(c.part, sent/len(c.part))) }()
			assert.NilError(t, n.SetReadDeadline(time.Now().Add(3*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(n), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status)
			for more := strings.Repeat(c.part, 1<<10); err == nil; {
				_, err = io.WriteString(n, more)
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is closed")
		})
	}
}
