package change

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog"
)

// Change is one change on its way from a directory to every daemon.
type Change struct {
	// Directory, Client and the options are set before the first step.
	Directory string
	Client    *operatorapi.Client
	Operator  string
	Message   string
	RequestID versionlog.RequestID
	IsPruning bool
	// Wait bounds the wait for the version to be in force everywhere; 0 does not wait.
	Wait   time.Duration
	Logger *slog.Logger

	// Wanted, Proposals, Result and Convergence are filled in by the steps.
	Wanted      declaration.Set
	Proposals   []versionlog.Proposal
	Base        declaration.Version
	Result      operatorapi.SubmissionResult
	Convergence operatorapi.Convergence
}

// Step is one step of a change.
type Step interface {
	// Name returns the name of the step in logs.
	Name() string
	// Defaults fills in the options that the step owns.
	Defaults(c *Change)
	// Run performs the step; it returns a *SkipError when there is nothing to do.
	Run(ctx context.Context, c *Change) error
}

// SkipError tells that a step had nothing to do.
type SkipError struct{ reason string }

// Skip returns an error that tells why a step had nothing to do.
func Skip(reason string) error { return &SkipError{reason: reason} }

// Error returns the reason.
func (e *SkipError) Error() string { return "skipped: " + e.reason }

// Run performs the steps in order and stops at the first that fails.
func Run(ctx context.Context, c *Change, steps []Step) error {
	for _, s := range steps {
		s.Defaults(c)
	}
	for _, s := range steps {
		err := s.Run(ctx, c)
		var skipped *SkipError
		switch {
		case errors.As(err, &skipped):
			c.Logger.Debug("change: step skipped", "step", s.Name(), "reason", skipped.reason)
		case err != nil:
			return eris.Wrap(err, s.Name())
		}
	}
	return nil
}
