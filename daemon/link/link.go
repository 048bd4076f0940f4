package link

import (
	"log/slog"
	"math/rand/v2"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/daemon/work"
	"siskinspar.example/membership"
	"siskinspar.example/timeline"
)

// Link is shared by the control loops of one daemon; its fields are set before use.
type Link struct {
	Roster        *roster.Roster
	Configuration *configuration.Holder
	Pool          *peer.Pool
	Clock         *timeline.Clock
	Recorder      *timeline.Recorder
	Logger        *slog.Logger
	Workers       *work.Pool
}

// Header returns the header of the next message of this daemon.
func (l *Link) Header() peer.Header {
	return peer.Header{From: l.Roster.Self().ID, Stamp: l.Clock.Stamp(), Version: l.Configuration.Version()}
}

// IsLocal reports whether an instance is in the own data centre.
func (l *Link) IsLocal(id membership.ID) bool {
	r, ok := l.Roster.Find(id)
	return ok && r.DataCentre == l.Roster.Self().DataCentre
}

// SomeMembers returns a few random other members of the data centre.
func (l *Link) SomeMembers() []membership.Record {
	const count = 3
	own := l.Roster.Self()
	group := l.Roster.Group(own.DataCentre)
	var others []membership.Record
	for _, i := range rand.Perm(len(group)) {
		if group[i].ID != own.ID && len(others) < count {
			others = append(others, group[i])
		}
	}
	return others
}
