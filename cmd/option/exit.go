package option

import (
	"errors"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
)

// The exit codes of the commands.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed for a reason that has no code of its own.
	ExitFailure = 1
	// ExitInvalid means that the command line, the declarations or the settings are invalid.
	ExitInvalid = 2
	// ExitConflict means that another operator changed the same declarations first.
	ExitConflict = 3
	// ExitUnsettled means that it is unknown whether the change was accepted.
	ExitUnsettled = 4
	// ExitLagging means that the version was accepted, but is not yet in force on every reachable daemon.
	ExitLagging = 5
)

// exitError is an error with the exit code of the command that it ends.
type exitError struct {
	code int
	err  error
}

// Error returns the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

// WithExitCode returns an error that wraps err and ends the command with the given exit code.
func WithExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// ExitCode returns the exit code of a command that ended with err: the code given by WithExitCode, ExitInvalid for
// invalid declarations and for an answer of a daemon with a status below 500, and ExitFailure for any other error.
func ExitCode(err error) int {
	var coded *exitError
	var invalid *declaration.InvalidError
	var status *operatorapi.StatusError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &status) && status.Status() < 500:
		return ExitInvalid
	}
	return ExitFailure
}
