package store

import (
	"context"
	"time"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/platform/rowstore"
	"siskinspar.example/versionlog/record"
)

// Part creates the version log on the platform's table and object store.
type Part struct{ done chan struct{} }

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "store" }

// Defaults sets the timeout of operations on the store.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Platform.Timeout, 2*time.Second)
}

// Check returns a fault for an invalid address of the store.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	return settings.CheckAddress("platform", "address", s.Platform.Address)
}

// Run creates the client of the store and the version log; it makes no calls yet.
func (p *Part) Run(_ context.Context, c *core.Core) error {
	p.done = make(chan struct{})
	close(p.done)
	client := rowstore.NewClient(c.Settings.Platform.Address)
	c.StoreEra = client.Era()
	c.VersionLog = &record.Log{Table: rowstore.Table{Client: client, Logger: c.Logger}, Objects: rowstore.Objects{Client: client}}
	return nil
}

// Done returns a closed channel, since nothing runs after Run.
func (p *Part) Done() <-chan struct{} { return p.done }
