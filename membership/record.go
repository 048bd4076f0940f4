package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ID names an instance; it is unique over the mesh and survives restarts.
type ID string

// DataCentre names a data centre.
type DataCentre string

// Status is the liveness of a member; at one incarnation a higher status wins.
type Status uint8

// The statuses of a member.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
	StatusLeft
)

// String returns the name of the status.
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

// Label is one label of an instance or backend server.
type Label struct {
	Key   string
	Value string
}

// BackendServer is a backend server as announced by the daemon beside it.
type BackendServer struct {
	Name       string
	Labels     []Label
	Slots      int
	IsDraining bool
}

// Record is what is known of one instance.
//
// Only the instance itself raises its incarnation, with every change that it
// announces, so of two records the one with the higher incarnation is newer.
type Record struct {
	ID              ID
	DataCentre      DataCentre
	PeerAddress     string
	OperatorAddress string
	Labels          []Label
	BackendServers  []BackendServer
	Incarnation     uint64
	Status          Status
}

// IsNewerThan reports whether r replaces o.
func (r Record) IsNewerThan(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Status > o.Status
}

// IsServing reports whether the instance takes calls: alive or only suspected.
func (r Record) IsServing() bool { return r.Status <= StatusSuspect }

// IsValid reports whether the record names an instance, its data centre and a known status.
func (r Record) IsValid() bool {
	return r.ID != "" && r.DataCentre != "" && r.Status <= StatusLeft && r.Incarnation > 0
}

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

// Hash returns the place of an instance in the order that fan-out and buckets use.
func (i ID) Hash() uint64 { return xxhash.Sum64String(string(i)) }

// NewLabels returns labels in key order.
func NewLabels(from map[string]string) []Label {
	labels := make([]Label, 0, len(from))
	for _, key := range slices.Sorted(maps.Keys(from)) {
		labels = append(labels, Label{Key: key, Value: from[key]})
	}
	return labels
}

// MapLabels returns labels as a map.
func MapLabels(labels []Label) map[string]string {
	m := make(map[string]string, len(labels))
	for _, l := range labels {
		m[l.Key] = l.Value
	}
	return m
}

// Lookup returns a function that finds the value of a label without building a map.
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
