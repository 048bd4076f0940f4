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
	conns    map[net.Conn]bool
	// group counts the open connections.
	group sync.WaitGroup
}

// Run starts to listen and serve; it returns once the server listens, or the error of the listener.
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
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		defer s.track(c, false)
		s.server.ServeCodec(serverCodec{newStream(newPacedConn(c, s.Pacer), s.Memory)})
	}()
}

// track records an open connection for Stop, or removes one that has ended.
func (s *Server) track(c net.Conn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

// Stop closes the listener, reads no further call, and waits for up to limit until the calls that were read have their
// replies. Then it closes all connections; calls still in progress fail at the other daemon.
func (s *Server) Stop(limit time.Duration) {
	s.listener.Stop()
	// net/rpc closes a connection that can't be read any more once all replies are written.
	s.forEachConn(func(c net.Conn) error { return c.SetReadDeadline(time.Now()) })
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
	s.forEachConn(net.Conn.Close)
}

// forEachConn calls a method of each open connection. Its error is ignored, since the other side may have closed the
// connection.
func (s *Server) forEachConn(call func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = call(c)
	}
}

// Done returns a channel that is closed once the listener has closed.
func (s *Server) Done() <-chan struct{} { return s.listener.Done() }
