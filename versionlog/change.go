package versionlog

import (
	"fmt"
	"time"

	"siskinspar.example/declaration"
)

// Accepted is an accepted submission as recorded in a change, with only the edits that had an effect.
type Accepted struct {
	RequestID RequestID          `json:"requestID"`
	Operator  string             `json:"operator"`
	Message   string             `json:"message,omitempty"`
	Edits     []declaration.Edit `json:"edits"`
}

// Change holds the edits that turn one version into the next.
//
// Previous is the digest of the set before the edits, Digest that of the set
// after them; both cover all declarations. Time is when the change was planned.
type Change struct {
	Version  declaration.Version `json:"version"`
	Previous declaration.Digest  `json:"previous"`
	Digest   declaration.Digest  `json:"digest"`
	Time     time.Time           `json:"time"`
	Accepted []Accepted          `json:"accepted"`
}

// Edits returns the edits of all accepted submissions in order.
func (c Change) Edits() []declaration.Edit {
	var edits []declaration.Edit
	for _, a := range c.Accepted {
		edits = append(edits, a.Edits...)
	}
	return edits
}

// Reason classifies why a version was refused.
type Reason string

// The reasons for refusing a version.
const (
	// ReasonOrder means that the version does not directly follow the version of the state, is missing in the log, or
	// is not the one that its stored snapshot is named by.
	ReasonOrder Reason = "out of order"
	// ReasonDigest means that the declarations before or after the change, or those of an image, have another digest
	// than the one recorded by the daemon that planned the change or made the image.
	ReasonDigest Reason = "digest differs"
	// ReasonContent means that a declaration can't be decoded, or that the declarations of the version are invalid and
	// can't be compiled.
	ReasonContent Reason = "content invalid"
	// ReasonOlder means that the version is below the version in force, or below the floor of a daemon that joins, such
	// as one that was restarted. The floor is the newest version in the store or, while the store is down, the newest
	// that its peers know; such a daemon may have no version in force yet, although the text names one.
	ReasonOlder Reason = "older than the version in force"
)

// RefusedError reports a version that was not applied, not restored or not put in force.
//
// The refused version changes no state, neither in whole nor in part.
type RefusedError struct {
	version declaration.Version
	reason  Reason
	err     error
}

// NewRefusedError returns an error for a refused version; err is the underlying error, or nil when the reason says all.
func NewRefusedError(v declaration.Version, r Reason, err error) *RefusedError {
	return &RefusedError{version: v, reason: r, err: err}
}

// Version returns the refused version.
func (e *RefusedError) Version() declaration.Version { return e.version }

// Reason returns the class of the refusal.
func (e *RefusedError) Reason() Reason { return e.reason }

// Unwrap returns the underlying error, or nil.
func (e *RefusedError) Unwrap() error { return e.err }

// Error returns the version, the reason and the underlying error if there is one.
func (e *RefusedError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("version %d refused: %s", e.version, e.reason)
	}
	return fmt.Sprintf("version %d refused: %s: %v", e.version, e.reason, e.err)
}
