package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/sidecar/memory"
	"siskinspar.example/standin/loopback"
)

// handler echoes the method, the path and the body of each request. Requests to /wait are answered once release is
// closed; disconnected is closed if the client disconnects before that.
type handler struct {
	release      chan struct{}
	started      chan string
	disconnected chan struct{}
	// refused gets the status of each refusal.
	refused chan int
}

func (h *handler) Serve(ctx context.Context, r *ingress.Request) *ingress.Response {
	h.started <- r.RequestURI
	if r.RequestURI == "/panic" {
		panic("injected")
	}
	if strings.HasPrefix(r.RequestURI, "/wait") {
		select {
		case <-h.release:
		case <-ctx.Done():
			close(h.disconnected)
			return &ingress.Response{IsAborted: true}
		}
	}
	return &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(r.Method + " " + r.RequestURI + " " + string(r.BodyContent))}
}

func (h *handler) Abandon(*ingress.Request) *ingress.Response {
	return &ingress.Response{Status: http.StatusBadGateway, Header: http.Header{}}
}

func (h *handler) Refuse(status int) *ingress.Response {
	h.refused <- status
	return &ingress.Response{Status: status, Header: http.Header{}}
}

// start runs a server and returns it with its handler and its address.
func start(t *testing.T) (*ingress.Server, *handler, string) {
	t.Helper()
	return startWith(t, 5*time.Second, nil)
}

// startWithMemory does the same as start with a budget for the bodies of requests.
func startWithMemory(t *testing.T, m *memory.Budget) (*ingress.Server, *handler, string) {
	t.Helper()
	return startWith(t, 5*time.Second, m)
}

// startWithIdleTimeout does the same as start with an idle timeout.
func startWithIdleTimeout(t *testing.T, idle time.Duration) (*ingress.Server, *handler, string) {
	t.Helper()
	return startWith(t, idle, nil)
}

func startWith(t *testing.T, idle time.Duration, m *memory.Budget) (*ingress.Server, *handler, string) {
	t.Helper()
	address := loopback.Address()
	h := &handler{release: make(chan struct{}), started: make(chan string, 64), disconnected: make(chan struct{}), refused: make(chan int, 64)}
	s := &ingress.Server{
		Address: address, Handler: h, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Memory: m,
		Limits: func() ingress.Limits {
			return ingress.Limits{HeaderBytes: 2000, BodyBytes: 100, HeaderTimeout: 5 * time.Second, IdleTimeout: idle}
		},
	}
	assert.NilError(t, s.Run())
	t.Cleanup(func() { s.Stop(time.Second) })
	return s, h, address
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

// read reads one answer and returns it with its body.
func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	_, h, address := start(t)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/wait")+get("/two")+get("/three"))
	assert.NilError(t, err)
	started := map[string]bool{<-h.started: true, <-h.started: true, <-h.started: true}
	assert.Equal(t, len(started), 3, "all requests run before the first is answered")
	close(h.release)
	for _, path := range []string{"/wait", "/two", "/three"} {
		_, body := read(t, r)
		assert.Equal(t, body, "GET "+path+" ")
	}
}

func TestMalformedRequestIsRefusedAndEndsConnection(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no request", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"a length that is no number", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na", http.StatusBadRequest},
		{"unknown transfer encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", http.StatusBadRequest},
		{"two transfer encodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", http.StatusBadRequest},
		{"a broken chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		{"space before the colon", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\n", http.StatusBadRequest},
		{"no host", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", http.StatusBadRequest},
		{"headers too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large by its length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"body too large in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"another protocol", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", http.StatusHTTPVersionNotSupported},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, h, address := start(t)
			conn, r := dial(t, address)
			_, err := io.WriteString(conn, c.text+get("/smuggled"))
			assert.NilError(t, err)
			response, _ := read(t, r)
			assert.Equal(t, response.StatusCode, c.status)
			assert.Assert(t, response.Close)
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, len(h.started), 0)
		})
	}
}

func TestChunkedEncodingOverridesContentLength(t *testing.T) {
	_, _, address := start(t)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"+get("/b"))
	assert.NilError(t, err)
	_, body := read(t, r)
	assert.Equal(t, body, "POST /a ab")
	_, body = read(t, r)
	assert.Equal(t, body, "GET /b ")
}

func TestNothingIsReadAfterHTTP10Request(t *testing.T) {
	_, h, address := start(t)
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST /a HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"+get("/smuggled"))
	assert.NilError(t, err)
	_, body := read(t, r)
	assert.Equal(t, body, "POST /a ")
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, len(h.started), 1)
}

func TestDisconnectCancelsRequests(t *testing.T) {
	for _, sent := range []string{get("/wait"), get("/wait") + "GET /unfinished"} {
		_, h, address := start(t)
		c, _ := dial(t, address)
		_, err := io.WriteString(c, sent)
		assert.NilError(t, err)
		<-h.started
		assert.NilError(t, c.Close())
		select {
		case <-h.disconnected:
		case <-time.After(10 * time.Second):
			t.Fatalf("request not cancelled after the client sent %q and disconnected", sent)
		}
	}
}

func TestDrainAnswersReadRequestsAndClosesConnections(t *testing.T) {
	s, h, address := start(t)
	busy, busyReader := dial(t, address)
	_, err := io.WriteString(busy, get("/wait/1")+get("/wait/2"))
	assert.NilError(t, err)
	<-h.started
	<-h.started
	s.Drain()
	close(h.release)
	first, _ := read(t, busyReader)
	assert.Assert(t, !first.Close, "another answer follows")
	second, body := read(t, busyReader)
	assert.Equal(t, body, "GET /wait/2 ")
	assert.Assert(t, second.Close)
	_, err = busyReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	late, lateReader := dial(t, address)
	_, err = io.WriteString(late, get("/late"))
	assert.NilError(t, err)
	response, _ := read(t, lateReader)
	assert.Assert(t, response.Close, "a connection opened during the drain serves one request")
}

func TestExpectContinueIsAnswered(t *testing.T) {
	_, _, address := start(t)
	c, r := dial(t, address)
	_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	assert.NilError(t, err)
	interim, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, interim.StatusCode, http.StatusContinue)
	_, err = io.WriteString(c, "ab")
	assert.NilError(t, err)
	_, body := read(t, r)
	assert.Equal(t, body, "POST /a ab")
}

// Requests whose bodies don't fit into the memory are refused before they run; the memory is free again once those that
// use it are answered.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	_, h, address := startWithMemory(t, &memory.Budget{Bytes: 150})
	post := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n" + strings.Repeat("x", 60)
	}
	first, firstReader := dial(t, address)
	_, err := io.WriteString(first, post("/wait"))
	assert.NilError(t, err)
	<-h.started
	second, secondReader := dial(t, address)
	_, err = io.WriteString(second, post("/wait")+post("/second"))
	assert.NilError(t, err)
	<-h.started
	assert.Equal(t, <-h.refused, http.StatusServiceUnavailable)
	close(h.release)
	response, _ := read(t, firstReader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	response, _ = read(t, secondReader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	response, _ = read(t, secondReader)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(h.started), 0, "the refused request has not run")
	_, err = io.WriteString(first, post("/third"))
	assert.NilError(t, err)
	response, _ = read(t, firstReader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func TestAPanicEndsOnlyItsRequest(t *testing.T) {
	_, _, address := start(t)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/before")+get("/panic")+get("/after"))
	assert.NilError(t, err)
	for _, status := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		response, _ := read(t, r)
		assert.Equal(t, response.StatusCode, status)
	}
}
