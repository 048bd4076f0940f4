package membership

import (
	"cmp"
	"maps"
	"slices"
)

// BucketCount is the number of buckets into which the records of a data centre are divided by the hash of their ID,
// so that two instances exchange only the buckets that differ.
const BucketCount = 32

// GroupDigest holds one checksum for each bucket of a data centre's records. It covers all of them, including those of
// dead and left members.
type GroupDigest struct {
	DataCentre DataCentre
	// Buckets holds the XOR of the fingerprints of the records in each bucket.
	Buckets [BucketCount]uint64
}

// Summary combines the buckets of a data centre's GroupDigest into one checksum.
type Summary struct {
	DataCentre DataCentre
	Sum        uint64
}

// bucketOf returns the top five bits of the hash, which number the 32 buckets of BucketCount.
func bucketOf(id ID) int { return int(id.Hash() >> 59) }

// toggleInDigest adds a record to the digest of its data centre, or removes it if the digest has it already: the
// buckets are XOR sums, so both are the same operation.
func (m *Machine) toggleInDigest(r Record) {
	d := m.digests[r.DataCentre]
	d.DataCentre = r.DataCentre
	d.Buckets[bucketOf(r.ID)] ^= r.fingerprint()
	m.digests[r.DataCentre] = d
}

// Summaries returns the summary of each data centre, in order of data centre.
//
// The sum depends on the order of the buckets, so that differences in two buckets, such as exchanged values, don't
// cancel out as in a plain sum.
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

// DifferingDigests returns this instance's digests of the data centres whose summary here isn't the given one. A data
// centre that only the other instance knows gets a digest with empty buckets.
func (m *Machine) DifferingDigests(theirs []Summary) []GroupDigest {
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

// Bucket identifies one bucket of a data centre's records.
type Bucket struct {
	DataCentre DataCentre
	// Index is from 0 to BucketCount-1.
	Index int
}

// DifferingBuckets returns the buckets whose checksum in the given digests isn't that of this instance.
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

// Records returns the records in the given buckets in order of ID, including those of members that are dead or left.
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
