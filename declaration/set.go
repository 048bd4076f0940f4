package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Version numbers an accepted configuration; 0 means none.
type Version uint64

// Digest is the hexadecimal SHA-256 of a whole set.
type Digest string

// Edit replaces one declaration, or deletes it when the content is empty.
type Edit struct {
	Key     Key    `json:"key"`
	Content []byte `json:"content,omitempty"`
}

// IsDelete reports whether the edit removes the declaration.
func (e Edit) IsDelete() bool { return len(e.Content) == 0 }

// bucketCount is the number of parts of a set; an edit copies and hashes only the part that it falls into.
const bucketCount = 64

type bucket struct {
	entries map[Key]Entry
	digest  [sha256.Size]byte
}

// Set is an immutable collection of declarations.
type Set struct {
	buckets [bucketCount]bucket
	digest  Digest
	length  int
}

func bucketOf(k Key) int { return int(xxhash.Sum64String(k.Name) % bucketCount) }

// NewSet returns the set of the entries; a later entry replaces an earlier one with its key.
func NewSet(entries ...Entry) Set {
	var s Set
	touched := map[int]bool{}
	for _, e := range entries {
		s.open(bucketOf(e.key), touched)
		s.buckets[bucketOf(e.key)].entries[e.key] = e
	}
	s.seal(touched)
	return s
}

// With returns a new set with the edits applied, or an error when an edit can't be decoded.
func (s Set) With(edits []Edit) (Set, error) {
	next := s
	touched := map[int]bool{}
	for _, edit := range edits {
		b := bucketOf(edit.Key)
		next.open(b, touched)
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
	next.seal(touched)
	return next, nil
}

// open copies a bucket before its first change.
func (s *Set) open(b int, touched map[int]bool) {
	if touched[b] {
		return
	}
	touched[b] = true
	s.buckets[b].entries = maps.Clone(s.buckets[b].entries)
	if s.buckets[b].entries == nil {
		s.buckets[b].entries = map[Key]Entry{}
	}
}

// seal computes the digests of the touched buckets and of the whole.
func (s *Set) seal(touched map[int]bool) {
	for b := range touched {
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

// Digest returns the digest over all entries, whatever the order in which they came.
func (s Set) Digest() Digest {
	if s.digest == "" {
		s.seal(nil)
	}
	return s.digest
}

// Len returns the number of declarations.
func (s Set) Len() int { return s.length }

// Find returns the entry of a key and whether it exists.
func (s Set) Find(k Key) (Entry, bool) {
	e, ok := s.buckets[bucketOf(k)].entries[k]
	return e, ok
}

// All returns all entries in no order.
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

// Keys returns all keys in order.
func (s Set) Keys() []Key {
	keys := make([]Key, 0, s.length)
	for e := range s.All() {
		keys = append(keys, e.key)
	}
	slices.SortFunc(keys, CompareKeys)
	return keys
}

// Edits returns the edits that build this set from an empty one.
func (s Set) Edits() []Edit { return Set{}.Difference(s, false) }

// Difference returns the edits that turn s into target; deletions are included only when prune is set.
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
