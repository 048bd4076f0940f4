package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/store"
)

const (
	// partitionSeed is the partition of the store that holds the seed rows.
	partitionSeed = "seed"
	// maximumSeeds limits the seed rows that one read returns.
	maximumSeeds = 200
	// initialBackoff limits the wait after the first failed join; the limit doubles up to maximumBackoff. Each wait is
	// random, uniform between zero and the limit.
	initialBackoff = 200 * time.Millisecond
	maximumBackoff = 5 * time.Second
)

// seedRow is a row of the store with the address of a relay that joining daemons may contact.
type seedRow struct {
	Instance membership.ID `json:"instance"`
	Address  string        `json:"address"`
}

// join contacts seeds and brings the configuration up to date, and then marks the daemon as ready. It retries with
// exponential backoff until ctx ends.
func (n *Node) join(ctx context.Context) {
	limit := initialBackoff
	for ctx.Err() == nil {
		n.contactSeeds()
		if n.syncToFloor() {
			n.reconciler.FindEndpoints()
			n.isReady.Store(true)
			n.Logger.Info("control: ready", "version", n.Configuration.Version())
			return
		}
		backoff.Sleep(ctx, rand.N(limit))
		limit = min(2*limit, maximumBackoff)
	}
}

// contactSeeds announces this daemon to one seed and exchanges a part of the membership records with it. It tries the
// seeds from the settings first, then those in the store.
func (n *Node) contactSeeds() {
	if n.contactAny(n.Seeds) {
		return
	}
	n.contactAny(n.storedSeeds())
}

// contactAny probes the addresses and compares records with them in random order, until both succeed with one of them.
func (n *Node) contactAny(addresses []string) bool {
	own := n.Roster.Self().PeerAddress
	for _, i := range rand.Perm(len(addresses)) {
		if addresses[i] == own || n.probeOnce(membership.Record{PeerAddress: addresses[i]}) != nil {
			continue
		}
		if _, err := n.reconciler.CompareWith(addresses[i]); err == nil {
			return true
		}
	}
	return false
}

// storedSeeds returns the peer addresses from the seed rows that the relays keep in the store.
func (n *Node) storedSeeds() []string {
	ctx, cancel := n.Storage.Context()
	defer cancel()
	rows, err := n.Storage.Log.Table.Range(ctx, partitionSeed, "", maximumSeeds)
	n.Storage.RecordResult(err)
	var addresses []string
	for _, row := range rows {
		var s seedRow
		if json.Unmarshal(row.Value(), &s) == nil {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// syncToFloor brings the configuration at least to the floor: the head of the version log or, while the store is down,
// the highest version that the peers report. It returns false when the floor is not certain or not in force.
func (n *Node) syncToFloor() bool {
	ctx, cancel := n.Storage.Context()
	defer cancel()
	head, err := n.Storage.Log.Head(ctx)
	n.Storage.RecordResult(err)
	floor := head.Version
	if err != nil {
		var isCertain bool
		if floor, isCertain = n.counter.FindFloor(); !isCertain {
			return false
		}
	}
	n.Configuration.RaiseFloor(floor)
	for _, r := range n.RandomMembers() {
		if n.Configuration.Version() < floor {
			_ = n.spreader.PullFrom(r.PeerAddress)
		}
	}
	if n.Configuration.Snapshot() != nil && n.Configuration.Version() >= floor {
		return true
	}
	return err == nil && n.loadVersion(ctx, floor)
}

// loadVersion loads the state at a version from the store and puts it in force.
func (n *Node) loadVersion(ctx context.Context, v declaration.Version) bool {
	state, err := n.Storage.Log.Load(ctx, v)
	if err == nil {
		err = n.spreader.InstallAfterHold(state)
	}
	if err != nil {
		n.Logger.Warn("control: can't load the configuration", "version", v, "error", err)
	}
	return err == nil
}

// renewSeedRow writes the address of a relay to a seed row of its data centre; on other daemons it does nothing. The
// relay also contacts a seed that is not among its serving members, so that data centres find each other after a
// network partition.
func (n *Node) renewSeedRow() {
	own := n.Roster.Self()
	if !n.Roster.IsRelay() {
		return
	}
	n.contactMissingSeeds()
	// Each data centre has one seed row for each of its two relays, named by the rank of the relay.
	rank := "0"
	if relays := n.Roster.Relays(own.DataCentre); len(relays) > 1 && relays[1].ID == own.ID {
		rank = "1"
	}
	value, err := json.Marshal(seedRow{Instance: own.ID, Address: own.PeerAddress})
	if err != nil {
		return
	}
	ctx, cancel := n.Storage.Context()
	defer cancel()
	n.Storage.RecordResult(n.Storage.Log.Table.Transact(ctx, []store.Write{{
		Key: store.Key{Partition: partitionSeed, Sort: string(own.DataCentre) + "/" + rank}, Revision: own.Incarnation, Value: value,
	}}))
}

// contactMissingSeeds contacts one of the stored seeds that are not among the serving members.
func (n *Node) contactMissingSeeds() {
	known := map[string]bool{}
	for _, r := range n.Roster.Serving() {
		known[r.PeerAddress] = true
	}
	var missing []string
	for _, address := range n.storedSeeds() {
		if !known[address] {
			missing = append(missing, address)
		}
	}
	n.contactAny(missing)
}
