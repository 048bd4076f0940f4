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
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog/record"
)

// Core is filled in by the parts in their running order.
type Core struct {
	Settings      *settings.Settings
	Logger        *slog.Logger
	Registry      metrics.Registry
	Clock         *timeline.Clock
	Recorder      *timeline.Recorder
	Configuration *configuration.Holder
	Roster        *roster.Roster
	Log           *record.Log
	Backends      *backends.Table
	Identity      *peer.Identity
	Pool          *peer.Pool
	Traffic       *peer.Traffic
	Node          *control.Node
	Claimer       *claimer.Claimer
	Guard         *crash.Guard

	// The listeners are given by tests and demos that choose the ports; otherwise the parts open them.
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener

	// Dialer opens connections to other daemons; tests cut it to part them.
	Dialer peer.Dialer

	IsDraining atomic.Bool
	// IsKilled makes the listeners cut the requests in flight when they stop.
	IsKilled atomic.Bool
}

// Meter counts calls of one kind in the metrics registry.
type Meter struct {
	Registry metrics.Registry
	Prefix   string
}

// CountHedge implements the meter of the entry handler.
func (m Meter) CountHedge() {
	metrics.GetOrRegisterCounter(m.Prefix+".hedged", m.Registry).Inc(1)
}

// Count implements the meters of the entry and owner handlers.
func (m Meter) Count(o outcome.Outcome, r outcome.Reason) {
	name := m.Prefix + "." + string(o)
	if r != "" {
		name += "." + string(r)
	}
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}
