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

// Part sets up the identity of the daemon.
type Part struct{ done chan struct{} }

// Name implements daemon.Part.
func (p *Part) Name() string { return "instance" }

// Defaults implements daemon.Part.
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

// Check implements daemon.Part.
func (p *Part) Check(s *settings.Settings) []settings.Fault {
	faults := settings.CheckPresent("instance", "name", s.Instance.Name)
	return append(faults, settings.CheckPresent("instance", "data-centre", s.Instance.DataCentre)...)
}

// Run implements daemon.Part.
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

// newMachine starts at an incarnation taken from the clock, which is above that of an earlier run; should the
// clock have gone back, the members report the earlier record and the machine outbids it.
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

// Done implements daemon.Part.
func (p *Part) Done() <-chan struct{} { return p.done }
