package peer

import (
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/listener"
	"siskinspar.example/sidecar/memory"
)

// ServiceName is the net/rpc service name of a daemon; the name of a call is ServiceName, a dot and the method.
const ServiceName = "Daemon"

// Server serves the calls of other daemons. The exported fields are set before Run.
type Server struct {
	// Address is the TCP address to listen on.
	Address string
	// Service is the receiver whose methods net/rpc serves.
	Service any
	Logger  *slog.Logger
	// Pacer limits the rate at which large replies are sent; nil means no limit.
	Pacer *bandwidth.Pacer
	// Memory bounds the calls that are being read; nil means no limit.
	Memory *memory.Budget

	listener *listener.Listener
	server   *rpc.Server
	mu       sync.Mutex
	conns    map[*servedConn]bool
	// group counts the open connections.
	group sync.WaitGroup
}

// Run starts to listen and serve; it returns once the server listens, or the error of the listener.
func (s *Server) Run() error {
	s.server = rpc.NewServer()
	if err := s.server.RegisterName(ServiceName, s.Service); err != nil {
		return eris.Wrap(err, "register the calls of other daemons")
	}
	s.conns = map[*servedConn]bool{}
	s.listener = &listener.Listener{Name: "daemons", Address: s.Address, Serve: s.serve, Logger: s.Logger}
	return s.listener.Run()
}

func (s *Server) serve(accepted net.Conn) {
	c := newServedConn(accepted)
	s.track(c, true)
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		defer s.track(c, false)
		s.server.ServeCodec(serverCodec{stream: newStream(newPacedConn(c, s.Pacer), s.Memory), conn: c})
	}()
}

// track records an open connection for Stop, or removes one that has ended.
func (s *Server) track(c *servedConn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

// Stop closes the listener, and waits for up to limit until all calls that have arrived have their replies and no
// connection has another. Then it closes all connections; calls still in progress fail at the other daemon.
func (s *Server) Stop(limit time.Duration) {
	s.listener.Stop()
	// net/rpc closes a connection that can't be read any more once all replies are written.
	s.forEachConn((*servedConn).stop)
	ended := make(chan struct{})
	go func() {
		s.group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
		s.Logger.Warn("daemons: calls without a reply are cut at the end of the drain")
	}
	// The other side may have closed the connection first.
	s.forEachConn(func(c *servedConn) { _ = c.Close() })
}

// forEachConn calls a function with each open connection.
func (s *Server) forEachConn(call func(*servedConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		call(c)
	}
}

// Done returns a channel that is closed once the listener has closed.
func (s *Server) Done() <-chan struct{} { return s.listener.Done() }
