package convergence

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/link"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/spread"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

// callTimeout bounds one call to a delegate.
const callTimeout = 2 * time.Second

// Own tells about this daemon itself.
type Own interface {
	// IsReady reports whether the daemon has a confirmed configuration.
	IsReady() bool
	// Held returns the highest version that the daemon was asked to hold.
	Held() declaration.Version
}

// Counter asks the other daemons; its fields are set before use.
type Counter struct {
	*link.Link
	Own Own
}

// CountInterval asks the members of an interval, by delegation, whether they have a version in force.
func (c *Counter) CountInterval(v declaration.Version, i distribution.Interval) peer.ConvergeReply {
	total := c.countSelf(v)
	own := c.Roster.Self()
	delegations := distribution.Spread(c.Roster.Group(own.DataCentre), own.ID, i)
	ask := iter.Mapper[distribution.Delegation, peer.ConvergeReply]{MaxGoroutines: distribution.FanOut}
	for _, answer := range ask.Map(delegations, func(d *distribution.Delegation) peer.ConvergeReply { return c.countDelegation(v, *d) }) {
		total.Add(answer)
	}
	return total
}

func (c *Counter) countSelf(v declaration.Version) peer.ConvergeReply {
	var own peer.ConvergeReply
	if c.Configuration.Version() >= v {
		own.InForce = 1
	} else {
		own.Lagging = []membership.ID{c.Roster.Self().ID}
	}
	if !c.Own.IsReady() {
		own.Unsure = 1
		return own
	}
	own.Answered = 1
	own.Highest = max(c.Configuration.Version(), c.Own.Held())
	return own
}

// CountRemoved counts the members of the data centre that were removed lately, besides the one that asks.
func (c *Counter) CountRemoved(asking membership.ID) int {
	count := 0
	c.Roster.Do(func(m *membership.Machine) {
		for _, r := range m.Removed(m.Self().DataCentre) {
			if r.ID != asking {
				count++
			}
		}
	})
	return count
}

// countDelegation asks the first candidate that answers to count its interval.
func (c *Counter) countDelegation(v declaration.Version, d distribution.Delegation) peer.ConvergeReply {
	var missed peer.ConvergeReply
	for _, candidate := range d.Candidates() {
		reply, err := c.askConvergence(candidate.PeerAddress, v, d.Interval())
		if err == nil {
			reply.Add(missed)
			return reply
		}
		missed.Add(peer.ConvergeReply{Unreachable: []membership.ID{candidate.ID}, Unsure: 1})
	}
	return missed
}

func (c *Counter) askConvergence(address string, v declaration.Version, i distribution.Interval) (peer.ConvergeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply peer.ConvergeReply
	err := c.Pool.Call(ctx, address, peer.MethodConverge, &peer.ConvergeRequest{Header: c.Header(), Version: v, Interval: i}, &reply)
	return reply, err
}

// Count counts the daemons of all data centres that have a version in force.
func (c *Counter) Count(v declaration.Version) peer.ConvergeReply {
	var total peer.ConvergeReply
	centres := c.Roster.DataCentres()
	ask := iter.Mapper[membership.DataCentre, peer.ConvergeReply]{MaxGoroutines: max(1, len(centres))}
	for _, answer := range ask.Map(centres, func(d *membership.DataCentre) peer.ConvergeReply { return c.countCentre(v, *d) }) {
		total.Add(answer)
	}
	return total
}

func (c *Counter) countCentre(v declaration.Version, d membership.DataCentre) peer.ConvergeReply {
	if d == c.Roster.Self().DataCentre {
		return c.CountInterval(v, distribution.Everyone)
	}
	group := c.Roster.Group(d)
	relays := distribution.Relays(group, d)
	if c.Roster.IsLost(d) {
		relays = nil
	}
	for _, relay := range relays {
		if reply, err := c.askConvergence(relay.PeerAddress, v, distribution.Everyone); err == nil {
			return reply
		}
	}
	var missed peer.ConvergeReply
	for _, r := range group {
		missed.Add(peer.ConvergeReply{Unreachable: []membership.ID{r.ID}, Unsure: 1})
	}
	return missed
}

// FindFloor asks the data centre for the highest version that this daemon may have had in force before a restart.
//
// It is certain only while at most one other member is unsure, and none in a group of fewer than three.
func (c *Counter) FindFloor() (declaration.Version, bool) {
	for _, r := range c.SomeMembers() {
		reply, err := c.askConvergence(r.PeerAddress, 0, distribution.Everyone)
		if err != nil {
			continue
		}
		// This daemon is not ready and counts itself as unsure.
		unsure := reply.Unsure - 1
		allowed := 0
		if reply.Answered+unsure > spread.HolderCount {
			allowed = 1
		}
		c.Logger.Info("convergence: floor from peers", "version", reply.Highest, "answered", reply.Answered, "unsure", unsure)
		return reply.Highest, reply.Answered > 0 && unsure <= allowed
	}
	return 0, false
}
