package core

import (
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"siskinspar.example/daemon/backends"
	"siskinspar.example/daemon/claimer"
	"siskinspar.example/daemon/configuration"
	"siskinspar.example/daemon/control"
	"siskinspar.example/daemon/crash"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/request/outcome"
	"siskinspar.example/store"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog/record"
)

// Core holds the objects that the parts of one daemon share.
//
// The daemon sets Settings, Logger, Registry, the listeners and Dialer; each part sets the objects that it creates
// when it starts, for the parts that start after it.
type Core struct {
	Settings      *settings.Settings
	Logger        *slog.Logger
	Registry      metrics.Registry
	Clock         *timeline.Clock
	Recorder      *timeline.Recorder
	Configuration *configuration.Holder
	Roster        *roster.Roster
	VersionLog    *record.Log
	StoreEra      *store.Era
	Backends      *backends.Table
	Identity      *peer.Identity
	Pool          *peer.Pool
	Traffic       *peer.Traffic
	ControlNode   *control.Node
	Claimer       *claimer.Claimer
	CrashGuard    *crash.Guard

	// CallerListener, PeerListener and OperatorListener are set by tests and demos that choose the ports; the parts
	// open those that are nil at the addresses in the settings.
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener

	// Dialer opens connections to other daemons; tests replace it to simulate network partitions.
	Dialer peer.Dialer

	// IsDraining is set while the backend servers beside this daemon drain.
	IsDraining atomic.Bool
	// IsKilled makes the listeners close the connections of requests in flight when they stop.
	IsKilled atomic.Bool
}

// Meter counts the outcomes of requests in the metrics registry.
type Meter struct {
	// Registry holds the counters.
	Registry metrics.Registry
	// Prefix starts the name of each counter, such as "entry".
	Prefix string
}

// CountHedge increments the counter PREFIX.hedged of hedged requests.
func (m Meter) CountHedge() {
	metrics.GetOrRegisterCounter(m.Prefix+".hedged", m.Registry).Inc(1)
}

// Count increments the counter PREFIX.OUTCOME.REASON, or PREFIX.OUTCOME when there is no reason.
func (m Meter) Count(o outcome.Outcome, r outcome.Reason) {
	name := m.Prefix + "." + string(o)
	if r != "" {
		name += "." + string(r)
	}
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}
