package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Version is the number of an accepted set of declarations; 0 means that there is none yet.
type Version uint64

// Digest is the hexadecimal SHA-256 over all declarations of a set.
type Digest string

// Edit replaces one declaration, or deletes it when the content is empty.
type Edit struct {
	Key     Key    `json:"key"`
	Content []byte `json:"content,omitempty"`
}

// IsDelete reports whether the edit removes the declaration.
func (e Edit) IsDelete() bool { return len(e.Content) == 0 }

// bucketCount is the number of buckets of a set. An edit copies and hashes only the bucket that holds its key.
//
// Digests depend on it, so daemons with another value compute another digest of the same set.
const bucketCount = 64

// bucket holds the entries whose names hash to its index, and the digest over them.
type bucket struct {
	entries map[Key]Entry
	digest  [sha256.Size]byte
}

// Set is an immutable collection of declarations with distinct keys; the zero value is empty.
type Set struct {
	buckets [bucketCount]bucket
	digest  Digest
	length  int
}

// bucketOf returns the index of the bucket that holds a key.
func bucketOf(k Key) int { return int(xxhash.Sum64String(k.Name) % bucketCount) }

// NewSet returns the set of the entries; a later entry replaces an earlier one with the same key.
func NewSet(entries ...Entry) Set {
	var s Set
	changed := map[int]bool{}
	for _, e := range entries {
		s.copyBucket(bucketOf(e.key), changed)
		s.buckets[bucketOf(e.key)].entries[e.key] = e
	}
	s.updateDigests(changed)
	return s
}

// With returns a new set with the edits applied in order, or an error when the content of one can't be decoded.
func (s Set) With(edits []Edit) (Set, error) {
	next := s
	changed := map[int]bool{}
	for _, edit := range edits {
		b := bucketOf(edit.Key)
		next.copyBucket(b, changed)
		if edit.IsDelete() {
			delete(next.buckets[b].entries, edit.Key)
			continue
		}
		e, err := DecodeEntry(edit.Key, edit.Content)
		if err != nil {
			return Set{}, err
		}
		next.buckets[b].entries[edit.Key] = e
	}
	next.updateDigests(changed)
	return next, nil
}

// copyBucket copies the entries of a bucket before their first change, so that other sets keep theirs.
func (s *Set) copyBucket(b int, changed map[int]bool) {
	if changed[b] {
		return
	}
	changed[b] = true
	s.buckets[b].entries = maps.Clone(s.buckets[b].entries)
	if s.buckets[b].entries == nil {
		s.buckets[b].entries = map[Key]Entry{}
	}
}

// updateDigests computes the digests of the changed buckets, then the length and digest of the set.
func (s *Set) updateDigests(changed map[int]bool) {
	for b := range changed {
		s.buckets[b].digest = digestOf(s.buckets[b].entries)
	}
	s.length = 0
	h := sha256.New()
	for i := range s.buckets {
		s.length += len(s.buckets[i].entries)
		h.Write(s.buckets[i].digest[:])
	}
	s.digest = Digest(hex.EncodeToString(h.Sum(nil)))
}

// digestOf returns the digest over the entries in order of their keys; without entries it is all zeros.
func digestOf(entries map[Key]Entry) [sha256.Size]byte {
	if len(entries) == 0 {
		return [sha256.Size]byte{}
	}
	h := sha256.New()
	for _, key := range slices.SortedFunc(maps.Keys(entries), CompareKeys) {
		d := entries[key].digest
		h.Write(d[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Digest returns the digest over all entries; it does not depend on the order of the edits that built the set.
func (s Set) Digest() Digest {
	if s.digest == "" {
		s.updateDigests(nil)
	}
	return s.digest
}

// Len returns the number of declarations.
func (s Set) Len() int { return s.length }

// Find returns the entry with key k and whether it exists.
func (s Set) Find(k Key) (Entry, bool) {
	e, ok := s.buckets[bucketOf(k)].entries[k]
	return e, ok
}

// All returns an iterator over all entries, in no particular order.
func (s Set) All() iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for i := range s.buckets {
			for _, e := range s.buckets[i].entries {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// Keys returns all keys in the order of CompareKeys.
func (s Set) Keys() []Key {
	keys := make([]Key, 0, s.length)
	for e := range s.All() {
		keys = append(keys, e.key)
	}
	slices.SortFunc(keys, CompareKeys)
	return keys
}

// Edits returns the edits that turn an empty set into s.
func (s Set) Edits() []Edit { return Set{}.Difference(s, false) }

// Difference returns the edits that turn s into target.
//
// Declarations that target lacks are deleted only when prune is set.
func (s Set) Difference(target Set, prune bool) []Edit {
	var edits []Edit
	for _, key := range target.Keys() {
		wanted, _ := target.Find(key)
		if e, ok := s.Find(key); ok && e.IsSame(wanted) {
			continue
		}
		edits = append(edits, Edit{Key: key, Content: wanted.content})
	}
	if !prune {
		return edits
	}
	for _, key := range s.Keys() {
		if _, ok := target.Find(key); !ok {
			edits = append(edits, Edit{Key: key})
		}
	}
	return edits
}
