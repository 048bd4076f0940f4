package peers

import (
	"context"

	"siskinspar.example/daemon/control"
	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/owner"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/membership"
	"siskinspar.example/request/claim"
	"siskinspar.example/sidecar/memory"
)

// answerMemory bounds in bytes the answers to unrepeatable requests that are being read, three of the largest.
const answerMemory = 3 * claim.MaximumAnswerSize

// Part serves the listener for other daemons.
type Part struct {
	server *core.Server
	done   chan struct{}
}

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "peers" }

// Defaults sets the maximum number of connections, and the advertised address to the listen address.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Peers.Connections, 4096)
	settings.Default(&s.Peers.Advertise, s.Peers.Listen)
}

// Check returns a fault for each invalid address among the listen address, the advertised address and the seeds.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	faults := settings.CheckAddress("peers", "listen", s.Peers.Listen)
	if s.Peers.Advertise != s.Peers.Listen {
		faults = append(faults, settings.CheckAddress("peers", "advertise", s.Peers.Advertise)...)
	}
	for _, seed := range s.Peers.Seeds {
		faults = append(faults, settings.CheckAddress("peers", "seeds", seed)...)
	}
	return faults
}

// Run starts the listener for other daemons, or returns an error when it can't listen.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	handler := &peer.Server{
		Identity: c.Identity,
		Traffic:  c.Traffic,
		Methods:  control.NewMethods(c.ControlNode),
		Calls: &owner.Handler{
			Backends: c.Backends, Claimer: c.Claimer, Guard: c.CrashGuard, Meter: core.Meter{Registry: c.Registry, Prefix: "owner"},
			Limits:       &owner.Limits{Self: membership.ID(c.Settings.Instance.Name), Configuration: c.Configuration, CandidateSource: c.Roster},
			AnswerMemory: &memory.Budget{Bytes: answerMemory},
		},
	}
	p.server = &core.Server{
		Name: "peers", Address: c.Settings.Peers.Listen, Listener: c.PeerListener, MaximumConnections: c.Settings.Peers.Connections,
		MaximumHeaderSize: c.Settings.Callers.HeaderSize, TLS: c.Identity.ServerTLS(), Handler: handler, ShutdownTimeout: c.Settings.Drain.Limit, Logger: c.Logger, IsKilled: &c.IsKilled,
	}
	if err := p.server.Start(ctx); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		<-p.server.Done()
		handler.Close()
		close(p.done)
	}()
	return nil
}

// Done returns a channel that is closed once the listener has stopped and the upgraded connections are closed.
func (p *Part) Done() <-chan struct{} { return p.done }
