package daemon

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/part/backendservers"
	"siskinspar.example/daemon/part/callers"
	"siskinspar.example/daemon/part/connections"
	"siskinspar.example/daemon/part/control"
	"siskinspar.example/daemon/part/instance"
	"siskinspar.example/daemon/part/operators"
	"siskinspar.example/daemon/part/peers"
	"siskinspar.example/daemon/part/store"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/timeline"
)

// Part is a component of a daemon with its own settings and lifetime.
type Part interface {
	// Name returns the name of the part in error messages.
	Name() string
	// Defaults sets those of the part's settings that the settings file leaves out.
	Defaults(s *settings.Settings)
	// Check returns the faults of the part's settings.
	Check(s *settings.Settings) []settings.Fault
	// Run starts the part and returns once it works, or an error; the part stops when the context ends.
	Run(ctx context.Context, c *core.Core) error
	// Done returns a channel that is closed once the part has stopped; Run must have succeeded.
	Done() <-chan struct{}
}

// newParts returns the parts in starting order, as later ones use objects of earlier ones; they stop in reverse order.
func newParts() []Part {
	return []Part{
		&instance.Part{},
		&store.Part{},
		&backendservers.Part{},
		&connections.Part{},
		&control.Part{},
		&peers.Part{},
		&operators.Part{},
		&callers.Part{},
	}
}

// Prepare sets the defaults of all parts and returns every fault of the settings.
func Prepare(s *settings.Settings) []settings.Fault {
	var faults []settings.Fault
	parts := newParts()
	settings.Default(&s.Drain.Notice, 2*time.Second)
	settings.Default(&s.Drain.Limit, 30*time.Second)
	for _, p := range parts {
		p.Defaults(s)
	}
	for _, p := range parts {
		faults = append(faults, p.Check(s)...)
	}
	return faults
}

// Daemon is one daemon; its exported fields are set before Run or Start.
type Daemon struct {
	// Settings are the settings after Prepare.
	Settings *settings.Settings
	Logger   *slog.Logger
	// CallerListener, PeerListener and OperatorListener replace, when set, the addresses in the settings.
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener
	// Dialer opens connections to other daemons; nil stands for a net.Dialer.
	Dialer peer.Dialer

	core  *core.Core
	parts []runningPart
}

// runningPart is a started part with the function that stops it.
type runningPart struct {
	part Part
	stop context.CancelFunc
}

// Run starts all parts and stops them once the context ends; it returns an error when a part can't start.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	d.Stop()
	return nil
}

// Start starts all parts in order; when one fails, it stops those before it and returns the error.
func (d *Daemon) Start() error {
	d.core = &core.Core{
		Settings: d.Settings, Logger: d.Logger, Registry: metrics.NewRegistry(),
		CallerListener: d.CallerListener, PeerListener: d.PeerListener, OperatorListener: d.OperatorListener, Dialer: d.Dialer,
	}
	if d.Dialer == nil {
		d.core.Dialer = &net.Dialer{}
	}
	for _, p := range newParts() {
		ctx, cancel := context.WithCancel(context.Background())
		if err := p.Run(ctx, d.core); err != nil {
			cancel()
			d.stopParts()
			return eris.Wrapf(err, "start part %s", p.Name())
		}
		d.parts = append(d.parts, runningPart{part: p, stop: cancel})
	}
	return nil
}

// Core returns the objects that the parts share, for tests and demos, or nil before Start.
func (d *Daemon) Core() *core.Core { return d.core }

// Stop shuts the daemon down gracefully: it announces the drain of the backend servers, waits for
// Drain.Notice so that other daemons learn of it, leaves the membership and stops all parts.
//
// Each listener gives its requests in flight up to Drain.Limit to finish.
func (d *Daemon) Stop() {
	d.core.Recorder.Record(timeline.Event{Kind: timeline.KindStopping, Subject: d.Settings.Instance.Name})
	d.Logger.Info("daemon: draining", "notice", d.Settings.Drain.Notice, "limit", d.Settings.Drain.Limit)
	d.core.IsDraining.Store(true)
	d.core.Backends.SetDraining(true)
	time.Sleep(d.Settings.Drain.Notice)
	d.core.ControlNode.Leave()
	d.stopParts()
	d.Logger.Info("daemon: stopped")
}

// Kill stops all parts without a drain and closes the connections of requests in flight, as a crash would.
func (d *Daemon) Kill() {
	d.core.IsKilled.Store(true)
	d.stopParts()
}

// stopParts stops the started parts in reverse order of their start, and waits for each before it stops another.
func (d *Daemon) stopParts() {
	for i := len(d.parts) - 1; i >= 0; i-- {
		d.parts[i].stop()
		<-d.parts[i].part.Done()
	}
	d.parts = nil
}

// InFlight returns the number of requests that hold a slot of a backend server beside this daemon or wait for one;
// a forced stop logs it.
func (d *Daemon) InFlight() int {
	total := 0
	for _, b := range d.core.Backends.Status() {
		total += b.Running + b.Waiting
	}
	return total
}
