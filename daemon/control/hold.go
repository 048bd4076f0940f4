package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/versionlog"
)

const (
	// holderCount is the number of other members that remember a version before it comes in force in a data centre.
	holderCount = 2
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

// enter puts changes in force that come from outside the data centre, after two of its members hold their version.
//
// So a version that was in force on any daemon of the data centre is known to two others, and a daemon that
// restarts while the store is down finds it unless two of them are lost as well.
func (n *Node) enter(changes []versionlog.Change) error {
	if len(changes) == 0 {
		return nil
	}
	n.hold(changes[len(changes)-1].Version)
	return n.Configuration.Apply(changes)
}

// install puts a whole state in force in the same way as enter.
func (n *Node) install(s versionlog.State) error {
	n.hold(s.Version())
	return n.Configuration.Install(s)
}

// hold asks members of the data centre to remember a version until enough of them do.
func (n *Node) hold(v declaration.Version) {
	if v <= n.Configuration.Version() {
		return
	}
	others := n.holders()
	missing := holderCount
	for missing > 0 && len(others) > 0 {
		asked := others[:min(missing, len(others))]
		others = others[len(asked):]
		ask := iter.Mapper[membership.Record, bool]{MaxGoroutines: holderCount}
		for _, isHeld := range ask.Map(asked, func(r *membership.Record) bool { return n.askHold(*r, v) }) {
			if isHeld {
				missing--
			}
		}
	}
}

// holders returns members of the data centre in random order, as many as may be asked.
func (n *Node) holders() []membership.Record {
	own := n.Roster.Self()
	var others []membership.Record
	for _, r := range n.Roster.Group(own.DataCentre) {
		if r.ID != own.ID && r.Status == membership.StatusAlive {
			others = append(others, r)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), holdAttempts)]
}

func (n *Node) askHold(r membership.Record, v declaration.Version) bool {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	var reply peer.HoldReply
	return n.Pool.Call(ctx, r.PeerAddress, peer.MethodHold, &peer.HoldRequest{Header: n.header(), Version: v}, &reply) == nil
}

// findFloor asks the data centre for the highest version that this daemon may have had in force before a restart.
//
// It is certain only while at most one other member is unsure, and none in a group of fewer than three.
func (n *Node) findFloor() (declaration.Version, bool) {
	for _, r := range n.someMembers() {
		reply, err := n.askConvergence(r.PeerAddress, 0, distribution.Everyone)
		if err != nil {
			continue
		}
		// This daemon is not ready and counts itself as unsure.
		unsure := reply.Unsure - 1
		allowed := 0
		if reply.Answered+unsure > holderCount {
			allowed = 1
		}
		n.Logger.Info("control: floor from peers", "version", reply.Highest, "answered", reply.Answered, "unsure", unsure)
		return reply.Highest, reply.Answered > 0 && unsure <= allowed
	}
	return 0, false
}
