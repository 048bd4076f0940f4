package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/listener"
	"siskinspar.example/sidecar/memory"
)

// Limits are the limits on the size of a request and on the time to send it.
type Limits struct {
	// HeaderBytes is the maximum size of the request line and headers in bytes.
	HeaderBytes int
	// BodyBytes is the maximum size of the body in bytes.
	BodyBytes int
	// HeaderTimeout limits the time from the first byte of a request to the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout limits the wait for the first byte of a request on an open connection, and then the time from the end
	// of the headers to the end of the body.
	IdleTimeout time.Duration
}

// Request is a request of a client that was read whole.
type Request struct {
	*http.Request
	// BodyContent is the whole body; the Body of the embedded request has been read.
	BodyContent []byte
	// Arrived is when the headers had been read.
	Arrived time.Time
}

// Response is what a client gets for a request: the answer of a backend server (message.Answer) without the headers
// that concern one connection only, a response of the daemon's own, or the end of the connection.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// IsAborted makes the server close the connection without an answer; the other fields are then ignored.
	IsAborted bool
}

// Handler answers the requests of clients. Its methods are called concurrently.
type Handler interface {
	// Serve returns the answer to a request. The context is cancelled when the client disconnects.
	Serve(ctx context.Context, r *Request) *Response
	// Refuse returns the answer, with the given HTTP status, to a request that could not be read.
	Refuse(status int) *Response
	// Abandon returns the answer to a request for which Serve has not returned at the end of the drain.
	Abandon(r *Request) *Response
}

// Server serves the clients of one listener. The exported fields are set before Run.
type Server struct {
	// Address is the TCP address to listen on.
	Address string
	Handler Handler
	// Limits returns the limits in force; it is called before each request is read.
	Limits func() Limits
	Logger *slog.Logger
	// Pacer limits the rate at which large answers are sent; nil means no limit.
	Pacer *bandwidth.Pacer
	// Memory bounds the bodies of the requests that are read or served; nil means no limit.
	Memory *memory.Budget

	listener *listener.Listener
	// isDraining is true once Drain was called: each answer then tells the client that the connection closes.
	isDraining atomic.Bool
	// isStopping is true once Stop was called: unused connections are then closed.
	isStopping atomic.Bool
	// ended is closed at the end of the drain; the requests without an answer are then abandoned.
	ended chan struct{}
	mu    sync.Mutex
	conns map[*conn]bool
	// group counts the open connections.
	group sync.WaitGroup
}

// Run starts to listen and serve; it returns once the server listens, or the error of the listener.
func (s *Server) Run() error {
	s.conns = map[*conn]bool{}
	s.ended = make(chan struct{})
	s.listener = &listener.Listener{Name: "clients", Address: s.Address, Serve: s.serve, Logger: s.Logger}
	return s.listener.Run()
}

// serve starts to serve a new connection.
func (s *Server) serve(c net.Conn) {
	n := newConn(s, c)
	s.mu.Lock()
	s.conns[n] = true
	s.mu.Unlock()
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		n.run()
		s.mu.Lock()
		delete(s.conns, n)
		s.mu.Unlock()
	}()
}

// Drain makes each connection close after its next answer, which tells the client so. Connections that wait for a request
// stay open, since one may be on its way, and new ones are still accepted.
func (s *Server) Drain() {
	if !s.isDraining.Swap(true) {
		s.Logger.Info("ingress: drain begins", "connections", s.count())
	}
}

// Stop drains the connections, closes the listener and the unused connections, and waits for up to limit until all
// connections have ended. It then abandons the requests that have no answer, and waits for up to abandonTime until these
// answers are sent.
func (s *Server) Stop(limit time.Duration) {
	s.Drain()
	s.isStopping.Store(true)
	s.listener.Stop()
	s.applyStop()
	closed := make(chan struct{})
	go func() {
		s.group.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return
	case <-time.After(limit):
		s.Logger.Warn("ingress: connections are still open at the end of the drain", "connections", s.count())
	}
	close(s.ended)
	select {
	case <-closed:
	case <-time.After(abandonTime):
	}
}

// applyStop applies the stop to the connections that wait for a request.
func (s *Server) applyStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.conns {
		n.applyStop()
	}
}

// abandonTime is how long the answers to abandoned requests may take to be sent.
const abandonTime = 100 * time.Millisecond

// count returns the number of open connections.
func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Done returns a channel that is closed once the listener has closed.
func (s *Server) Done() <-chan struct{} { return s.listener.Done() }
