package convergence

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/shared"
	"siskinspar.example/daemon/spread"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

// callTimeout bounds one call that asks a member to count an interval.
const callTimeout = 2 * time.Second

// LocalState gives the state of this daemon itself.
type LocalState interface {
	// IsReady reports whether the daemon has a confirmed configuration.
	IsReady() bool
	// Held returns the highest version that a member asked the daemon to hold, as defined in package spread, or 0.
	Held() declaration.Version
}

// Counter counts the daemons that have a version in force, by calls to them; its fields are set before use.
type Counter struct {
	*shared.State
	Local LocalState
}

// CountInterval counts the members of an interval of the own data centre that have version v in force, this daemon
// included. It delegates parts of the interval to members, which count them in the same way.
func (c *Counter) CountInterval(v declaration.Version, i distribution.Interval) peer.ConvergeReply {
	total := c.countSelf(v)
	own := c.Roster.Self()
	delegations := distribution.DelegateMembers(c.Roster.ServingIn(own.DataCentre), own.ID, i)
	mapper := iter.Mapper[distribution.Delegation, peer.ConvergeReply]{MaxGoroutines: distribution.FanOut}
	for _, answer := range mapper.Map(delegations, func(d *distribution.Delegation) peer.ConvergeReply { return c.countDelegation(v, *d) }) {
		total.Add(answer)
	}
	return total
}

// countSelf returns the counts for this daemon alone. It is unsure until it is ready, since its version may then be
// older than before a restart.
func (c *Counter) countSelf(v declaration.Version) peer.ConvergeReply {
	var own peer.ConvergeReply
	if c.Configuration.Version() >= v {
		own.InForce = 1
	} else {
		own.Lagging = []membership.ID{c.Roster.Self().ID}
	}
	if !c.Local.IsReady() {
		own.Unsure = 1
		return own
	}
	own.Answered = 1
	own.Highest = max(c.Configuration.Version(), c.Local.Held())
	return own
}

// CountDead returns the number of dead members of the data centre that are not purged yet, without the requester
// itself.
func (c *Counter) CountDead(requester membership.ID) int {
	count := 0
	c.Roster.Update(func(m *membership.Machine) {
		for _, r := range m.DeadMembers(m.Self().DataCentre) {
			if r.ID != requester {
				count++
			}
		}
	})
	return count
}

// countDelegation asks the candidates of a delegation in turn until one counts the interval; those that don't answer
// count as unreachable and unsure.
func (c *Counter) countDelegation(v declaration.Version, d distribution.Delegation) peer.ConvergeReply {
	var unanswered peer.ConvergeReply
	for _, candidate := range d.Candidates() {
		reply, err := c.requestCounts(candidate.PeerAddress, v, d.Interval())
		if err == nil {
			reply.Add(unanswered)
			return reply
		}
		unanswered.Add(peer.ConvergeReply{Unreachable: []membership.ID{candidate.ID}, Unsure: 1})
	}
	return unanswered
}

// requestCounts asks the daemon at a peer address to count an interval of its data centre.
func (c *Counter) requestCounts(address string, v declaration.Version, i distribution.Interval) (peer.ConvergeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply peer.ConvergeReply
	err := c.Pool.Call(ctx, address, peer.MethodConverge, &peer.ConvergeRequest{Header: c.Header(), Version: v, Interval: i}, &reply)
	return reply, err
}

// Count counts the daemons of all data centres that have version v in force.
func (c *Counter) Count(v declaration.Version) peer.ConvergeReply {
	var total peer.ConvergeReply
	centres := c.Roster.DataCentres()
	mapper := iter.Mapper[membership.DataCentre, peer.ConvergeReply]{MaxGoroutines: max(1, len(centres))}
	for _, answer := range mapper.Map(centres, func(d *membership.DataCentre) peer.ConvergeReply { return c.countDataCentre(v, *d) }) {
		total.Add(answer)
	}
	return total
}

// countDataCentre asks a relay of a data centre to count its members. When the data centre is lost or no relay answers,
// all of its members count as unreachable and unsure.
func (c *Counter) countDataCentre(v declaration.Version, d membership.DataCentre) peer.ConvergeReply {
	if d == c.Roster.Self().DataCentre {
		return c.CountInterval(v, distribution.FullInterval)
	}
	group := c.Roster.ServingIn(d)
	relays := distribution.Relays(group, d)
	if c.Roster.IsLost(d) {
		relays = nil
	}
	for _, relay := range relays {
		if reply, err := c.requestCounts(relay.PeerAddress, v, distribution.FullInterval); err == nil {
			return reply
		}
	}
	var unanswered peer.ConvergeReply
	for _, r := range group {
		unanswered.Add(peer.ConvergeReply{Unreachable: []membership.ID{r.ID}, Unsure: 1})
	}
	return unanswered
}

// FindFloor asks the data centre, through one member, for the highest version that this daemon may have had in force
// before a restart.
//
// It returns true when that version is certain: a member answered, and at most one other member is unsure. Before a
// version comes into force in this data centre, the member that brings it asks spread.RequiredHolds (2) others to hold
// it. If both confirm, three members know the version. This daemon may be one of them, so at least two others know it.
// If at most one other member is unsure, one of these two has answered.
//
// With at most spread.RequiredHolds other members, none may be unsure: there was no further member to ask in place of
// one that didn't confirm, so a single other member may know the version.
func (c *Counter) FindFloor() (declaration.Version, bool) {
	for _, r := range c.RandomMembers() {
		// Every member counts as having version 0 in force; only Highest, Answered and Unsure of the reply are used.
		reply, err := c.requestCounts(r.PeerAddress, 0, distribution.FullInterval)
		if err != nil {
			continue
		}
		// This daemon is not ready, so the reply counts it as unsure.
		unsure := reply.Unsure - 1
		allowedUnsure := 0
		if reply.Answered+unsure > spread.RequiredHolds {
			allowedUnsure = 1
		}
		c.Logger.Info("convergence: floor from peers", "version", reply.Highest, "answered", reply.Answered, "unsure", unsure)
		return reply.Highest, reply.Answered > 0 && unsure <= allowedUnsure
	}
	return 0, false
}
