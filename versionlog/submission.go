package versionlog

import (
	"fmt"
	"strings"

	"siskinspar.example/declaration"
)

// RequestID identifies one submission, so that a retry of it is not applied twice.
type RequestID string

// MaximumRequestIDLength is the longest request id that is accepted, in bytes.
const MaximumRequestIDLength = 128

// Proposal is an edit of one declaration.
//
// Base is the version in which the declaration had last changed when the
// operator read it, or 0 when it had never existed.
type Proposal struct {
	Edit declaration.Edit    `json:"edit"`
	Base declaration.Version `json:"base"`
}

// Submission holds the edits that one operator wants applied together or not at all.
type Submission struct {
	RequestID RequestID  `json:"requestID"`
	Operator  string     `json:"operator"`
	Message   string     `json:"message,omitempty"`
	Proposals []Proposal `json:"proposals"`
}

// Origin identifies the submission that last changed a declaration, and the version that holds the change.
type Origin struct {
	Version   declaration.Version `json:"version"`
	RequestID RequestID           `json:"requestID"`
	Operator  string              `json:"operator"`
}

// Conflict names a declaration that was changed after the operator had read it at version Base.
//
// Theirs is the change that the operator had not seen.
type Conflict struct {
	Key    declaration.Key     `json:"key"`
	Base   declaration.Version `json:"base"`
	Theirs Origin              `json:"theirs"`
}

// ConflictError reports the declarations that were changed after the operator read them.
type ConflictError struct {
	operator  string
	conflicts []Conflict
}

// Conflicts returns the declarations in conflict.
func (e *ConflictError) Conflicts() []Conflict { return e.conflicts }

// Error returns one line for each declaration in conflict, with both operators and versions.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.conflicts))
	for _, c := range e.conflicts {
		lines = append(lines, fmt.Sprintf("%s: operator %q read it at version %d, but operator %q changed it in version %d (request %s)",
			c.Key, e.operator, c.Base, c.Theirs.Operator, c.Theirs.Version, c.Theirs.RequestID))
	}
	return strings.Join(lines, "\n")
}

// Disposition is the outcome of a submission.
type Disposition string

// The dispositions of a submission.
const (
	// DispositionAccepted means that a version holds the edits of the submission.
	DispositionAccepted Disposition = "accepted"
	// DispositionUnchanged means that the edits had no effect on the newest version.
	DispositionUnchanged Disposition = "unchanged"
	// DispositionRefused means that no edit of the submission was applied.
	DispositionRefused Disposition = "refused"
	// DispositionUnsettled means that the outcome is unknown until the submission is retried with its request id.
	DispositionUnsettled Disposition = "unsettled"
)

// Result is the outcome of one submission, with its version or error.
type Result struct {
	disposition Disposition
	version     declaration.Version
	err         error
}

// NewAccepted returns the result of a submission whose edits are part of version v.
func NewAccepted(v declaration.Version) Result {
	return Result{disposition: DispositionAccepted, version: v}
}

// NewUnchanged returns the result of a submission whose edits have no effect on version v.
func NewUnchanged(v declaration.Version) Result {
	return Result{disposition: DispositionUnchanged, version: v}
}

// NewRefused returns the result of a submission that was refused because of err.
func NewRefused(err error) Result { return Result{disposition: DispositionRefused, err: err} }

// NewUnsettled returns the result of a submission whose write failed with err and may still have taken effect.
func NewUnsettled(err error) Result { return Result{disposition: DispositionUnsettled, err: err} }

// Disposition returns the outcome.
func (r Result) Disposition() Disposition { return r.disposition }

// Version returns the version that holds the edits, or 0 when the submission was refused or is unsettled.
func (r Result) Version() declaration.Version { return r.version }

// Err returns why the submission was refused or is unsettled, or nil.
func (r Result) Err() error { return r.err }
