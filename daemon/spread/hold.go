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
	// RequiredHolds is the number of other members that are to hold a version before it comes into force in a data
	// centre.
	RequiredHolds = 2
	// holdTimeout bounds one hold request, the call that asks a member to hold a version.
	holdTimeout = 300 * time.Millisecond
	// holdAttempts limits the members that are asked to hold one version.
	holdAttempts = 6
)

// heldVersion is the highest version that a member asked this daemon to hold.
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

// ApplyAfterHold puts changes in force that come from outside the data centre, after it asked RequiredHolds of the
// other members to hold their version. It puts them in force even when fewer members could be reached.
//
// With both holds, two other members know every version that was in force on a daemon of the data centre. A daemon that
// restarts while the store is down learns the version from them, unless both are lost as well.
func (s *Spreader) ApplyAfterHold(changes []versionlog.Change) error {
	if len(changes) == 0 {
		return nil
	}
	s.requestHolds(changes[len(changes)-1].Version)
	return s.Configuration.Apply(changes)
}

// InstallAfterHold puts a whole state in force, after it asked other members to hold its version as in ApplyAfterHold.
func (s *Spreader) InstallAfterHold(state versionlog.State) error {
	s.requestHolds(state.Version())
	return s.Configuration.Install(state)
}

// requestHolds asks members of the data centre to hold version v until RequiredHolds of them have confirmed it, or no
// candidate is left. It asks nobody when v is not newer than the version in force.
func (s *Spreader) requestHolds(v declaration.Version) {
	if v <= s.Configuration.Version() {
		return
	}
	candidates := s.holdCandidates()
	missing := RequiredHolds
	for missing > 0 && len(candidates) > 0 {
		asked := candidates[:min(missing, len(candidates))]
		candidates = candidates[len(asked):]
		mapper := iter.Mapper[membership.Record, bool]{MaxGoroutines: RequiredHolds}
		for _, isHeld := range mapper.Map(asked, func(r *membership.Record) bool { return s.requestHold(*r, v) }) {
			if isHeld {
				missing--
			}
		}
	}
}

// holdCandidates returns at most holdAttempts other live members of the data centre, in random order.
func (s *Spreader) holdCandidates() []membership.Record {
	own := s.Roster.Self()
	var candidates []membership.Record
	for _, r := range s.Roster.ServingIn(own.DataCentre) {
		if r.ID != own.ID && r.Status == membership.StatusAlive {
			candidates = append(candidates, r)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), holdAttempts)]
}

// requestHold asks one member to hold version v and reports whether it confirmed that.
func (s *Spreader) requestHold(r membership.Record, v declaration.Version) bool {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	var reply peer.HoldReply
	return s.Pool.Call(ctx, r.PeerAddress, peer.MethodHold, &peer.HoldRequest{Header: s.Header(), Version: v}, &reply) == nil
}
