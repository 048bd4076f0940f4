package core_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/daemon/core"
)

// request is a request without a body.
const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// exchange sends a request and reads the answer.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader) {
	t.Helper()
	_, err := io.WriteString(c, request)
	assert.NilError(t, err)
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// A daemon with little processor time may stop before it has read what its callers sent.
func TestRequestsThatLieUnreadInTheSocketsAtTheStopAreAnswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &core.Server{
		Name: "callers", Listener: l, MaximumConnections: 100, MaximumHeaderSize: 1 << 10, ShutdownTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), IsKilled: &atomic.Bool{},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	assert.NilError(t, s.Start(ctx))
	conns := make([]net.Conn, 40)
	readers := make([]*bufio.Reader, len(conns))
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conns[i].Close()
		readers[i] = bufio.NewReader(conns[i])
		exchange(t, conns[i], readers[i])
	}
	// With one processor the server does not run between the writes and the stop.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range conns {
		_, err := io.WriteString(c, request)
		assert.NilError(t, err)
	}
	stop()
	<-s.Done()
	for _, r := range readers {
		response, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		_, err = r.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
}
