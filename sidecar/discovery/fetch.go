package discovery

import (
	"context"
	"errors"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/route"
)

const (
	// fetchTimeout limits the call that fetches the configuration or the list of daemons from another daemon.
	fetchTimeout = 1500 * time.Millisecond
	// maximumFetches is the number of fetches of the configuration at once, from the own data centre and from others.
	maximumFetches = 2
	// fetchDelay gives the relays of the own data centre time to deliver a new configuration before a daemon of another
	// one is asked for it.
	fetchDelay = 500 * time.Millisecond
)

// recordAge records that the configuration in force here was the newest when the one of another daemon was. The age in the
// reply counts from the start of the probe, since the reply may have been under way for long.
func (p *Prober) recordAge(started time.Time, reply message.Probe) {
	if reply.IsAgeKnown && reply.Version <= p.Configuration.Version() {
		p.Freshness.Record(started.Add(-reply.Age))
	}
}

// catchUp fetches the configuration from a daemon with a newer one, and the list of daemons from one that knows more.
func (p *Prober) catchUp(ctx context.Context, address string, reply message.Probe) {
	if reply.Version > p.Configuration.Version() {
		p.fetchNewer(ctx, reply.Record, reply.Version)
	}
	if reply.Known > p.Members.Len() {
		p.fetchMembers(ctx, address)
	}
}

// fetchNewer fetches a configuration unless maximumFetches are in progress. One from another data centre is fetched only
// if no daemon of the own one delivers it within fetchDelay.
func (p *Prober) fetchNewer(ctx context.Context, from member.Record, v route.Version) {
	isNear := from.DataCentre == p.DataCentre
	if !p.beginFetch(isNear) {
		return
	}
	defer p.endFetch(isNear)
	if !isNear && p.Configuration.Version() > 0 && (p.IsHurried == nil || !p.IsHurried()) {
		sleep(ctx, fetchDelay)
	}
	if p.Configuration.Version() < v && ctx.Err() == nil {
		p.fetchConfiguration(ctx, from.Address)
	}
}

// beginFetch reports whether another fetch may begin, and counts it.
func (p *Prober) beginFetch(isNear bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching[isNear] >= maximumFetches {
		return false
	}
	p.fetching[isNear]++
	return true
}

func (p *Prober) endFetch(isNear bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching[isNear]--
}

func (p *Prober) fetchConfiguration(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var document message.Document
	if err := p.Pool.Connection(address, peer.TrafficControl).Call(callCtx, peer.ServiceName+".Configuration", &message.Empty{}, &document); err != nil {
		p.Logger.Warn("discovery: fetch of the configuration failed", "daemon", address, "error", err)
		if errors.Is(callCtx.Err(), context.DeadlineExceeded) {
			// The probe closes the connection if it is silent, and its reply leads to another fetch.
			p.startProbe(ctx, address, true)
		}
		return
	}
	content, err := document.Content()
	if err != nil {
		p.Logger.Warn("discovery: the configuration of another daemon can't be read", "daemon", address, "error", err)
		return
	}
	p.Configuration.Install(content, address)
}

func (p *Prober) fetchMembers(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var addresses []string
	if err := p.Pool.Connection(address, peer.TrafficControl).Call(callCtx, peer.ServiceName+".Members", &message.Empty{}, &addresses); err != nil {
		p.Logger.Warn("discovery: fetch of the list of daemons failed", "daemon", address, "error", err)
		return
	}
	for _, a := range addresses {
		if p.Members.Add(a, "") {
			p.Logger.Info("discovery: daemon found", "daemon", a, "through", address)
		}
	}
}
