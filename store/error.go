package store

import (
	"errors"
	"fmt"
)

// Cause classifies a failed call by what is known about its effect.
type Cause string

// The causes of failure.
const (
	// CauseConflict means that a condition did not hold and nothing was written.
	CauseConflict Cause = "conflict"
	// CauseThrottled means that nothing was written, because of the rate limit of the store or a failure before
	// the write.
	CauseThrottled Cause = "throttled"
	// CauseUnavailable means that a call that is safe to repeat, such as a read, got no answer.
	CauseUnavailable Cause = "unavailable"
	// CauseUnknown means that a write got no answer and may have taken effect.
	CauseUnknown Cause = "unknown"
	// CauseNotFound means that the object does not exist.
	CauseNotFound Cause = "not found"
	// CauseInvalid means that the call or the stored data is malformed.
	CauseInvalid Cause = "invalid"
)

// Error reports a failed call of the store, with its operation, cause and underlying error.
type Error struct {
	operation string
	cause     Cause
	err       error
}

// NewError returns the error of a failed operation; err is the underlying error or nil.
func NewError(operation string, c Cause, err error) *Error {
	return &Error{operation: operation, cause: c, err: err}
}

// Cause returns the class of the failure.
func (e *Error) Cause() Cause { return e.cause }

// Error returns the operation, the cause and the underlying error if there is one.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("store %s: %s", e.operation, e.cause)
	}
	return fmt.Sprintf("store %s: %s: %v", e.operation, e.cause, e.err)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.err }

// IsCause reports whether err is, or wraps, an *Error with cause c.
func IsCause(err error, c Cause) bool {
	var e *Error
	return errors.As(err, &e) && e.cause == c
}
