package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server shuts down an http.Server for HTTP/1. Its listeners must be those of Listener.
type Server struct {
	*http.Server

	// group counts the calls of Serve, and the connections that the server has not ended yet.
	group sync.WaitGroup
	mu    sync.Mutex
	// listeners are those that were returned by Listener.
	listeners []net.Listener
	// served holds these connections.
	served map[*conn]bool
	// isDraining is true once Shutdown was called.
	isDraining atomic.Bool
}

// New prepares the shutdown of a server, of which it sets ConnState and wraps the handler.
func New(h *http.Server) *Server {
	s := &Server{Server: h, served: map[*conn]bool{}}
	h.ConnState = s.recordState
	h.Handler = s.tellClose(h.Handler)
	return s
}

// tellClose returns a handler whose answers tell the client that the connection closes, if their requests came after
// Shutdown was called. The writer is not wrapped, since http.MaxBytesReader needs that of http.Server.
func (s *Server) tellClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Listener wraps a listener of the server, below TLS. Its connections must be those of package connection, which look for
// unread bytes.
func (s *Server) Listener(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return listener{l}
}

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, isWaiting: true}, nil
}

// Serve is that of http.Server, and returns http.ErrServerClosed also after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.group.Add(1)
	defer s.group.Done()
	err := s.Server.Serve(l)
	if s.isDraining.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listeners, answers the requests that have arrived, and closes the connections. A connection whose
// answer did not say that it closes, since its request came before, stays open for nextWait. If the context ends first,
// Shutdown returns the error of the context; Close then closes what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drain()
	ended := make(chan struct{})
	go func() {
		s.group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.drain()
	return s.Server.Close()
}

// drain closes the listeners and ends the wait for further requests.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining.Store(true)
	for _, l := range s.listeners {
		// The listener may be closed already.
		_ = l.Close()
	}
	for c := range s.served {
		c.drain()
	}
}

// recordState is called with each change of the state of a connection.
func (s *Server) recordState(changed net.Conn, state http.ConnState) {
	if t, ok := changed.(*tls.Conn); ok {
		changed = t.NetConn()
	}
	c, ok := changed.(*conn)
	if !ok {
		return
	}
	c.setState(state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.group.Add(1)
		s.served[c] = true
		// It may have been accepted just before the listener closed.
		if s.isDraining.Load() {
			c.drain()
		}
	case http.StateHijacked, http.StateClosed:
		delete(s.served, c)
		s.group.Done()
	}
}
