package versionlog

import (
	"fmt"
	"strings"

	"siskinspar.example/declaration"
)

// RequestID identifies one submission, so that a resend is recognised.
type RequestID string

// MaximumRequestIDLength bounds a request id in characters.
const MaximumRequestIDLength = 128

// Proposal is an edit and the version in which its declaration last changed when the operator read it.
type Proposal struct {
	Edit declaration.Edit    `json:"edit"`
	Base declaration.Version `json:"base"`
}

// Submission is what one operator asks to change at once.
type Submission struct {
	RequestID RequestID  `json:"requestID"`
	Operator  string     `json:"operator"`
	Message   string     `json:"message,omitempty"`
	Proposals []Proposal `json:"proposals"`
}

// Origin tells which submission last changed a declaration, and in which version.
type Origin struct {
	Version   declaration.Version `json:"version"`
	RequestID RequestID           `json:"requestID"`
	Operator  string              `json:"operator"`
}

// Conflict names a declaration that two operators changed from the same base.
type Conflict struct {
	Key    declaration.Key     `json:"key"`
	Base   declaration.Version `json:"base"`
	Theirs Origin              `json:"theirs"`
}

// ConflictError reports the declarations that changed since the operator read them.
type ConflictError struct {
	operator  string
	conflicts []Conflict
}

// Conflicts returns the declarations in conflict.
func (e *ConflictError) Conflicts() []Conflict { return e.conflicts }

// Error names both operators and each declaration.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.conflicts))
	for _, c := range e.conflicts {
		lines = append(lines, fmt.Sprintf("%s: operator %q read it at version %d, but operator %q changed it in version %d (request %s)",
			c.Key, e.operator, c.Base, c.Theirs.Operator, c.Theirs.Version, c.Theirs.RequestID))
	}
	return strings.Join(lines, "\n")
}

// Disposition is the kind of answer to a submission.
type Disposition string

// The dispositions of a submission.
const (
	DispositionAccepted  Disposition = "accepted"
	DispositionUnchanged Disposition = "unchanged"
	DispositionRefused   Disposition = "refused"
	// DispositionUnsettled means that only a resend with the same request id can tell.
	DispositionUnsettled Disposition = "unsettled"
)

// Result is the answer to one submission.
type Result struct {
	disposition Disposition
	version     declaration.Version
	err         error
}

// NewAccepted returns the result of a submission that became part of a version.
func NewAccepted(v declaration.Version) Result {
	return Result{disposition: DispositionAccepted, version: v}
}

// NewUnchanged returns the result of a submission that the version already holds.
func NewUnchanged(v declaration.Version) Result {
	return Result{disposition: DispositionUnchanged, version: v}
}

// NewRefused returns the result of a submission that changed nothing.
func NewRefused(err error) Result { return Result{disposition: DispositionRefused, err: err} }

// NewUnsettled returns the result of a submission whose fate the store did not tell.
func NewUnsettled(err error) Result { return Result{disposition: DispositionUnsettled, err: err} }

// Disposition returns the kind of answer.
func (r Result) Disposition() Disposition { return r.disposition }

// Version returns the version that holds the submission, or 0.
func (r Result) Version() declaration.Version { return r.version }

// Err returns why the submission was refused, or nil.
func (r Result) Err() error { return r.err }
