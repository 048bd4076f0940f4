package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
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

// Set is an immutable collection of declarations.
type Set struct {
	entries map[Key]Entry
	digest  Digest
}

// NewSet returns the set of the entries; a later entry replaces an earlier one with its key.
func NewSet(entries ...Entry) Set {
	s := Set{entries: make(map[Key]Entry, len(entries))}
	for _, e := range entries {
		s.entries[e.key] = e
	}
	s.digest = s.computeDigest()
	return s
}

// With returns a new set with the edits applied, or an error when an edit can't be decoded.
func (s Set) With(edits []Edit) (Set, error) {
	next := Set{entries: maps.Clone(s.entries)}
	if next.entries == nil {
		next.entries = map[Key]Entry{}
	}
	for _, edit := range edits {
		if edit.IsDelete() {
			delete(next.entries, edit.Key)
			continue
		}
		e, err := DecodeEntry(edit.Key, edit.Content)
		if err != nil {
			return Set{}, err
		}
		next.entries[edit.Key] = e
	}
	next.digest = next.computeDigest()
	return next, nil
}

func (s Set) computeDigest() Digest {
	h := sha256.New()
	for _, key := range s.Keys() {
		d := s.entries[key].digest
		h.Write(d[:])
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Digest returns the digest over all entries in key order.
func (s Set) Digest() Digest {
	if s.entries == nil {
		return s.computeDigest()
	}
	return s.digest
}

// Len returns the number of declarations.
func (s Set) Len() int { return len(s.entries) }

// Find returns the entry of a key and whether it exists.
func (s Set) Find(k Key) (Entry, bool) {
	e, ok := s.entries[k]
	return e, ok
}

// Keys returns all keys in order.
func (s Set) Keys() []Key {
	return slices.SortedFunc(maps.Keys(s.entries), CompareKeys)
}

// Edits returns the edits that build this set from an empty one.
func (s Set) Edits() []Edit {
	edits := make([]Edit, 0, len(s.entries))
	for _, key := range s.Keys() {
		edits = append(edits, Edit{Key: key, Content: s.entries[key].content})
	}
	return edits
}

// Difference returns the edits that turn s into target; deletions are included only when prune is set.
func (s Set) Difference(target Set, prune bool) []Edit {
	var edits []Edit
	for _, key := range target.Keys() {
		wanted := target.entries[key]
		if e, ok := s.entries[key]; ok && e.IsSame(wanted) {
			continue
		}
		edits = append(edits, Edit{Key: key, Content: wanted.content})
	}
	if !prune {
		return edits
	}
	for _, key := range s.Keys() {
		if _, ok := target.entries[key]; !ok {
			edits = append(edits, Edit{Key: key})
		}
	}
	return edits
}
