package peer

import (
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"
)

// PathRequest is the path prefix under which daemons send each other requests for backend servers.
const PathRequest = "/call"

// Server is the HTTP handler of the peer listener: it serves remote methods on upgraded connections, and requests for
// backend servers. Its exported fields are set before use.
type Server struct {
	// Identity decides which requests are allowed.
	Identity *Identity
	// Traffic counts the bytes of the upgraded connections.
	Traffic *Traffic
	// Methods is the receiver of the remote methods, registered as the net/rpc service Peer.
	Methods any
	// Calls serves requests for the backend servers beside this daemon.
	Calls http.Handler

	once sync.Once
	rpc  *rpc.Server
	mu   sync.Mutex
	// conns holds the open connections that were upgraded to net/rpc.
	conns map[net.Conn]bool
}

func (s *Server) initialise() {
	s.rpc = rpc.NewServer()
	s.conns = map[net.Conn]bool{}
	if err := s.rpc.RegisterName("Peer", s.Methods); err != nil {
		panic(fmt.Sprintf("register peer methods: %v", err))
	}
}

// ServeHTTP answers 403 to a request without the shared key before it looks at anything else; then it upgrades the
// connection to net/rpc or passes the request to Calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.initialise)
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

// upgrade switches the connection of a request to net/rpc and serves it until it is closed.
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
	s.serve(&countedConn{Conn: conn, reader: &messageReader{reader: buffered.Reader}, traffic: s.Traffic})
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

// Close closes the open connections that were upgraded to net/rpc.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
