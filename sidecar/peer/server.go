package peer

import (
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// acceptPause follows a failed accept, as for want of descriptors.
const acceptPause = 20 * time.Millisecond

// ServiceName is the name under which a daemon serves its calls.
const ServiceName = "Daemon"

// Server serves the calls of other daemons; its exported fields are set before Run.
type Server struct {
	Address string
	// Service has the methods that net/rpc finds.
	Service any
	Logger  *slog.Logger

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	done     chan struct{}
}

// Run listens and serves until Stop.
func (s *Server) Run() error {
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, s.Service); err != nil {
		return eris.Wrap(err, "register the calls of other daemons")
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrapf(err, "listen for daemons on %s", s.Address)
	}
	s.listener = l
	s.conns = map[net.Conn]bool{}
	s.done = make(chan struct{})
	go s.accept(server)
	return nil
}

func (s *Server) accept(server *rpc.Server) {
	defer close(s.done)
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Logger.Warn("peer: accept failed", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s.track(c, true)
		go func() {
			defer s.track(c, false)
			server.ServeConn(boundedConn{c})
		}()
	}
}

func (s *Server) track(c net.Conn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	if err := s.listener.Close(); err != nil {
		s.Logger.Warn("peer: close of the listener failed", "error", err)
	}
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// The connection may have been closed by the other side already.
		_ = c.Close()
	}
}

// Done returns a channel that is closed once the listener has ended.
func (s *Server) Done() <-chan struct{} { return s.done }
