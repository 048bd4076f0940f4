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
	// tickPeriod is the time between two checks for expired announcements, waiting requests whose deadline has passed and
	// slots that have warmed up.
	tickPeriod = 200 * time.Millisecond
	// probePeriod is the time between two health probes of a backend server.
	probePeriod = time.Second
	// probeTimeout bounds one health probe.
	probeTimeout = 500 * time.Millisecond
)

// Part holds the table of the backend servers beside the daemon.
type Part struct{ done chan struct{} }

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "backend-servers" }

// Defaults sets the length of the queue of each backend server.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Callers.QueueLength, 256)
}

// Check returns no faults, since the length of the queue is checked when the settings are read.
func (p *Part) Check(*settings.Settings) []settings.Fault { return nil }

// Run creates the table of backend servers, and starts the goroutines that refresh it and probe the health of the
// servers.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	p.done = make(chan struct{})
	c.Backends = &backends.Table{
		QueueLength:    c.Settings.Callers.QueueLength,
		Recorder:       c.Recorder,
		PublishServers: c.Roster.Announce,
		ProtectedShare: func(l declaration.Labels) float64 { return protectedShare(c, l) },
	}
	var group conc.WaitGroup
	group.Go(func() { refreshTable(ctx, c) })
	group.Go(func() { probeHealth(ctx, c) })
	go func() {
		group.Wait()
		close(p.done)
	}()
	return nil
}

// protectedShare returns the largest protected share among the intents in force that apply to a backend server with
// these labels, or 0.
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

// refreshTable removes expired backend servers at each tick, and recomputes the limits of the others when another
// configuration comes into force.
func refreshTable(ctx context.Context, c *core.Core) {
	ticker := time.NewTicker(tickPeriod)
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

// probeHealth probes all backend servers with a health endpoint, one after the other, every probePeriod.
func probeHealth(ctx context.Context, c *core.Core) {
	client := newProbeClient()
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, b := range c.Backends.Probes() {
				c.Backends.RecordProbe(b.Name(), isHealthy(ctx, client, b.URL()))
			}
		}
	}
}

// newProbeClient returns the client for health probes.
func newProbeClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = backends.MaximumHeadSize
	return &http.Client{Timeout: probeTimeout, Transport: t}
}

// isHealthy reports whether the health endpoint answers with a status below 500.
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

// Done returns a channel that is closed once the part has stopped.
func (p *Part) Done() <-chan struct{} { return p.done }
