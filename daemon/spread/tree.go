package spread

import (
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

// send hands a message to a daemon together with the scope that it becomes responsible for, and reports success.
type send func(to membership.Record, rest distribution.Scope) bool

// each divides a scope over the first daemons that can be reached.
func (s *Spreader) each(scope distribution.Scope, send send) {
	own := s.Roster.Self()
	for _, d := range distribution.Spread(s.Roster.Group(own.DataCentre), own.ID, scope.Members) {
		s.Workers.Try(func() { delegate(d, send) })
	}
	if !scope.HasCentres {
		return
	}
	for _, d := range distribution.SpreadCentres(s.openCentres(), own.DataCentre, scope.Centres) {
		s.Workers.Try(func() { s.delegateCentres(d, send) })
	}
}

func delegate(d distribution.Delegation, send send) {
	for _, candidate := range d.Candidates() {
		if send(candidate, distribution.Scope{Members: d.Interval()}) {
			return
		}
	}
}

// delegateCentres hands an interval of data centres to a relay of the first one that can be reached.
func (s *Spreader) delegateCentres(d distribution.Delegation, send send) {
	rest := distribution.Scope{Members: distribution.Everyone, Centres: d.Interval(), HasCentres: true}
	for _, centre := range d.Candidates() {
		for _, relay := range s.Roster.Relays(centre.DataCentre) {
			if send(relay, rest) {
				return
			}
		}
	}
}

// openCentres returns the data centres that are not lost.
func (s *Spreader) openCentres() []membership.DataCentre {
	var open []membership.DataCentre
	for _, d := range s.Roster.DataCentres() {
		if !s.Roster.IsLost(d) {
			open = append(open, d)
		}
	}
	return open
}
