package operators

import (
	"context"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/operator"
	"siskinspar.example/daemon/settings"
)

// Part serves the listener for operators.
type Part struct{ server *core.Server }

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "operators" }

// Defaults sets the maximum number of connections, and the advertised address to the listen address.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Operators.Connections, 256)
	settings.Default(&s.Operators.Advertise, s.Operators.Listen)
}

// minimumTokenLength is the shortest token allowed, in bytes; shorter ones could be guessed.
const minimumTokenLength = 8

// Check returns a fault for an invalid listen address and for each token that is too short.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	faults := settings.CheckAddress("operators", "listen", s.Operators.Listen)
	if len(s.Operators.Token) < minimumTokenLength {
		faults = append(faults, settings.NewFault("operators", "token", "must have at least 8 characters"))
	}
	if len(s.Operators.BackendToken) < minimumTokenLength {
		faults = append(faults, settings.NewFault("operators", "backend-token", "must have at least 8 characters"))
	}
	return faults
}

// Run starts the listener for operators, or returns an error when it can't listen.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	p.server = &core.Server{
		Name: "operators", Address: c.Settings.Operators.Listen, Listener: c.OperatorListener, MaximumConnections: c.Settings.Operators.Connections,
		MaximumHeaderSize: c.Settings.Callers.HeaderSize, Handler: (&operator.Server{Core: c}).Handler(), ShutdownTimeout: c.Settings.Drain.Limit, Logger: c.Logger, IsKilled: &c.IsKilled,
	}
	return p.server.Start(ctx)
}

// Done returns a channel that is closed once the listener has stopped.
func (p *Part) Done() <-chan struct{} { return p.server.Done() }
