package httpserver_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/connection"
	"siskinspar.example/sidecar/httpserver"
)

// answerTimeout is how long a test waits for an answer.
const answerTimeout = 10 * time.Second

// service answers requests with their paths; it answers /wait once release is closed.
type service struct{ started, release chan struct{} }

func newService() *service {
	return &service{started: make(chan struct{}, 100), release: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (v *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		v.started <- struct{}{}
		<-v.release
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// start runs a server of a service and returns it with its address.
func start(t *testing.T, v *service) (*httpserver.Server, string) {
	t.Helper()
	return startTLS(t, v, nil)
}

// startTLS is start for a server that uses TLS unless the configuration is nil.
func startTLS(t *testing.T, v *service, c *tls.Config) (*httpserver.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := httpserver.New(&http.Server{Handler: v, IdleTimeout: time.Minute})
	served := s.Listener(connection.Listener{Listener: l})
	if c != nil {
		served = tls.NewListener(served, c)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assert.Check(t, s.Serve(served) == http.ErrServerClosed)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return s, l.Addr().String()
}

// client is the side of a client of one connection.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection on which one request has been answered.
func dial(t *testing.T, address string) *client {
	t.Helper()
	n, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	return newClient(t, n)
}

// newClient sends the first request on a connection and reads the answer.
func newClient(t *testing.T, n net.Conn) *client {
	t.Helper()
	t.Cleanup(func() { _ = n.Close() })
	assert.NilError(t, n.SetReadDeadline(time.Now().Add(answerTimeout)))
	c := &client{t: t, Conn: n, reader: bufio.NewReader(n)}
	c.send("/first")
	assert.Assert(t, !c.expect("/first"))
	return c
}

// request returns the bytes of a request.
func request(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
}

func (c *client) send(path string) {
	c.t.Helper()
	_, err := io.WriteString(c, request(path))
	assert.NilError(c.t, err)
}

// expect reads the answer to the request for a path, and returns whether it says that the connection closes.
func (c *client) expect(path string) (isLast bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(body), path)
	return response.Close
}

// expectEnd checks that the server closes the connection.
func (c *client) expectEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.Equal(c.t, err, io.EOF)
}

// shutDown shuts the server down in the background and returns the channel of the result.
func shutDown(s *httpserver.Server, limit time.Duration) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		result <- s.Shutdown(ctx)
	}()
	return result
}

// expectUnreadAnswered checks that requests are answered that lie unread when the server shuts down.
func expectUnreadAnswered(t *testing.T, s *httpserver.Server, clients []*client) {
	t.Helper()
	// With one processor the server does not run between the writes and the shutdown.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range clients {
		c.send("/unread")
	}
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	for _, c := range clients {
		// The server may have run after all, and have answered before the shutdown, without saying that it closes.
		c.expect("/unread")
		c.expectEnd()
	}
}

// A process with little processor time may shut down before it has read what its clients sent.
func TestRequestsThatLieUnreadInTheSocketsAtTheShutdownAreAnswered(t *testing.T) {
	s, address := start(t, newService())
	clients := make([]*client, 40)
	for i := range clients {
		clients[i] = dial(t, address)
	}
	expectUnreadAnswered(t, s, clients)
}

func TestRequestsThatLieUnreadUnderTLSAtTheShutdownAreAnswered(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	certified.Close()
	s, address := startTLS(t, newService(), &tls.Config{Certificates: certified.TLS.Certificates})
	roots := x509.NewCertPool()
	roots.AddCert(certified.Certificate())
	clients := make([]*client, 40)
	for i := range clients {
		n, err := tls.Dial("tcp", address, &tls.Config{RootCAs: roots})
		assert.NilError(t, err)
		clients[i] = newClient(t, n)
	}
	expectUnreadAnswered(t, s, clients)
}

func TestUnusedConnectionsAreClosedAtTheShutdown(t *testing.T) {
	s, address := start(t, newService())
	c := dial(t, address)
	assert.NilError(t, <-shutDown(s, answerTimeout))
	c.expectEnd()
}

func TestARequestOfWhichAPartHasArrivedAtTheShutdownIsAnswered(t *testing.T) {
	s, address := start(t, newService())
	c := dial(t, address)
	text := request("/parts")
	_, err := io.WriteString(c, text[:10])
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	result := shutDown(s, answerTimeout)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, text[10:])
	assert.NilError(t, err)
	assert.Assert(t, c.expect("/parts"))
	assert.NilError(t, <-result)
}

// The answer to a request that came before the shutdown may not say that the connection closes; its client may then send
// another.
func TestARequestInProgressAtTheShutdownAndTheNextOneAreAnswered(t *testing.T) {
	v := newService()
	s, address := start(t, v)
	c := dial(t, address)
	c.send("/wait")
	<-v.started
	result := shutDown(s, answerTimeout)
	time.Sleep(50 * time.Millisecond)
	close(v.release)
	c.expect("/wait")
	time.Sleep(50 * time.Millisecond)
	c.send("/next")
	assert.Assert(t, c.expect("/next"))
	c.expectEnd()
	assert.NilError(t, <-result)
}

func TestAConnectionWithoutANextRequestIsClosedAfterTheShutdown(t *testing.T) {
	v := newService()
	s, address := start(t, v)
	c := dial(t, address)
	c.send("/wait")
	<-v.started
	result := shutDown(s, answerTimeout)
	time.Sleep(50 * time.Millisecond)
	close(v.release)
	c.expect("/wait")
	c.expectEnd()
	assert.NilError(t, <-result)
}

// http.Server closes the connection of a client that sends a body without end if http.MaxBytesReader has its own writer.
func TestABodyThatIsTooLargeClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := httpserver.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 100))
		assert.Check(t, err != nil)
	})})
	defer s.Close()
	go func() { _ = s.Serve(s.Listener(connection.Listener{Listener: l})) }()
	n, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer n.Close()
	assert.NilError(t, n.SetDeadline(time.Now().Add(answerTimeout)))
	_, err = io.WriteString(n, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1000))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(n), nil)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
}

// A client that stops in the midst of a request must not hold the process.
func TestCloseEndsWhatIsLeftAfterTheShutdown(t *testing.T) {
	s, address := start(t, newService())
	c := dial(t, address)
	_, err := io.WriteString(c, request("/never")[:10])
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.ErrorIs(t, <-shutDown(s, 50*time.Millisecond), context.DeadlineExceeded)
	assert.NilError(t, s.Close())
	_, err = c.reader.ReadByte()
	assert.Assert(t, err != nil)
}

func TestAConnectionThatWasGivenAwayStaysOpen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	given := make(chan net.Conn, 1)
	s := httpserver.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		given <- c
	})})
	go func() { _ = s.Serve(s.Listener(connection.Listener{Listener: l})) }()
	n, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer n.Close()
	_, err = io.WriteString(n, request("/"))
	assert.NilError(t, err)
	c := <-given
	assert.NilError(t, <-shutDown(s, answerTimeout))
	_, err = io.WriteString(c, "x")
	assert.NilError(t, err)
	b := make([]byte, 1)
	_, err = io.ReadFull(n, b)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	_, err = n.Read(b)
	assert.Equal(t, err, io.EOF)
}
