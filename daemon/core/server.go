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
)

const (
	// headerTimeout bounds the time that a client takes to send the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that an unused connection stays open.
	idleTimeout = 2 * time.Minute
)

// Server is an HTTP listener of a daemon; its exported fields are set before Start.
type Server struct {
	Name        string
	Address     string
	Listener    net.Listener
	Connections int
	HeaderSize  int
	TLS         *tls.Config
	Handler     http.Handler
	// Limit is how long requests in flight may take to end after a stop.
	Limit  time.Duration
	Logger *slog.Logger
	// IsKilled makes a stop cut the requests in flight.
	IsKilled *atomic.Bool

	server http.Server
	group  conc.WaitGroup
	done   chan struct{}
}

// Start listens and serves until the context ends; then requests in flight are let finish.
func (s *Server) Start(ctx context.Context) error {
	s.done = make(chan struct{})
	if s.Listener == nil {
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s on %s", s.Name, s.Address)
		}
		s.Listener = l
	}
	l := netutil.LimitListener(s.Listener, s.Connections)
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	s.server = http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.HeaderSize,
		ErrorLog:          slog.NewLogLogger(s.Logger.Handler(), slog.LevelDebug),
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

// Done returns a channel that is closed once the listener has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) serve(l net.Listener) {
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.Logger.Error(s.Name+": listener failed", "error", err)
	}
}

func (s *Server) shutDown(ctx context.Context) {
	<-ctx.Done()
	if s.IsKilled.Load() {
		_ = s.server.Close()
		return
	}
	limited, cancel := context.WithTimeout(context.Background(), s.Limit)
	defer cancel()
	if err := s.server.Shutdown(limited); err != nil {
		s.Logger.Warn(s.Name+": requests in flight are cut", "error", err)
		_ = s.server.Close()
	}
}
