package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/timeline"
)

// Part creates the objects that depend on the identity of the daemon.
type Part struct{ done chan struct{} }

// Name returns the name of the part in error messages.
func (p *Part) Name() string { return "instance" }

// Defaults sets the log level, the probe period, the suspicion time and the labels data-centre and instance.
func (p *Part) Defaults(s *settings.Settings) {
	settings.Default(&s.Log.Level, "info")
	settings.Default(&s.Control.ProbePeriod, membership.DefaultTiming.Period)
	settings.Default(&s.Control.Suspicion, membership.DefaultTiming.Suspicion)
	if s.Instance.Labels == nil {
		s.Instance.Labels = declaration.Labels{}
	}
	s.Instance.Labels["data-centre"] = s.Instance.DataCentre
	s.Instance.Labels["instance"] = s.Instance.Name
}

// Check returns a fault for a missing name or data centre.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	faults := settings.CheckPresent("instance", "name", s.Instance.Name)
	return append(faults, settings.CheckPresent("instance", "data-centre", s.Instance.DataCentre)...)
}

// Run creates the clock, the recorder, the configuration holder and the roster, and records the start event.
func (p *Part) Run(_ context.Context, c *core.Core) error {
	p.done = make(chan struct{})
	close(p.done)
	c.Clock = &timeline.Clock{}
	c.Recorder = &timeline.Recorder{Instance: c.Settings.Instance.Name, Clock: c.Clock}
	c.Configuration = &configuration.Holder{Labels: c.Settings.Instance.Labels, Recorder: c.Recorder}
	c.Roster = &roster.Roster{Machine: newMachine(c.Settings), Recorder: c.Recorder}
	c.Recorder.Record(timeline.Event{Kind: timeline.KindStarted, Subject: c.Settings.Instance.Name, Detail: c.Settings.Instance.DataCentre})
	return nil
}

// newMachine returns the membership state machine of this daemon.
//
// The first incarnation is the wall clock in milliseconds, so that it exceeds that of an earlier run. If the clock was
// set back since, the members report the earlier record and the machine replaces it by one with a higher incarnation.
func newMachine(s *settings.Settings) *membership.Machine {
	timing := membership.DefaultTiming
	timing.Period = s.Control.ProbePeriod
	timing.Suspicion = s.Control.Suspicion
	self := membership.Record{
		ID:              membership.ID(s.Instance.Name),
		DataCentre:      membership.DataCentre(s.Instance.DataCentre),
		PeerAddress:     s.Peers.Advertise,
		OperatorAddress: s.Operators.Advertise,
		Labels:          membership.NewLabels(s.Instance.Labels),
		Incarnation:     uint64(time.Now().UnixMilli()),
	}
	return membership.NewMachine(self, timing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Done returns a closed channel, since nothing runs after Run.
func (p *Part) Done() <-chan struct{} { return p.done }
