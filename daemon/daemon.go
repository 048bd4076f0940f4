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

// Part is one part of a daemon.
type Part interface {
	// Name returns the name of the part in logs.
	Name() string
	// Defaults fills in the settings that the part owns.
	Defaults(s *settings.Settings)
	// Check returns the faults of the settings that the part owns.
	Check(s *settings.Settings) []settings.Fault
	// Run starts the part and returns once it serves; it ends with the context.
	Run(ctx context.Context, c *core.Core) error
	// Done returns a channel that is closed once the part has ended.
	Done() <-chan struct{}
}

// newParts lists the parts in running order; they are stopped in the reverse order.
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

// Prepare fills in the defaults and returns every fault of the settings.
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

// Daemon is one running daemon; its exported fields are set before Run.
type Daemon struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// Listeners may be given in place of the addresses in the settings.
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener
	// Dialer may be given in place of a net.Dialer.
	Dialer peer.Dialer

	core  *core.Core
	parts []running
}

type running struct {
	part Part
	stop context.CancelFunc
}

// Run starts all parts, serves until the context ends, then drains and leaves.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	d.Stop()
	return nil
}

// Start starts all parts in order.
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
		d.parts = append(d.parts, running{part: p, stop: cancel})
	}
	return nil
}

// Core returns what the parts share, for tests and demos.
func (d *Daemon) Core() *core.Core { return d.core }

// Stop drains the backend servers, tells the other daemons, lets requests in flight finish and ends all parts.
func (d *Daemon) Stop() {
	d.core.Recorder.Record(timeline.Event{Kind: timeline.KindStopping, Subject: d.Settings.Instance.Name})
	d.Logger.Info("daemon: draining", "notice", d.Settings.Drain.Notice, "limit", d.Settings.Drain.Limit)
	d.core.IsDraining.Store(true)
	d.core.Backends.SetDraining(true)
	time.Sleep(d.Settings.Drain.Notice)
	d.core.Node.Leave()
	d.stopParts()
	d.Logger.Info("daemon: stopped")
}

// Kill ends all parts without a drain, as a crash would.
func (d *Daemon) Kill() {
	d.core.IsKilled.Store(true)
	d.stopParts()
}

func (d *Daemon) stopParts() {
	for i := len(d.parts) - 1; i >= 0; i-- {
		d.parts[i].stop()
		<-d.parts[i].part.Done()
	}
	d.parts = nil
}

// InFlight returns the number of requests that hold a slot or wait for one, for the log of a forced stop.
func (d *Daemon) InFlight() int {
	total := 0
	for _, b := range d.core.Backends.Status() {
		total += b.Running + b.Waiting
	}
	return total
}
