package spread

import (
	"context"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/request/quarantine"
)

// SpreadNotice passes a notice on to all daemons: down the tree of the own data centre, and to a relay of each other one.
func (s *Spreader) SpreadNotice(notice quarantine.Notice) {
	s.ForwardNotice(notice, distribution.Everyone)
	own := s.Roster.Self()
	for _, d := range s.Roster.DataCentres() {
		if d != own.DataCentre && !s.Roster.IsLost(d) {
			s.Workers.Try(func() { s.sendNotice(s.Roster.Relays(d), notice, distribution.Everyone) })
		}
	}
}

// ForwardNotice passes a notice on to the members of an interval.
func (s *Spreader) ForwardNotice(notice quarantine.Notice, i distribution.Interval) {
	own := s.Roster.Self()
	for _, d := range distribution.Spread(s.Roster.Group(own.DataCentre), own.ID, i) {
		s.Workers.Try(func() { s.sendNotice(d.Candidates(), notice, d.Interval()) })
	}
}

// sendNotice hands a notice to the first candidate that answers.
func (s *Spreader) sendNotice(candidates []membership.Record, notice quarantine.Notice, i distribution.Interval) {
	for _, r := range candidates {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		var reply peer.NotifyReply
		err := s.Pool.Call(ctx, r.PeerAddress, peer.MethodNotify, &peer.NotifyRequest{Header: s.Header(), Notice: notice, Interval: i}, &reply)
		cancel()
		if err == nil {
			return
		}
	}
}
