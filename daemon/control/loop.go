package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/daemon/directory"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

const (
	// randomProbes is the number of random members of a data centre that are probed after its relays.
	randomProbes = 2
	// distributionStep is the time between two ticks of the follower, which decides whether a read of the store is due.
	distributionStep = 200 * time.Millisecond
	// seedPeriod is the mean time, before jitter, between two renewals of the seed row by a relay.
	seedPeriod = 30 * time.Second
)

// run handles the timers until the context ends; calls to peers and the store run on the workers.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	probe := time.NewTicker(n.Membership.Period)
	defer probe.Stop()
	distribute := time.NewTicker(distributionStep)
	defer distribute.Stop()
	compare := time.NewTimer(backoff.Jitter(directory.Period))
	defer compare.Stop()
	nextComparison := make(chan time.Duration, 1)
	seed := time.NewTimer(backoff.Jitter(n.Membership.Period))
	defer seed.Stop()
	n.Workers.Try(func() { n.join(ctx) })
	for {
		select {
		case <-ctx.Done():
			n.stop()
			return
		case <-probe.C:
			n.tickMembership()
		case <-distribute.C:
			n.tickDistribution()
		case <-compare.C:
			// Try may drop the job, so the next comparison is scheduled first; the wait that the job returns replaces this one.
			compare.Reset(directory.Period)
			n.Workers.Try(func() { nextComparison <- n.compareRecords() })
		case wait := <-nextComparison:
			compare.Reset(wait)
		case <-seed.C:
			seed.Reset(backoff.Jitter(seedPeriod))
			n.Workers.Try(n.renewSeedRow)
		}
	}
}

// compareRecords compares records with another daemon, or with a seed when no other daemon is known. It returns the
// time to wait until the next comparison.
func (n *Node) compareRecords() time.Duration {
	wait, ok := n.reconciler.Compare()
	if !ok {
		n.contactSeeds()
	}
	return wait
}

// stop waits for the last commit and then stops the workers.
func (n *Node) stop() {
	<-n.committer.Done()
	n.Workers.Stop()
}

// tickDistribution ticks the follower of versions; only a relay that is ready reads the store.
func (n *Node) tickDistribution() {
	n.spreader.Tick(n.Roster.IsRelay() && n.IsReady())
}

// tickMembership runs one step of the failure detector; a relay also probes another data centre.
func (n *Node) tickMembership() {
	now := time.Now()
	n.recordTick(now)
	var actions []membership.Action
	n.Roster.Update(func(m *membership.Machine) { actions = m.Tick(now) })
	n.startProbes(actions)
	if n.Roster.IsRelay() {
		n.Workers.Try(n.probeDataCentre)
	}
}

// probeDataCentre probes the relays and some random members of another data centre until one answers, and reports the
// result to the failure detector. Each call takes the next data centre in turn.
func (n *Node) probeDataCentre() {
	d, ok := n.nextDataCentre()
	if !ok {
		return
	}
	group := n.Roster.ServingIn(d)
	targets := distribution.Relays(group, d)
	for range randomProbes {
		targets = append(targets, group[rand.IntN(len(group))])
	}
	isReached := slices.ContainsFunc(targets, func(r membership.Record) bool { return n.probeOnce(r) == nil })
	n.Roster.Update(func(m *membership.Machine) { m.HandleDataCentreProbes(time.Now(), d, isReached) })
}

// nextDataCentre returns the other data centres in turn, and false when there is none.
func (n *Node) nextDataCentre() (membership.DataCentre, bool) {
	own := n.Roster.Self().DataCentre
	centres := slices.DeleteFunc(n.Roster.DataCentres(), func(d membership.DataCentre) bool { return d == own })
	if len(centres) == 0 {
		return "", false
	}
	return centres[int(n.dataCentreTurn.Add(1))%len(centres)], true
}

// startProbes queues the direct and indirect probes that the failure detector asks for.
func (n *Node) startProbes(actions []membership.Action) {
	for _, a := range actions {
		if len(a.Helpers()) == 0 {
			n.Workers.Try(func() { n.probe(a.Target()) })
			continue
		}
		n.Workers.Try(func() { n.probeIndirectly(a.Helpers(), a.Target()) })
	}
}

// probeTimeout bounds a direct probe; an indirect probe has twice that, for its two calls.
func (n *Node) probeTimeout() time.Duration { return n.Membership.Period / 2 }

// probe probes a member directly, and starts indirect probes when it doesn't answer.
func (n *Node) probe(target membership.Record) {
	if err := n.probeOnce(target); err == nil {
		return
	}
	var actions []membership.Action
	n.Roster.Update(func(m *membership.Machine) { actions = m.HandleProbeFailure(time.Now(), target.ID) })
	n.startProbes(actions)
}

// probeOnce sends one probe to a member's peer address and processes the answer, or returns the error of the call.
func (n *Node) probeOnce(target membership.Record) error {
	request := peer.ProbeRequest{Header: n.Header()}
	n.Roster.Update(func(m *membership.Machine) { request.Probe = m.NewProbe() })
	var reply peer.ProbeReply
	ctx, cancel := context.WithTimeout(context.Background(), n.probeTimeout())
	defer cancel()
	if err := n.Pool.Call(ctx, target.PeerAddress, peer.MethodProbe, &request, &reply); err != nil {
		return err
	}
	n.Roster.Update(func(m *membership.Machine) { m.HandleAck(time.Now(), reply.Ack) })
	n.spreader.HandleHeader(reply.Header)
	n.resumeIfCurrent(reply.Header)
	return nil
}

// probeIndirectly asks several helpers at once to probe a member. It reports a failure to the failure detector when no
// helper reached the member.
func (n *Node) probeIndirectly(helpers []membership.Record, target membership.Record) {
	mapper := iter.Mapper[membership.Record, bool]{MaxGoroutines: len(helpers)}
	reached := mapper.Map(helpers, func(helper *membership.Record) bool { return n.requestIndirectProbe(*helper, target) })
	if slices.Contains(reached, true) {
		return
	}
	n.Roster.Update(func(m *membership.Machine) { m.HandleIndirectFailure(time.Now(), target.ID) })
}

// requestIndirectProbe asks a helper to probe a member and reports whether the helper reached it.
func (n *Node) requestIndirectProbe(helper, target membership.Record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*n.probeTimeout())
	defer cancel()
	var reply peer.IndirectReply
	request := peer.IndirectRequest{Header: n.Header(), Target: target}
	err := n.Pool.Call(ctx, helper.PeerAddress, peer.MethodIndirect, &request, &reply)
	return err == nil && reply.IsReached
}

// Leave marks this daemon as left and sends that to a few members, so that no member suspects it after it stops.
func (n *Node) Leave() {
	n.Roster.Update(func(m *membership.Machine) { m.Leave(time.Now()) })
	for _, r := range n.RandomMembers() {
		_ = n.probeOnce(r)
	}
}
