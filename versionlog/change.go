package versionlog

import (
	"fmt"
	"time"

	"siskinspar.example/declaration"
)

// Accepted is a submission as recorded in a change.
type Accepted struct {
	RequestID RequestID          `json:"requestID"`
	Operator  string             `json:"operator"`
	Message   string             `json:"message,omitempty"`
	Edits     []declaration.Edit `json:"edits"`
}

// Change turns one version into the next; its digest covers the whole resulting set.
type Change struct {
	Version  declaration.Version `json:"version"`
	Previous declaration.Digest  `json:"previous"`
	Digest   declaration.Digest  `json:"digest"`
	Time     time.Time           `json:"time"`
	Accepted []Accepted          `json:"accepted"`
}

// Edits returns the edits of all submissions in order.
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
	ReasonOrder   Reason = "out of order"
	ReasonDigest  Reason = "digest differs"
	ReasonContent Reason = "content invalid"
	ReasonOlder   Reason = "older than the version in force"
)

// RefusedError reports a version that was refused whole.
type RefusedError struct {
	version declaration.Version
	reason  Reason
	err     error
}

// NewRefusedError returns an error for a version that can't be put in force.
func NewRefusedError(v declaration.Version, r Reason, err error) *RefusedError {
	return &RefusedError{version: v, reason: r, err: err}
}

// Version returns the refused version.
func (e *RefusedError) Version() declaration.Version { return e.version }

// Reason returns the class of the refusal.
func (e *RefusedError) Reason() Reason { return e.reason }

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error { return e.err }

// Error returns the version and the reason.
func (e *RefusedError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("version %d refused: %s", e.version, e.reason)
	}
	return fmt.Sprintf("version %d refused: %s: %v", e.version, e.reason, e.err)
}
