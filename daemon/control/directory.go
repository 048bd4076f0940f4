package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

const (
	// maximumBuckets bounds the buckets of one fetch.
	maximumBuckets = 8
	// maximumFound bounds the records that one search returns.
	maximumFound = 1024
	// directoryRate is the pace in bytes per second at which a daemon takes over a directory.
	directoryRate = 6 << 10
	// shortestComparison is the least time between two comparisons while the directory is taken over.
	shortestComparison = 200 * time.Millisecond
	// directoryTimeout bounds one comparison or fetch.
	directoryTimeout = 2 * time.Second
)

// compare mends the directory with one random partner.
//
// Every daemon compares within its data centre; a relay alternates with a relay of another data centre.
//
// It returns when the next comparison is due: soon, at the pace of the directory, while there was a difference.
func (n *Node) compare() time.Duration {
	partner, ok := n.pickPartner()
	if !ok {
		n.contactSeeds()
		return jitter(comparisonPeriod)
	}
	size, err := n.compareWith(partner.PeerAddress, maximumBuckets)
	if err != nil {
		n.Logger.Debug("control: comparison failed", "peer", partner.ID, "error", err)
	}
	if size == 0 {
		return jitter(comparisonPeriod)
	}
	return max(shortestComparison, time.Duration(size)*time.Second/directoryRate)
}

func (n *Node) pickPartner() (membership.Record, bool) {
	own := n.Roster.Self()
	if n.Roster.IsRelay() && rand.IntN(2) == 0 {
		if partner, ok := n.pickRemote(own); ok {
			return partner, true
		}
	}
	return pickOther(n.Roster.Group(own.DataCentre), own.ID)
}

func (n *Node) pickRemote(own membership.Record) (membership.Record, bool) {
	centres := n.Roster.DataCentres()
	rand.Shuffle(len(centres), func(i, j int) { centres[i], centres[j] = centres[j], centres[i] })
	for _, d := range centres {
		if d == own.DataCentre {
			continue
		}
		return pickOther(n.Roster.Relays(d), own.ID)
	}
	return membership.Record{}, false
}

func pickOther(group []membership.Record, self membership.ID) (membership.Record, bool) {
	for _, i := range rand.Perm(len(group)) {
		if group[i].ID != self {
			return group[i], true
		}
	}
	return membership.Record{}, false
}

// compareWith exchanges the records of at most limit differing buckets and returns how many bytes that took.
func (n *Node) compareWith(address string, limit int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	request := peer.CompareRequest{Header: n.header()}
	n.Roster.Do(func(m *membership.Machine) { request.Summaries = m.Summaries() })
	var reply peer.CompareReply
	if err := n.Pool.Call(ctx, address, peer.MethodCompare, &request, &reply); err != nil {
		return 0, err
	}
	n.hear(reply.Header)
	buckets, records := n.differing(reply.Digests, limit)
	if len(buckets) == 0 {
		return 0, nil
	}
	return n.fetch(ctx, address, buckets, records)
}

// differing returns random buckets that differ, with this daemon's records in them.
func (n *Node) differing(theirs []membership.GroupDigest, limit int) ([]membership.Bucket, []membership.Record) {
	var buckets []membership.Bucket
	var records []membership.Record
	n.Roster.Do(func(m *membership.Machine) {
		buckets = m.DifferingBuckets(theirs)
		rand.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
		buckets = buckets[:min(limit, len(buckets))]
		records = m.Records(buckets)
	})
	return buckets, records
}

func (n *Node) fetch(ctx context.Context, address string, buckets []membership.Bucket, records []membership.Record) (int, error) {
	packed, err := peer.Pack(records)
	if err != nil {
		return 0, err
	}
	request := peer.FetchRequest{Header: n.header(), Buckets: buckets, Records: packed}
	var reply peer.FetchReply
	if err := n.Pool.Call(ctx, address, peer.MethodFetch, &request, &reply); err != nil {
		return len(packed), err
	}
	return len(packed) + len(reply.Records), n.merge(reply.Records)
}

func (n *Node) merge(p peer.PackedRecords) error {
	records, err := p.Unpack()
	if err != nil {
		return err
	}
	n.Roster.Do(func(m *membership.Machine) { m.Merge(time.Now(), records) })
	return nil
}

// findEndpoints asks a member for the backend servers that the routes in force reach, so that a daemon that has
// just joined serves before it knows the whole directory.
func (n *Node) findEndpoints() {
	request := peer.FindRequest{Header: n.header(), Selectors: n.selectors()}
	if len(request.Selectors) == 0 {
		return
	}
	for _, r := range n.someMembers() {
		ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
		var reply peer.FindReply
		err := n.Pool.Call(ctx, r.PeerAddress, peer.MethodFind, &request, &reply)
		cancel()
		if err == nil && n.merge(reply.Records) == nil {
			return
		}
	}
}

func (n *Node) selectors() []declaration.Selector {
	set := n.Configuration.State().Set()
	var selectors []declaration.Selector
	for _, name := range n.Configuration.Snapshot().Services() {
		if e, ok := set.Find(declaration.Key{Kind: declaration.KindService, Name: name}); ok {
			selectors = append(selectors, e.Service().BackendServers)
		}
	}
	return selectors
}

// findMatching returns the serving instances with a backend server that one of the selectors matches.
func (n *Node) findMatching(selectors []declaration.Selector) []membership.Record {
	var found []membership.Record
	for _, r := range n.Roster.Serving() {
		if len(found) < maximumFound && matchesAny(r, selectors) {
			found = append(found, r)
		}
	}
	return found
}

func matchesAny(r membership.Record, selectors []declaration.Selector) bool {
	for _, b := range r.BackendServers {
		for _, s := range selectors {
			if s.MatchesLookup(membership.Lookup(b.Labels)) {
				return true
			}
		}
	}
	return false
}

// countInterval asks the members of an interval, by delegation, whether they have a version in force.
func (n *Node) countInterval(v declaration.Version, i distribution.Interval) peer.ConvergeReply {
	total := n.countSelf(v)
	own := n.Roster.Self()
	delegations := distribution.Spread(n.Roster.Group(own.DataCentre), own.ID, i)
	ask := iter.Mapper[distribution.Delegation, peer.ConvergeReply]{MaxGoroutines: distribution.FanOut}
	for _, answer := range ask.Map(delegations, func(d *distribution.Delegation) peer.ConvergeReply { return n.countDelegation(v, *d) }) {
		total.Add(answer)
	}
	return total
}

func (n *Node) countSelf(v declaration.Version) peer.ConvergeReply {
	var own peer.ConvergeReply
	if n.Configuration.Version() >= v {
		own.InForce = 1
	} else {
		own.Lagging = []membership.ID{n.Roster.Self().ID}
	}
	if !n.IsReady() {
		own.Unsure = 1
		return own
	}
	own.Answered = 1
	own.Highest = max(n.Configuration.Version(), n.held.version())
	return own
}

// countRemoved counts the members of the data centre that were removed lately, besides the one that asks.
func (n *Node) countRemoved(asking membership.ID) int {
	count := 0
	n.Roster.Do(func(m *membership.Machine) {
		for _, r := range m.Removed(m.Self().DataCentre) {
			if r.ID != asking {
				count++
			}
		}
	})
	return count
}

// countDelegation asks the first candidate that answers to count its interval.
func (n *Node) countDelegation(v declaration.Version, d distribution.Delegation) peer.ConvergeReply {
	var missed peer.ConvergeReply
	for _, candidate := range d.Candidates() {
		reply, err := n.askConvergence(candidate.PeerAddress, v, d.Interval())
		if err == nil {
			reply.Add(missed)
			return reply
		}
		missed.Add(peer.ConvergeReply{Unreachable: []membership.ID{candidate.ID}, Unsure: 1})
	}
	return missed
}

func (n *Node) askConvergence(address string, v declaration.Version, i distribution.Interval) (peer.ConvergeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	var reply peer.ConvergeReply
	err := n.Pool.Call(ctx, address, peer.MethodConverge, &peer.ConvergeRequest{Header: n.header(), Version: v, Interval: i}, &reply)
	return reply, err
}

// Converge counts the daemons of all data centres that have a version in force.
func (n *Node) Converge(v declaration.Version) peer.ConvergeReply {
	var total peer.ConvergeReply
	centres := n.Roster.DataCentres()
	ask := iter.Mapper[membership.DataCentre, peer.ConvergeReply]{MaxGoroutines: max(1, len(centres))}
	for _, answer := range ask.Map(centres, func(d *membership.DataCentre) peer.ConvergeReply { return n.countCentre(v, *d) }) {
		total.Add(answer)
	}
	return total
}

func (n *Node) countCentre(v declaration.Version, d membership.DataCentre) peer.ConvergeReply {
	if d == n.Roster.Self().DataCentre {
		return n.countInterval(v, distribution.Everyone)
	}
	group := n.Roster.Group(d)
	relays := distribution.Relays(group, d)
	if n.Roster.IsLost(d) {
		relays = nil
	}
	for _, relay := range relays {
		if reply, err := n.askConvergence(relay.PeerAddress, v, distribution.Everyone); err == nil {
			return reply
		}
	}
	var missed peer.ConvergeReply
	for _, r := range group {
		missed.Add(peer.ConvergeReply{Unreachable: []membership.ID{r.ID}, Unsure: 1})
	}
	return missed
}
