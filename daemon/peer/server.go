package peer

import (
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"
)

// PathCall is the prefix below which the peer listener takes calls for backend servers.
const PathCall = "/call"

// Server answers the peer listener: remote calls by upgrade, and calls for backend servers.
type Server struct {
	// Identity, Traffic, Methods and Calls are set before use.
	Identity *Identity
	Traffic  *Traffic
	// Methods holds the remote methods of the service Peer.
	Methods any
	// Calls serves requests for the backend servers beside this daemon.
	Calls http.Handler

	once  sync.Once
	rpc   *rpc.Server
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (s *Server) start() {
	s.rpc = rpc.NewServer()
	s.conns = map[net.Conn]bool{}
	if err := s.rpc.RegisterName("Peer", s.Methods); err != nil {
		panic(fmt.Sprintf("register peer methods: %v", err))
	}
}

// ServeHTTP refuses strangers before anything else is read.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.start)
	if !s.Identity.IsAllowed(r.Header) {
		http.Error(w, "peer key is missing or wrong", http.StatusForbidden)
		return
	}
	if r.URL.Path == pathRPC {
		s.upgrade(w, r)
		return
	}
	s.Calls.ServeHTTP(w, r)
}

func (s *Server) upgrade(w http.ResponseWriter, r *http.Request) {
	hijacker, ok := w.(http.Hijacker)
	if !ok || r.Header.Get("Upgrade") != protocolRPC {
		http.Error(w, "upgrade to "+protocolRPC+" is required", http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", protocolRPC); err != nil {
		_ = conn.Close()
		return
	}
	s.serve(&countedConn{Conn: conn, reader: buffered, traffic: s.Traffic})
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes the connections that were upgraded.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
