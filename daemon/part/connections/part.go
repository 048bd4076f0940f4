package connections

import (
	"context"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/settings"
)

// Part sets up the identity that authenticates the daemon to its peers, and the pool of connections to them.
type Part struct{ done chan struct{} }

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "connections" }

// Defaults does nothing, since the part has no settings with a default.
func (p *Part) Defaults(*settings.Settings) {}

// Check returns a fault for each of the certificate, the private key and the authority that is missing, or for a missing
// shared key when none of the three is set.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	if !s.Peers.IsTLS() {
		return settings.CheckPresent("peers", "key", s.Peers.Key)
	}
	faults := settings.CheckPresent("peers", "certificate", s.Peers.Certificate)
	faults = append(faults, settings.CheckPresent("peers", "private-key", s.Peers.PrivateKey)...)
	return append(faults, settings.CheckPresent("peers", "authority", s.Peers.Authority)...)
}

// Run loads the identity and creates the pool, or returns an error when a certificate can't be loaded.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	identity, err := peer.NewIdentity(c.Settings.Peers)
	if err != nil {
		return err
	}
	c.Identity = identity
	c.Traffic = &peer.Traffic{}
	c.Pool = &peer.Pool{Identity: identity, Traffic: c.Traffic, Dialer: c.Dialer}
	p.done = make(chan struct{})
	go func() {
		<-ctx.Done()
		c.Pool.Close()
		close(p.done)
	}()
	return nil
}

// Done returns a channel that is closed once the pool has been closed.
func (p *Part) Done() <-chan struct{} { return p.done }
