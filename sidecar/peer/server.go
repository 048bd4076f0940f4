package peer

import (
	"log/slog"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/listener"
)

// ServiceName is the name under which a daemon serves its calls.
const ServiceName = "Daemon"

// Server serves the calls of other daemons; its exported fields are set before Run.
type Server struct {
	Address string
	// Service has the methods that net/rpc finds.
	Service any
	Logger  *slog.Logger
	// Pacer paces large replies; nil paces nothing.
	Pacer *bandwidth.Pacer

	listener *listener.Listener
	server   *rpc.Server
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Run listens and serves until Stop.
func (s *Server) Run() error {
	s.server = rpc.NewServer()
	if err := s.server.RegisterName(ServiceName, s.Service); err != nil {
		return eris.Wrap(err, "register the calls of other daemons")
	}
	s.conns = map[net.Conn]bool{}
	s.listener = &listener.Listener{Name: "daemons", Address: s.Address, Serve: s.serve, Logger: s.Logger}
	return s.listener.Run()
}

func (s *Server) serve(c net.Conn) {
	s.track(c, true)
	go func() {
		defer s.track(c, false)
		s.server.ServeConn(newPacedConn(c, s.Pacer))
	}()
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
	s.listener.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// The connection may have been closed by the other side already.
		_ = c.Close()
	}
}

// Done returns a channel that is closed once the listener has ended.
func (s *Server) Done() <-chan struct{} { return s.listener.Done() }
