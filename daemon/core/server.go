package core

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"siskinspar.example/sidecar/connection"
	"siskinspar.example/sidecar/httpserver"
)

const (
	// headerTimeout bounds the time in which a client must send the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that a connection without requests stays open.
	idleTimeout = 2 * time.Minute
)

// Server serves HTTP on one listener of a daemon; its exported fields are set before Start.
type Server struct {
	// Name starts the log messages of the listener.
	Name string
	// Address is the IP number and port to listen on when Listener is nil.
	Address  string
	Listener net.Listener
	// MaximumConnections bounds the open connections; further ones wait to be accepted.
	MaximumConnections int
	// MaximumHeaderSize bounds the headers of a request in bytes.
	MaximumHeaderSize int
	// TLS is the configuration of the listener, or nil for plain TCP.
	TLS     *tls.Config
	Handler http.Handler
	// ShutdownTimeout is how long requests in flight may take to end after a stop.
	ShutdownTimeout time.Duration
	Logger          *slog.Logger
	// IsKilled makes a stop close the connections of requests in flight at once.
	IsKilled *atomic.Bool

	server *httpserver.Server
	group  conc.WaitGroup
	done   chan struct{}
}

// Start listens and returns once the server accepts connections, or an error when it can't listen.
//
// When the context ends, requests in flight have ShutdownTimeout to finish before their connections are closed.
func (s *Server) Start(ctx context.Context) error {
	s.done = make(chan struct{})
	if s.Listener == nil {
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s on %s", s.Name, s.Address)
		}
		s.Listener = l
	}
	s.server = httpserver.New(&http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.MaximumHeaderSize,
		ErrorLog:          slog.NewLogLogger(s.Logger.Handler(), slog.LevelDebug),
	})
	l := s.server.Listener(netutil.LimitListener(connection.Listener{Listener: s.Listener}, s.MaximumConnections))
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	s.group.Go(func() { s.serve(l) })
	s.group.Go(func() { s.shutDown(ctx) })
	go func() {
		s.group.Wait()
		close(s.done)
	}()
	s.Logger.Info(s.Name+": listening", "address", s.Listener.Addr().String())
	return nil
}

// Done returns a channel that is closed once the server has stopped; Start must have returned without an error.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) serve(l net.Listener) {
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.Logger.Error(s.Name+": listener failed", "error", err)
	}
}

// shutDown stops the server once the context ends.
func (s *Server) shutDown(ctx context.Context) {
	<-ctx.Done()
	if s.IsKilled.Load() {
		_ = s.server.Close()
		return
	}
	limited, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(limited); err != nil {
		s.Logger.Warn(s.Name+": requests in flight did not finish before the limit, closing their connections", "error", err)
		_ = s.server.Close()
	}
}
