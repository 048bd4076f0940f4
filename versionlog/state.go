package versionlog

import (
	"maps"

	"siskinspar.example/declaration"
)

// State is the immutable content of one version: its declarations and the origin of each.
//
// The origins of deleted declarations are kept, so that a proposal based on the
// content before the deletion is a conflict. The zero value is version 0.
type State struct {
	version declaration.Version
	set     declaration.Set
	origins map[declaration.Key]Origin
}

// Version returns the version number, 0 before the first change.
func (s State) Version() declaration.Version { return s.version }

// Set returns the declarations.
func (s State) Set() declaration.Set { return s.set }

// Origin returns the submission that last changed or deleted a declaration; its version is 0 when there is none.
func (s State) Origin(k declaration.Key) Origin { return s.origins[k] }

// Apply verifies a change and returns the state that follows s.
//
// The error is a *RefusedError with the version of the change; the returned state
// is then s. ReasonOrder means that the change does not follow s, ReasonDigest that
// the digest of the set before or after the edits is not that of the change, and
// ReasonContent that an edit can't be decoded.
func (s State) Apply(c Change) (State, error) {
	if c.Version != s.version+1 {
		return s, NewRefusedError(c.Version, ReasonOrder, nil)
	}
	if c.Previous != s.set.Digest() {
		return s, NewRefusedError(c.Version, ReasonDigest, nil)
	}
	set, err := s.set.With(c.Edits())
	if err != nil {
		return s, NewRefusedError(c.Version, ReasonContent, err)
	}
	if set.Digest() != c.Digest {
		return s, NewRefusedError(c.Version, ReasonDigest, nil)
	}
	return State{version: c.Version, set: set, origins: s.originsWith(c)}, nil
}

// originsWith returns a copy of the origins that includes the edits of a change.
func (s State) originsWith(c Change) map[declaration.Key]Origin {
	origins := maps.Clone(s.origins)
	if origins == nil {
		origins = map[declaration.Key]Origin{}
	}
	for _, a := range c.Accepted {
		for _, e := range a.Edits {
			origins[e.Key] = Origin{Version: c.Version, RequestID: a.RequestID, Operator: a.Operator}
		}
	}
	return origins
}

// Image is the whole content of a state in the form that is stored and sent to peers.
type Image struct {
	Version declaration.Version `json:"version"`
	Digest  declaration.Digest  `json:"digest"`
	Entries []ImageEntry        `json:"entries"`
	Deleted []DeletedEntry      `json:"deleted,omitempty"`
}

// ImageEntry is one declaration of an image with its origin.
type ImageEntry struct {
	Edit   declaration.Edit `json:"edit"`
	Origin Origin           `json:"origin"`
}

// DeletedEntry is a deleted declaration with its origin.
type DeletedEntry struct {
	Key    declaration.Key `json:"key"`
	Origin Origin          `json:"origin"`
}

// Image returns the whole content of the state.
func (s State) Image() Image {
	m := Image{Version: s.version, Digest: s.set.Digest()}
	for _, e := range s.set.Edits() {
		m.Entries = append(m.Entries, ImageEntry{Edit: e, Origin: s.origins[e.Key]})
	}
	for key, origin := range s.origins {
		if _, ok := s.set.Find(key); !ok {
			m.Deleted = append(m.Deleted, DeletedEntry{Key: key, Origin: origin})
		}
	}
	return m
}

// Restore returns the state of an image.
//
// The error is a *RefusedError with the version of the image. ReasonContent means
// that an entry can't be decoded, ReasonDigest that the entries have another digest
// than the one in the image.
func Restore(m Image) (State, error) {
	edits := make([]declaration.Edit, 0, len(m.Entries))
	origins := make(map[declaration.Key]Origin, len(m.Entries)+len(m.Deleted))
	for _, e := range m.Entries {
		edits = append(edits, e.Edit)
		origins[e.Edit.Key] = e.Origin
	}
	for _, d := range m.Deleted {
		origins[d.Key] = d.Origin
	}
	set, err := declaration.NewSet().With(edits)
	if err != nil {
		return State{}, NewRefusedError(m.Version, ReasonContent, err)
	}
	if set.Digest() != m.Digest {
		return State{}, NewRefusedError(m.Version, ReasonDigest, nil)
	}
	return State{version: m.Version, set: set, origins: origins}, nil
}
