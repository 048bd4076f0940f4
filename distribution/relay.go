package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinspar.example/membership"
)

// RelayCount is the number of relays in each data centre. Relays poll the store and receive what other data
// centres push.
const RelayCount = 2

// Relays returns the RelayCount members of a data centre's group that rank highest by rendezvous hashing, or all
// members of a smaller group.
//
// Instances that know different members may pick different relays. Relays beyond RelayCount cost reads of the store and
// bandwidth but never correctness, since versions are ordered.
func Relays(group []membership.Record, d membership.DataCentre) []membership.Record {
	var best []scoredRecord
	for _, r := range group {
		c := scoredRecord{record: r, score: rendezvousScore(d, r.ID)}
		at, _ := slices.BinarySearchFunc(best, c, scoredRecord.compare)
		if at < RelayCount {
			best = slices.Insert(best, at, c)[:min(RelayCount, len(best)+1)]
		}
	}
	relays := make([]membership.Record, len(best))
	for i, c := range best {
		relays[i] = c.record
	}
	return relays
}

// scoredRecord is a member with its rank among the relays.
type scoredRecord struct {
	record membership.Record
	score  uint64
}

// compare orders members with a higher score first.
func (s scoredRecord) compare(o scoredRecord) int {
	if c := cmp.Compare(o.score, s.score); c != 0 {
		return c
	}
	return cmp.Compare(s.record.ID, o.record.ID)
}

// IsRelay reports whether an instance is one of the given relays.
func IsRelay(relays []membership.Record, id membership.ID) bool {
	return slices.ContainsFunc(relays, func(r membership.Record) bool { return r.ID == id })
}

// rendezvousScore returns the rank of an instance among the relays of its data centre; higher is preferred.
func rendezvousScore(d membership.DataCentre, id membership.ID) uint64 {
	return Score(string(d), string(id))
}

// Score returns the rank of an instance for a key by rendezvous hashing; the highest is preferred.
func Score(key, id string) uint64 { return xxhash.Sum64String(key + "\n" + id) }
