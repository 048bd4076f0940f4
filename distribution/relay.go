package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinspar.example/membership"
)

// RelayCount is the number of relays in each data centre.
const RelayCount = 2

// Relays returns the relays of a group by rendezvous hashing over its members.
//
// Instances whose views differ may name different relays; more relays than
// needed cost reads and bytes but never correctness, since versions are ordered.
func Relays(group []membership.Record, d membership.DataCentre) []membership.Record {
	ranked := slices.Clone(group)
	slices.SortFunc(ranked, func(a, b membership.Record) int {
		if c := cmp.Compare(weigh(d, b.ID), weigh(d, a.ID)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked[:min(RelayCount, len(ranked))]
}

// IsRelay reports whether an instance is among the relays.
func IsRelay(relays []membership.Record, id membership.ID) bool {
	return slices.ContainsFunc(relays, func(r membership.Record) bool { return r.ID == id })
}

func weigh(d membership.DataCentre, id membership.ID) uint64 {
	return xxhash.Sum64String(string(d) + "\n" + string(id))
}
