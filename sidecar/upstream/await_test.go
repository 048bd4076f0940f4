package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitingConn returns a connection that waits for the answer to the request with the ID "one", and the side of the server.
func waitingConn(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	server, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	n := newConn(near, &Client{})
	request, err := http.NewRequest(http.MethodPost, "http://a.example/", http.NoBody)
	assert.NilError(t, err)
	n.expected <- exchange{request: request, id: "one", idHeader: "Request-Id"}
	// The reading goroutine waits in the socket from here on.
	time.Sleep(10 * time.Millisecond)
	return n, server
}

// answerText returns an answer with a body of some bytes.
func answerText(size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
}

// expiredTimer returns the channel of a timer that has expired.
func expiredTimer() <-chan time.Time {
	expired := make(chan time.Time, 1)
	expired <- time.Now()
	return expired
}

// A process with little processor time may find the timeout passed before it has read an answer that came in time; the
// client of an unsafe request then must not get 504 in its place.
func TestAnAnswerThatLiesUnreadInTheSocketAtTheTimeoutIsReturned(t *testing.T) {
	// With one processor the reading goroutine does not run between the write and the end of the wait.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	// The larger body takes several reads and fits in the buffers of the sockets.
	for _, size := range []int{1, 32 << 10} {
		for range 20 {
			n, server := waitingConn(t)
			_, err := io.WriteString(server, answerText(size))
			assert.NilError(t, err)
			a, err := n.await(context.Background(), nil, expiredTimer())
			assert.NilError(t, err)
			assert.Equal(t, len(a.body), size)
			assert.Assert(t, !a.isReusable)
		}
	}
}

// A server that answers without reading the whole request and closes the connection makes the write fail.
func TestAnAnswerThatLiesUnreadInTheSocketWhenTheWriteFailsIsReturned(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		n, server := waitingConn(t)
		_, err := io.WriteString(server, answerText(1))
		assert.NilError(t, err)
		assert.NilError(t, server.Close())
		written := make(chan error, 1)
		written <- errors.New("broken pipe")
		a, err := n.await(context.Background(), written, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(a.body), 1)
	}
}

// select picks any of the cases that are ready.
func TestAnAnswerThatIsReadyGoesBeforeTheEndOfTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		n, server := waitingConn(t)
		_, err := io.WriteString(server, answerText(1))
		assert.NilError(t, err)
		for len(n.answers) == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err = n.await(ctx, nil, nil)
		assert.NilError(t, err)
	}
}

func TestAnAnswerOfWhichAPartHasArrivedAtTheTimeoutIsNone(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":             "",
		"a part of the head":  "HTTP/1.1 200 OK\r\nRequ",
		"a part of the body":  answerText(10)[:len(answerText(10))-1],
		"a body without end":  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\nbody",
		"an interim answer":   "HTTP/1.1 103 Early Hints\r\n\r\n",
		"a part of the chunk": "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo",
	} {
		t.Run(name, func(t *testing.T) {
			n, server := waitingConn(t)
			_, err := io.WriteString(server, text)
			assert.NilError(t, err)
			_, err = n.await(context.Background(), nil, expiredTimer())
			assert.ErrorIs(t, err, context.DeadlineExceeded)
		})
	}
}
