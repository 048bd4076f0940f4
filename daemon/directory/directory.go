package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/shared"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
)

// HeaderHandler processes the headers of messages from other daemons.
type HeaderHandler interface {
	// HandleHeader queues a pull when the sender has a newer version in force.
	HandleHeader(h peer.Header)
}

// Reconciler compares the membership records of this daemon, which its roster holds, with those of other daemons and
// exchanges the records that differ; its fields are set before use.
type Reconciler struct {
	*shared.State
	Headers HeaderHandler
}

const (
	// Period is the mean time between two comparisons while the records are equal.
	Period = 2 * time.Second
	// MaximumBuckets limits the buckets whose records one fetch exchanges.
	MaximumBuckets = 8
	// maximumFindRecords limits the records that FindMatching returns.
	maximumFindRecords = 1024
	// transferRate limits the records that a daemon exchanges through comparisons, in bytes per second.
	transferRate = 6 << 10
	// minimumInterval is the minimum time between two comparisons while the records differ.
	minimumInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one comparison with its exchange of records, or one search.
	exchangeTimeout = 2 * time.Second
)

// Compare reconciles the records with one random partner: another member of the data centre or, for a relay half of
// the time, a relay of another data centre.
//
// It returns the time to wait until the next comparison: about Period when nothing was exchanged, else as long as the
// exchanged bytes take at transferRate. It returns false when there is no partner.
func (rc *Reconciler) Compare() (time.Duration, bool) {
	partner, ok := rc.pickPartner()
	if !ok {
		return backoff.Jitter(Period), false
	}
	size, err := rc.CompareWith(partner.PeerAddress)
	if err != nil {
		rc.Logger.Debug("directory: comparison failed", "peer", partner.ID, "error", err)
	}
	if size == 0 {
		return backoff.Jitter(Period), true
	}
	return max(minimumInterval, time.Duration(size)*time.Second/transferRate), true
}

// pickPartner returns the random partner of the next comparison, and false when there is none.
func (rc *Reconciler) pickPartner() (membership.Record, bool) {
	own := rc.Roster.Self()
	if rc.Roster.IsRelay() && rand.IntN(2) == 0 {
		if partner, ok := rc.pickRemoteRelay(own); ok {
			return partner, true
		}
	}
	return pickOther(rc.Roster.ServingIn(own.DataCentre), own.ID)
}

// pickRemoteRelay returns a random relay of a random other data centre.
func (rc *Reconciler) pickRemoteRelay(own membership.Record) (membership.Record, bool) {
	centres := rc.Roster.DataCentres()
	rand.Shuffle(len(centres), func(i, j int) { centres[i], centres[j] = centres[j], centres[i] })
	for _, centre := range centres {
		if centre == own.DataCentre {
			continue
		}
		return pickOther(rc.Roster.Relays(centre), own.ID)
	}
	return membership.Record{}, false
}

// pickOther returns a random member of a group other than this daemon.
func pickOther(group []membership.Record, self membership.ID) (membership.Record, bool) {
	for _, i := range rand.Perm(len(group)) {
		if group[i].ID != self {
			return group[i], true
		}
	}
	return membership.Record{}, false
}

// CompareWith compares records with the daemon at a peer address and exchanges those of up to MaximumBuckets differing
// buckets. It returns the bytes of the records that were sent and received, or the error of a call.
func (rc *Reconciler) CompareWith(address string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	request := peer.CompareRequest{Header: rc.Header()}
	rc.Roster.Update(func(m *membership.Machine) { request.Summaries = m.Summaries() })
	var reply peer.CompareReply
	if err := rc.Pool.Call(ctx, address, peer.MethodCompare, &request, &reply); err != nil {
		return 0, err
	}
	rc.Headers.HandleHeader(reply.Header)
	buckets, records := rc.selectDiffering(reply.Digests)
	if len(buckets) == 0 {
		return 0, nil
	}
	return rc.exchangeRecords(ctx, address, buckets, records)
}

// selectDiffering returns up to MaximumBuckets random buckets that differ, with this daemon's records in them.
func (rc *Reconciler) selectDiffering(peerDigests []membership.GroupDigest) ([]membership.Bucket, []membership.Record) {
	var buckets []membership.Bucket
	var records []membership.Record
	rc.Roster.Update(func(m *membership.Machine) {
		buckets = m.DifferingBuckets(peerDigests)
		rand.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
		buckets = buckets[:min(MaximumBuckets, len(buckets))]
		records = m.Records(buckets)
	})
	return buckets, records
}

// exchangeRecords sends this daemon's records in some buckets to a peer address and merges those that it returns. It
// returns the bytes of both.
func (rc *Reconciler) exchangeRecords(ctx context.Context, address string, buckets []membership.Bucket, records []membership.Record) (int, error) {
	packed, err := peer.Pack(records)
	if err != nil {
		return 0, err
	}
	request := peer.FetchRequest{Header: rc.Header(), Buckets: buckets, Records: packed}
	var reply peer.FetchReply
	if err := rc.Pool.Call(ctx, address, peer.MethodFetch, &request, &reply); err != nil {
		return len(packed), err
	}
	return len(packed) + len(reply.Records), rc.Merge(reply.Records)
}

// Merge merges the records of another daemon into the roster; it returns an error when they can't be unpacked.
func (rc *Reconciler) Merge(p peer.PackedRecords) error {
	records, err := p.Unpack()
	if err != nil {
		return err
	}
	rc.Roster.Update(func(m *membership.Machine) { m.Merge(time.Now(), records) })
	return nil
}

// FindEndpoints asks members, until one answers, for the instances whose backend servers the routes in force reach.
// A daemon that has just joined can then serve calls before it knows the records of all instances.
func (rc *Reconciler) FindEndpoints() {
	request := peer.FindRequest{Header: rc.Header(), Selectors: rc.selectors()}
	if len(request.Selectors) == 0 {
		return
	}
	for _, r := range rc.RandomMembers() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		var reply peer.FindReply
		err := rc.Pool.Call(ctx, r.PeerAddress, peer.MethodFind, &request, &reply)
		cancel()
		if err == nil && rc.Merge(reply.Records) == nil {
			return
		}
	}
}

// selectors returns the backend server selectors of the services in force.
func (rc *Reconciler) selectors() []declaration.Selector {
	set := rc.Configuration.State().Set()
	var selectors []declaration.Selector
	for _, name := range rc.Configuration.Snapshot().Services() {
		if e, ok := set.Find(declaration.Key{Kind: declaration.KindService, Name: name}); ok {
			selectors = append(selectors, e.Service().BackendServers)
		}
	}
	return selectors
}

// FindMatching returns at most maximumFindRecords serving instances that have a backend server which one of the
// selectors matches.
func (rc *Reconciler) FindMatching(selectors []declaration.Selector) []membership.Record {
	var found []membership.Record
	for _, r := range rc.Roster.Serving() {
		if len(found) < maximumFindRecords && matchesAny(r, selectors) {
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
