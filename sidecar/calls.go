package sidecar

import (
	"time"

	"siskinspar.example/sidecar/departure"
	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/message"
)

// service has the methods that other daemons call over net/rpc.
type service struct{ sidecar *Sidecar }

// Probe stores the state of the calling daemon and replies with that of this one.
func (v *service) Probe(p *message.Probe, reply *message.Probe) error {
	v.sidecar.ReceiveProbe(*p)
	v.sidecar.prober.HandleProbe(*p)
	*reply = v.sidecar.Probe(p.Record.Address)
	return nil
}

// Configuration returns the configuration in force as the operator wrote it.
func (v *service) Configuration(_ *message.Empty, reply *message.Document) error {
	*reply = v.sidecar.configuration.Document()
	return nil
}

// Members returns the addresses of all known daemons and of this one.
func (v *service) Members(_ *message.Empty, reply *[]string) error {
	*reply = append(v.sidecar.members.Addresses(), v.sidecar.Settings.Daemons)
	return nil
}

// Reserve waits for a slot of the backend server and returns the granted slot or the reason of the refusal.
func (v *service) Reserve(j *message.Job, reply *message.Grant) error {
	*reply = v.sidecar.owner.Reserve(*j)
	return nil
}

// Call runs a request at the backend server.
func (v *service) Call(c *message.Call, reply *message.Reply) error {
	*reply = v.sidecar.owner.Call(*c)
	return nil
}

// ReportRollout takes the counts of an entry daemon and replies with the roll-outs that this daemon knows.
func (v *service) ReportRollout(r *message.RolloutReport, reply *message.RolloutSteps) error {
	v.sidecar.rollouts.receive(time.Now(), *r)
	reply.Rollouts = v.sidecar.rollouts.messages(time.Now())
	return nil
}

// Resume returns the reply to a call whose connection broke.
func (v *service) Resume(r *message.Resumption, reply *message.Reply) error {
	*reply = v.sidecar.owner.Resume(*r)
	return nil
}

// Withdraw cancels a reservation or a call.
func (v *service) Withdraw(w *message.Withdrawal, _ *message.Empty) error {
	v.sidecar.owner.Withdraw(*w)
	return nil
}

// Probe implements discovery.StateExchange.
func (s *Sidecar) Probe(to string) message.Probe {
	// The age is read before the version, so that it holds for it.
	age := s.freshness.Age(time.Now())
	return message.Probe{
		Age: age, IsAgeKnown: age < discovery.UnknownAge,
		Record: s.record(), Version: s.configuration.Version(), StoreEra: s.storeEra.Newest(), Known: s.members.Len(),
		Crashes: s.quarantine.Recent(time.Now()), Left: s.members.LastDraining(to), Limited: s.members.PreviousLimit(time.Now(), to), ClientRoutes: s.entry.ClientRoutes(),
		Rollouts: s.rollouts.messages(time.Now()),
	}
}

// ReceiveProbe implements discovery.StateExchange.
func (s *Sidecar) ReceiveProbe(p message.Probe) {
	if p.Record.Address == s.Settings.Daemons {
		return
	}
	now := time.Now()
	if unreachable := s.members.UnreachableFor(now, p.Record.Address); unreachable > 0 {
		s.Logger.Info("daemon: another daemon answers again", "daemon", p.Record.Address, "silent-for", unreachable)
	}
	wasStoreDown := s.members.IsStoreDown(p.Record.Address)
	if s.members.Update(now, p.Record) {
		s.Logger.Info("daemon: another daemon or its backend server changed", "daemon", p.Record.Address, "server", p.Record.Server.ID, "state", p.Record.Server.State.String(), "stopping", p.Record.IsStopping)
	}
	if p.Record.IsStoreDown && !wasStoreDown {
		s.suspectStore(now)
	}
	s.storeEra.Record(p.StoreEra)
	s.quarantine.Merge(now, p.Crashes)
	s.entry.MergeClientRoutes(p.ClientRoutes)
	s.rollouts.learn(now, p.Rollouts)
	if p.Left.ID != "" {
		s.owner.RecordDrain(p.Left)
		s.departures.Learn(departure.New(p.Left.ID, p.Left.Born, now))
	}
	if p.Limited.ID != "" {
		s.owner.RecordLimit(p.Limited)
	}
}
