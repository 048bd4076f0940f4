package spread

import (
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

// sendFunc sends a message to a daemon with the scope to which the receiver has to forward it, and reports success.
type sendFunc func(to membership.Record, rest distribution.Scope) bool

// delegateScope divides a scope into delegations and queues one job for each, which sends to the first candidate that
// can be reached.
func (s *Spreader) delegateScope(scope distribution.Scope, send sendFunc) {
	own := s.Roster.Self()
	for _, d := range distribution.DelegateMembers(s.Roster.ServingIn(own.DataCentre), own.ID, scope.Members) {
		s.Workers.Try(func() { delegate(d, send) })
	}
	if !scope.HasCentres {
		return
	}
	for _, d := range distribution.DelegateCentres(s.reachableDataCentres(), own.DataCentre, scope.Centres) {
		s.Workers.Try(func() { s.delegateDataCentres(d, send) })
	}
}

// delegate sends to the first member of an interval that can be reached, and makes it responsible for the rest.
func delegate(d distribution.Delegation, send sendFunc) {
	for _, candidate := range d.Candidates() {
		if send(candidate, distribution.Scope{Members: d.Interval()}) {
			return
		}
	}
}

// delegateDataCentres sends to a relay of the first data centre that can be reached, and makes that relay responsible
// for all members of its data centre and for the rest of the interval of data centres.
func (s *Spreader) delegateDataCentres(d distribution.Delegation, send sendFunc) {
	rest := distribution.Scope{Members: distribution.FullInterval, Centres: d.Interval(), HasCentres: true}
	for _, centre := range d.Candidates() {
		for _, relay := range s.Roster.Relays(centre.DataCentre) {
			if send(relay, rest) {
				return
			}
		}
	}
}

// reachableDataCentres returns the data centres that are not marked as lost, the own one included.
func (s *Spreader) reachableDataCentres() []membership.DataCentre {
	var reachable []membership.DataCentre
	for _, d := range s.Roster.DataCentres() {
		if !s.Roster.IsLost(d) {
			reachable = append(reachable, d)
		}
	}
	return reachable
}
