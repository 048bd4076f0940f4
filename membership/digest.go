package membership

import (
	"cmp"
	"maps"
	"slices"
)

// BucketCount is the number of buckets into which a data centre's records are divided for comparison.
const BucketCount = 32

// GroupDigest summarises the records of one data centre.
type GroupDigest struct {
	DataCentre DataCentre
	Buckets    [BucketCount]uint64
}

// Summary is the digest of one data centre in a single number.
type Summary struct {
	DataCentre DataCentre
	Sum        uint64
}

func bucketOf(id ID) int { return int(id.Hash() >> 59) }

// toggle adds the record to the digest of its data centre, or takes it out again.
func (m *Machine) toggle(r Record) {
	d := m.digests[r.DataCentre]
	d.DataCentre = r.DataCentre
	d.Buckets[bucketOf(r.ID)] ^= r.fingerprint()
	m.digests[r.DataCentre] = d
}

// Summaries returns one number for each data centre, in order.
func (m *Machine) Summaries() []Summary {
	summaries := make([]Summary, 0, len(m.digests))
	for _, d := range m.digests {
		s := Summary{DataCentre: d.DataCentre}
		for i, b := range d.Buckets {
			s.Sum = s.Sum*31 + b + uint64(i)
		}
		summaries = append(summaries, s)
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return summaries
}

// Differing returns the digests of this instance for the data centres whose summaries differ.
func (m *Machine) Differing(theirs []Summary) []GroupDigest {
	known := make(map[DataCentre]uint64, len(theirs))
	for _, s := range theirs {
		known[s.DataCentre] = s.Sum
	}
	var differing []GroupDigest
	for _, s := range m.Summaries() {
		sum, ok := known[s.DataCentre]
		delete(known, s.DataCentre)
		if !ok || sum != s.Sum {
			differing = append(differing, m.digests[s.DataCentre])
		}
	}
	for _, d := range slices.Sorted(maps.Keys(known)) {
		differing = append(differing, GroupDigest{DataCentre: d})
	}
	return differing
}

// Bucket names one bucket of a data centre.
type Bucket struct {
	DataCentre DataCentre
	Index      int
}

// DifferingBuckets returns the buckets in which this instance and the digests disagree.
func (m *Machine) DifferingBuckets(theirs []GroupDigest) []Bucket {
	var buckets []Bucket
	for _, t := range theirs {
		own := m.digests[t.DataCentre]
		for i := range BucketCount {
			if own.Buckets[i] != t.Buckets[i] {
				buckets = append(buckets, Bucket{DataCentre: t.DataCentre, Index: i})
			}
		}
	}
	return buckets
}

// Records returns the records in the buckets in order of ID, removed members included.
func (m *Machine) Records(buckets []Bucket) []Record {
	wanted := make(map[Bucket]bool, len(buckets))
	for _, b := range buckets {
		wanted[b] = true
	}
	var records []Record
	for id, e := range m.members {
		if wanted[Bucket{DataCentre: e.record.DataCentre, Index: bucketOf(id)}] {
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, compareIDs)
	return records
}
