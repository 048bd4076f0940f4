package shared

import (
	"log/slog"
	"math/rand/v2"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/daemon/work"
	"siskinspar.example/membership"
	"siskinspar.example/store"
	"siskinspar.example/timeline"
)

// State holds the state and clients that the control loops of one daemon share; its fields are set before use.
type State struct {
	Roster        *roster.Roster
	Configuration *configuration.Holder
	Pool          *peer.Pool
	Clock         *timeline.Clock
	Recorder      *timeline.Recorder
	Logger        *slog.Logger
	Workers       *work.Pool
	// StoreEra is the newest era of the store that this daemon knows of.
	StoreEra *store.Era
}

// Header returns the header for a message of this daemon: its identity, a fresh time stamp, its configuration version
// and the era of the store.
func (s *State) Header() peer.Header {
	return peer.Header{From: s.Roster.Self().ID, Stamp: s.Clock.Stamp(), Version: s.Configuration.Version(), StoreEra: s.StoreEra.Newest()}
}

// IsLocal reports whether an instance is known and in the same data centre as this daemon.
func (s *State) IsLocal(id membership.ID) bool {
	r, ok := s.Roster.Find(id)
	return ok && r.DataCentre == s.Roster.Self().DataCentre
}

// RandomMembers returns at most three other members of this daemon's data centre, chosen at random.
func (s *State) RandomMembers() []membership.Record {
	const maximumMembers = 3
	self := s.Roster.Self()
	members := s.Roster.ServingIn(self.DataCentre)
	var others []membership.Record
	for _, i := range rand.Perm(len(members)) {
		if members[i].ID != self.ID && len(others) < maximumMembers {
			others = append(others, members[i])
		}
	}
	return others
}
