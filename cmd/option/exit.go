package option

import (
	"errors"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
)

// The exit codes.
const (
	ExitOK = 0
	// ExitFailure means that the command could not do its work.
	ExitFailure = 1
	// ExitInvalid means that the command line, the declarations or the settings are at fault.
	ExitInvalid = 2
	// ExitConflict means that another operator changed the same declarations first.
	ExitConflict = 3
	// ExitUnsettled means that it is not known whether the change was accepted.
	ExitUnsettled = 4
	// ExitLagging means that the version was accepted, but is not yet in force everywhere.
	ExitLagging = 5
)

// exitError carries the exit code of a command.
type exitError struct {
	code int
	err  error
}

// Error returns the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

// Exit gives an error the exit code with which the command ends.
func Exit(code int, err error) error { return &exitError{code: code, err: err} }

// CodeOf returns the exit code of a command that ended with an error.
func CodeOf(err error) int {
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
