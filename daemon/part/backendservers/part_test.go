package backendservers

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a probe that keeps the head of an answer without end until it times out.
func TestAProbeGivesUpAHeadWithoutEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		total := 0
		for part := []byte("HTTP/1.1 103 Early Hints\r\nX-Long: value\r\n\r\n"); err == nil; total += len(part) {
			_, err = c.Write(part)
		}
		sent <- total
	}()
	client := newProbeClient()
	client.Timeout = 10 * time.Second
	assert.Assert(t, !isHealthy(t.Context(), client, "http://"+l.Addr().String()))
	// The sockets buffer some of what the probe does not read.
	const limit = 8 << 20
	total := <-sent
	assert.Assert(t, total < limit, "%d bytes were sent", total)
}
