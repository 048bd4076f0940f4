package store

import (
	"context"
	"time"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/platform/rowstore"
	"siskinspar.example/versionlog/record"
)

// Part connects to the platform's table and object store.
type Part struct{ done chan struct{} }

// Name implements daemon.Part.
func (p *Part) Name() string { return "store" }

// Defaults implements daemon.Part.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Platform.Timeout, 2*time.Second)
}

// Check implements daemon.Part.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	return settings.CheckAddress("platform", "address", s.Platform.Address)
}

// Run implements daemon.Part.
func (p *Part) Run(_ context.Context, c *core.Core) error {
	p.done = make(chan struct{})
	close(p.done)
	client := rowstore.NewClient(c.Settings.Platform.Address)
	c.Log = &record.Log{Table: rowstore.Table{Client: client}, Objects: rowstore.Objects{Client: client}}
	return nil
}

// Done implements daemon.Part.
func (p *Part) Done() <-chan struct{} { return p.done }
