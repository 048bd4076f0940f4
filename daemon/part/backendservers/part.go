package backendservers

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"siskinspar.example/daemon/backends"
	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/declaration"
)

const (
	// tick is the time between two looks at expired announcements and waiting requests.
	tick = 200 * time.Millisecond
	// probePeriod is the time between two health probes of a backend server.
	probePeriod = time.Second
	// probeTimeout bounds one health probe.
	probeTimeout = 500 * time.Millisecond
)

// Part keeps the table of backend servers.
type Part struct{ done chan struct{} }

// Name implements daemon.Part.
func (p *Part) Name() string { return "backend-servers" }

// Defaults implements daemon.Part.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Callers.QueueLength, 256)
}

// Check implements daemon.Part.
func (p *Part) Check(*settings.Settings) []settings.Fault { return nil }

// Run implements daemon.Part.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	p.done = make(chan struct{})
	c.Backends = &backends.Table{
		QueueLength: c.Settings.Callers.QueueLength,
		Recorder:    c.Recorder,
		Publish:     c.Roster.Announce,
		Protected:   func(l declaration.Labels) float64 { return protectedShare(c, l) },
	}
	var group conc.WaitGroup
	group.Go(func() { keep(ctx, c) })
	group.Go(func() { probe(ctx, c) })
	go func() {
		group.Wait()
		close(p.done)
	}()
	return nil
}

// protectedShare returns the largest share that an intent in force protects at a backend server.
func protectedShare(c *core.Core, l declaration.Labels) float64 {
	set := c.Configuration.State().Set()
	share := 0.0
	for e := range set.All() {
		i := e.Intent()
		if i == nil || i.ProtectedShare <= share || !i.BackendServers.Matches(l) {
			continue
		}
		target, ok := set.Find(declaration.Key{Kind: declaration.KindService, Name: i.Target})
		if ok && target.Service().BackendServers.Matches(l) {
			share = i.ProtectedShare
		}
	}
	return share
}

func keep(ctx context.Context, c *core.Core) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	changed := c.Configuration.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.Backends.Tick(now)
		case <-changed:
			changed = c.Configuration.Changed()
			c.Backends.Refresh()
		}
	}
}

func probe(ctx context.Context, c *core.Core) {
	client := &http.Client{Timeout: probeTimeout}
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, b := range c.Backends.Probes() {
				c.Backends.NoteProbe(b.Name(), isHealthy(ctx, client, b.URL()))
			}
		}
	}
}

func isHealthy(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError
}

// Done implements daemon.Part.
func (p *Part) Done() <-chan struct{} { return p.done }
