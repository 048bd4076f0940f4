package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/upstream"
)

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n", id)
}

func TestAnEarlierRefusalThatIsWrittenOnceMoreIsNotTakenForAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name, second string
		answer       string
		status       int
	}{
		{"before the answer to the next request", "two", refusal("one") + ok("two", "body"), http.StatusOK},
		{"twice before the answer to the next request", "two", refusal("one") + refusal("one") + ok("two", "body"), http.StatusOK},
		{"in place of the answer to the next request", "two", refusal("one") + "cut", 0},
		{"before the answer to the same request", "one", refusal("one") + ok("one", "body"), http.StatusOK},
		{"in place of the answer to the same request", "one", refusal("one") + "cut", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := serve(t, func(connection int) []string {
				if connection == 1 {
					return []string{refusal("{id}"), c.answer}
				}
				// On another connection the server has no earlier refusal to write.
				return []string{strings.ReplaceAll(c.answer, refusal("one"), "")}
			})
			client := &upstream.Client{Address: address, IDHeader: "Request-Id"}
			assert.Equal(t, send(client, "one").Answer.Status, http.StatusServiceUnavailable)
			assert.Equal(t, send(client, c.second).Answer.Status, c.status)
		})
	}
}

// serveAndClose starts a server that answers one request with a text and then closes the connection.
func serveAndClose(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}()
	return l.Addr().String()
}

func TestAnAnswerThatBreaksOffAnywhereIsNotWhole(t *testing.T) {
	for name, whole := range map[string]string{
		"without a body":   "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: 1.2.3\r\nContent-Length: 0\r\n\r\n",
		"with a length":    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: 1.2.3\r\nContent-Length: 12\r\n\r\nbody of 12 B",
		"length first":     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: one\r\nServer-Stamp: 1.2.3\r\n\r\nbody of 12 B",
		"in chunks":        "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 4\r\n\r\nbody",
		// Only the head of an answer that ends with its connection can be seen to break off.
		"to the end": "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: 1.2.3\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for size := range len(whole) {
				client := &upstream.Client{Address: serveAndClose(t, whole[:size]), IDHeader: "Request-Id"}
				result := send(client, "one")
				assert.Assert(t, result.Outcome != upstream.Answered, "%q was taken for a whole answer", whole[:size])
			}
		})
	}
}
