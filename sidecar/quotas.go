package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinspar.example/sidecar/configuration"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/organisation"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/quota/exchange"
)

const (
	// leaseShare is the share of the tolerated excess over a quota that tokens may cause which are leased before a span of
	// time and spent in it.
	leaseShare = 0.8
	// minimumLeaseLifetime is the shortest lifetime of leased tokens: long enough for the way between two daemons.
	minimumLeaseLifetime = 100 * time.Millisecond
	// spareShare is the share of the tolerated slack of a quota by which a bucket is larger than the burst.
	spareShare = 0.2
)

// newQuotas starts the coordinator of quotas, until the context ends, and returns the part that admits requests.
func (s *Sidecar) newQuotas(ctx context.Context) *exchange.Entry {
	t := s.Settings.QuotaTolerance
	lifetime := max(minimumLeaseLifetime, time.Duration(leaseShare*t.Share*float64(t.Window)))
	peers := quotaPeers{s.pool}
	s.coordinator = &exchange.Coordinator{
		Address: s.Settings.Daemons, Organisations: organisations{s.configuration}, Mesh: quotaMesh{s.members, &s.isStopping}, Peers: peers,
		Meter: meter{s.registry}, Logger: s.Logger, Lifetime: lifetime, Spare: spareShare * t.Slack,
	}
	s.coordinator.Run(ctx)
	e := &exchange.Entry{
		Address: s.Settings.Daemons, Local: s.coordinator, Mesh: quotaMesh{s.members, &s.isStopping}, Peers: peers,
		Meter: meter{s.registry}, Logger: s.Logger, Lifetime: lifetime, Tolerance: t,
	}
	e.Run()
	return e
}

// organisations provides the organisations of the configuration in force.
type organisations struct{ configuration *configuration.Holder }

// Organisation implements exchange.Organisations.
func (o organisations) Organisation(name string) *organisation.Organisation {
	if t := o.configuration.Table(); t != nil {
		return t.Organisations().Find(name)
	}
	return nil
}

// quotaMesh knows the other daemons and whether this one stops.
type quotaMesh struct {
	*member.Table
	isStopping *atomic.Bool
}

// IsStopping implements exchange.Mesh.
func (m quotaMesh) IsStopping() bool { return m.isStopping.Load() }

// quotaPeers calls the coordinators of other daemons.
type quotaPeers struct{ pool *peer.Pool }

// LeaseQuota implements exchange.Peers.
func (p quotaPeers) LeaseQuota(ctx context.Context, address string, r message.QuotaRequest) (message.QuotaLease, error) {
	reply := new(message.QuotaLease)
	if err := p.pool.Connection(address, peer.TrafficControl).Call(ctx, peer.ServiceName+".LeaseQuota", &r, reply); err != nil {
		return message.QuotaLease{}, err
	}
	return *reply, nil
}

// TakeOverQuota implements exchange.Peers.
func (p quotaPeers) TakeOverQuota(ctx context.Context, address string, t message.QuotaTakeover) (message.QuotaLevel, error) {
	reply := new(message.QuotaLevel)
	if err := p.pool.Connection(address, peer.TrafficControl).Call(ctx, peer.ServiceName+".TakeOverQuota", &t, reply); err != nil {
		return message.QuotaLevel{}, err
	}
	return *reply, nil
}

// LeaseQuota answers a request of another daemon for tokens of an organisation.
func (v *service) LeaseQuota(r *message.QuotaRequest, reply *message.QuotaLease) error {
	*reply = v.sidecar.coordinator.Lease(context.Background(), *r)
	return nil
}

// TakeOverQuota answers another daemon that is going to coordinate an organisation.
func (v *service) TakeOverQuota(t *message.QuotaTakeover, reply *message.QuotaLevel) error {
	*reply = v.sidecar.coordinator.TakeOver(*t)
	return nil
}

// Add implements exchange.Meter.
func (m meter) Add(counter string) { metrics.GetOrRegisterCounter(counter, m.registry).Inc(1) }
