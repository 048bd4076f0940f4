package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/versionlog"
)

const (
	// HolderCount is the number of other members that remember a version before it comes in force in a data centre.
	HolderCount = 2
	// holdTimeout bounds the wait for one of them.
	holdTimeout = 300 * time.Millisecond
	// holdAttempts bounds the members that are asked.
	holdAttempts = 6
)

// heldVersion is the highest version that this daemon was asked to hold.
type heldVersion struct {
	mu      sync.Mutex
	highest declaration.Version
}

func (h *heldVersion) raise(v declaration.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highest = max(h.highest, v)
}

func (h *heldVersion) version() declaration.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highest
}

// Enter puts changes in force that come from outside the data centre, after two of its members hold their version.
//
// So a version that was in force on any daemon of the data centre is known to two others, and a daemon that
// restarts while the store is down finds it unless two of them are lost as well.
func (s *Spreader) Enter(changes []versionlog.Change) error {
	if len(changes) == 0 {
		return nil
	}
	s.askHolders(changes[len(changes)-1].Version)
	return s.Configuration.Apply(changes)
}

// Install puts a whole state in force in the same way as Enter.
func (s *Spreader) Install(state versionlog.State) error {
	s.askHolders(state.Version())
	return s.Configuration.Install(state)
}

// askHolders asks members of the data centre to remember a version until enough of them do.
func (s *Spreader) askHolders(v declaration.Version) {
	if v <= s.Configuration.Version() {
		return
	}
	others := s.holders()
	missing := HolderCount
	for missing > 0 && len(others) > 0 {
		asked := others[:min(missing, len(others))]
		others = others[len(asked):]
		ask := iter.Mapper[membership.Record, bool]{MaxGoroutines: HolderCount}
		for _, isHeld := range ask.Map(asked, func(r *membership.Record) bool { return s.askHold(*r, v) }) {
			if isHeld {
				missing--
			}
		}
	}
}

// holders returns members of the data centre in random order, as many as may be asked.
func (s *Spreader) holders() []membership.Record {
	own := s.Roster.Self()
	var others []membership.Record
	for _, r := range s.Roster.Group(own.DataCentre) {
		if r.ID != own.ID && r.Status == membership.StatusAlive {
			others = append(others, r)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), holdAttempts)]
}

func (s *Spreader) askHold(r membership.Record, v declaration.Version) bool {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	var reply peer.HoldReply
	return s.Pool.Call(ctx, r.PeerAddress, peer.MethodHold, &peer.HoldRequest{Header: s.Header(), Version: v}, &reply) == nil
}
