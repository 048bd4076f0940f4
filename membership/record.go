package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ID is the name of an instance. It is unique in the mesh and stays the same over restarts.
type ID string

// DataCentre is the name of a data centre.
type DataCentre string

// Status is the liveness of a member; of two records with the same incarnation, the one with the higher status wins.
type Status uint8

// The statuses of a member.
const (
	StatusAlive Status = iota
	// StatusSuspect is that of a member that didn't answer probes; it still serves until Timing.Suspicion has passed.
	StatusSuspect
	// StatusDead is that of a member that didn't refute a suspicion in time.
	StatusDead
	// StatusLeft is that of a member that announced its own stop.
	StatusLeft
)

// String returns the name of the status, and "unknown" for any other value.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusDead:
		return "dead"
	case StatusLeft:
		return "left"
	}
	return "unknown"
}

// Label is one label of an instance or backend server, which selectors match.
type Label struct {
	Key   string
	Value string
}

// BackendServer is a backend server as announced in the record of the daemon beside it.
type BackendServer struct {
	Name   string
	Labels []Label
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// IsDraining is set when the backend server takes no new requests.
	IsDraining bool
}

// Record describes one instance, as passed on by gossip.
//
// Only the instance itself raises its incarnation, with every change that it announces, so of two records the one with
// the higher incarnation is newer.
type Record struct {
	ID         ID
	DataCentre DataCentre
	// PeerAddress is where the instance takes calls of other daemons.
	PeerAddress string
	// OperatorAddress is where the instance takes requests of operators.
	OperatorAddress string
	Labels          []Label
	BackendServers  []BackendServer
	Incarnation     uint64
	Status          Status
}

// IsNewerThan reports whether r replaces o: by a higher incarnation or, at the same one, by a higher status.
func (r Record) IsNewerThan(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Status > o.Status
}

// IsServing reports whether the instance counts as able to take calls: it is alive or only suspected.
func (r Record) IsServing() bool { return r.Status <= StatusSuspect }

// IsValid reports whether the record has an ID, a data centre, a known status and an incarnation above 0.
func (r Record) IsValid() bool {
	return r.ID != "" && r.DataCentre != "" && r.Status <= StatusLeft && r.Incarnation > 0
}

// fingerprint returns a hash of the ID, incarnation and status. It leaves out the other fields, since a change of any
// of them raises the incarnation.
func (r Record) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(r.ID))
	var b [9]byte
	for i := range 8 {
		b[i] = byte(r.Incarnation >> (8 * i))
	}
	b[8] = byte(r.Status)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Hash returns the 64-bit hash of an ID. The intervals of package distribution and the digest buckets are ranges of it.
func (i ID) Hash() uint64 { return xxhash.Sum64String(string(i)) }

// NewLabels returns the entries of a map as labels in order of key.
func NewLabels(from map[string]string) []Label {
	labels := make([]Label, 0, len(from))
	for _, key := range slices.Sorted(maps.Keys(from)) {
		labels = append(labels, Label{Key: key, Value: from[key]})
	}
	return labels
}

// MapLabels returns labels as a map from key to value.
func MapLabels(labels []Label) map[string]string {
	m := make(map[string]string, len(labels))
	for _, l := range labels {
		m[l.Key] = l.Value
	}
	return m
}

// Lookup returns a function that finds the value of a label by its key, without the cost of building a map.
func Lookup(labels []Label) func(key string) (string, bool) {
	return func(key string) (string, bool) {
		for _, l := range labels {
			if l.Key == key {
				return l.Value, true
			}
		}
		return "", false
	}
}

func compareIDs(a, b Record) int { return cmp.Compare(a.ID, b.ID) }
