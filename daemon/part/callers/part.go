package callers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"siskinspar.example/daemon/backends"
	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/entry"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/membership"
	"siskinspar.example/request/retry"
	"siskinspar.example/request/routing"
)

const (
	// connectTimeout bounds the dial of a connection to another daemon.
	connectTimeout = time.Second
	// maximumIdlePerDaemon bounds the idle connections for requests that are kept to one daemon.
	maximumIdlePerDaemon = 32
	// maximumIdle bounds the idle connections for requests that are kept to all daemons together.
	maximumIdle = 1024
	// continueTimeout bounds the wait for the 100 Continue of the daemon beside the backend server. A streamed body is not
	// sent before that answer. When the wait times out, net/http would send the body without it; an hour is
	// declaration.MaximumTimeout, so the deadline of the request passes first.
	continueTimeout = time.Hour
	// maximumHeadSize bounds the head of an answer of another daemon in bytes. It leaves room for the headers that the
	// daemon adds to those of the backend server.
	maximumHeadSize = 2 * backends.MaximumHeadSize
)

// Part serves the listener for callers.
type Part struct {
	server *core.Server
	done   chan struct{}
}

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "callers" }

// Defaults sets the maximum number of connections, and the maximum size of the headers of a request in bytes.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Callers.Connections, 4096)
	settings.Default(&s.Callers.HeaderSize, 64<<10)
}

// Check returns a fault for an invalid listen address.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	return settings.CheckAddress("callers", "listen", s.Callers.Listen)
}

// Run starts the entry handler on the listener for callers, or returns an error when it can't listen.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	dataCentre := membership.DataCentre(c.Settings.Instance.DataCentre)
	handler := &entry.Handler{
		Configuration:   c.Configuration,
		Liveness:        c.ControlNode,
		CandidateSource: c.Roster,
		Identity:        c.Identity,
		Transport:       newTransport(c),
		Recorder:        c.Recorder,
		Meter:           core.Meter{Registry: c.Registry, Prefix: "entry"},
		Budget:          retry.NewBudget(),
		Router:          routing.NewRouter(dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	p.server = &core.Server{
		Name: "callers", Address: c.Settings.Callers.Listen, Listener: c.CallerListener, MaximumConnections: c.Settings.Callers.Connections,
		MaximumHeaderSize: c.Settings.Callers.HeaderSize, Handler: handler, ShutdownTimeout: c.Settings.Drain.Limit, Logger: c.Logger, IsKilled: &c.IsKilled,
	}
	if err := p.server.Start(ctx); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		<-p.server.Done()
		handler.Wait()
		close(p.done)
	}()
	return nil
}

// dialWithTimeout returns a dial function that gives up after connectTimeout.
func dialWithTimeout(d peer.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return d.DialContext(limited, network, address)
	}
}

// newTransport returns the HTTP transport for requests to other daemons.
func newTransport(c *core.Core) *http.Transport {
	return &http.Transport{
		DialContext:           dialWithTimeout(c.Dialer),
		TLSClientConfig:       c.Identity.ClientTLS(),
		MaxIdleConns:          maximumIdle,
		MaxIdleConnsPerHost:   maximumIdlePerDaemon,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ExpectContinueTimeout: continueTimeout,

		MaxResponseHeaderBytes: maximumHeadSize,
	}
}

// Done returns a channel that is closed once the listener has stopped and all attempts of the entry handler
// have ended.
func (p *Part) Done() <-chan struct{} { return p.done }
