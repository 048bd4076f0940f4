package store

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/platform/dynamo"
	"siskinspar.example/platform/objects"
	"siskinspar.example/versionlog/record"
)

// Part connects to the platform's table and object store.
type Part struct{ done chan struct{} }

// Name implements daemon.Part.
func (p *Part) Name() string { return "store" }

// Defaults implements daemon.Part.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Platform.Table, "siskinspar")
	settings.Default(&s.Platform.Bucket, "siskinspar")
	settings.Default(&s.Platform.Region, "local")
	settings.Default(&s.Platform.ObjectEndpoint, s.Platform.TableEndpoint)
	settings.Default(&s.Platform.Timeout, 2*time.Second)
}

// Check implements daemon.Part.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	faults := settings.CheckEndpoint("platform", "table-endpoint", s.Platform.TableEndpoint)
	faults = append(faults, settings.CheckEndpoint("platform", "object-endpoint", s.Platform.ObjectEndpoint)...)
	faults = append(faults, settings.CheckPresent("platform", "access-key", s.Platform.AccessKey)...)
	return append(faults, settings.CheckPresent("platform", "secret-key", s.Platform.SecretKey)...)
}

// connections bounds the connections to the platform.
const connections = 8

// Run implements daemon.Part.
func (p *Part) Run(_ context.Context, c *core.Core) error {
	p.done = make(chan struct{})
	close(p.done)
	o := c.Settings.Platform
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}
	c.Log = &record.Log{
		Table: dynamo.New(dynamo.Options{
			Endpoint: o.TableEndpoint, Region: o.Region, AccessKey: o.AccessKey, SecretKey: o.SecretKey, Table: o.Table, Client: client,
		}),
		Objects: objects.New(objects.Options{
			Endpoint: o.ObjectEndpoint, Region: o.Region, AccessKey: o.AccessKey, SecretKey: o.SecretKey, Bucket: o.Bucket, Client: client,
		}),
	}
	return nil
}

// Done implements daemon.Part.
func (p *Part) Done() <-chan struct{} { return p.done }
