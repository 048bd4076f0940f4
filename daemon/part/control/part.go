package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"siskinspar.example/daemon/claimer"
	"siskinspar.example/daemon/control"
	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/crash"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/daemon/shared"
	"siskinspar.example/daemon/storage"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

// Part runs the control node, the removal of expired claims and the return of lost ones.
type Part struct{ done <-chan struct{} }

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "control" }

// Defaults sets the mean time between polls of the store.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Control.PollPeriod, distribution.DefaultTiming.Poll)
}

// minimumProbePeriod is the shortest probe period that the settings may name; shorter ones would overload the peers.
const minimumProbePeriod = 50 * time.Millisecond

// Check returns a fault for a probe period that is too short.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	if s.Control.ProbePeriod >= minimumProbePeriod {
		return nil
	}
	return []settings.Fault{settings.NewFault("control", "probe-period", "must be at least 50ms")}
}

// Run creates the claimer, the guard and the control node, connects them and starts their loops.
func (p *Part) Run(ctx context.Context, c *core.Core) error {
	timing := distribution.DefaultTiming
	timing.Poll = c.Settings.Control.PollPeriod
	c.Claimer = &claimer.Claimer{
		Self: c.Settings.Instance.Name, Table: c.VersionLog.Table, Objects: c.VersionLog.Objects, Timeout: c.Settings.Platform.Timeout, Era: c.StoreEra,
	}
	c.CrashGuard = &crash.Guard{Instance: c.Settings.Instance.Name, Recorder: c.Recorder}
	c.ControlNode = &control.Node{
		Claims:  c.Claimer,
		Notices: c.CrashGuard,
		State: &shared.State{
			Roster: c.Roster, Configuration: c.Configuration, Pool: c.Pool, Clock: c.Clock, Recorder: c.Recorder, Logger: c.Logger, StoreEra: c.StoreEra,
		},
		Storage:      &storage.Storage{Log: c.VersionLog, Timeout: c.Settings.Platform.Timeout, Recorder: c.Recorder, Logger: c.Logger},
		Seeds:        c.Settings.Peers.Seeds,
		Membership:   membership.Timing{Period: c.Settings.Control.ProbePeriod},
		Distribution: timing,
	}
	c.Claimer.HolderClient = c.ControlNode
	c.CrashGuard.Broadcaster = c.ControlNode
	c.ControlNode.Start(ctx)
	done := make(chan struct{})
	p.done = done
	var group conc.WaitGroup
	group.Go(func() { c.Claimer.RunSweeps(ctx, c.Logger) })
	group.Go(func() { c.Claimer.RunRestores(ctx, c.Logger) })
	group.Go(func() { <-c.ControlNode.Done() })
	go func() {
		group.Wait()
		close(done)
	}()
	return nil
}

// Done returns a channel that is closed once the loops have stopped.
func (p *Part) Done() <-chan struct{} { return p.done }
