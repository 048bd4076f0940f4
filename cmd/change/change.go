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

// Change holds the options, the client and the results of one plan, apply or rollback, which its steps share. The
// fields up to Logger are set before the first step; a step sets defaults for some that are empty.
type Change struct {
	// Directory is the path of the directory that holds the wanted declarations.
	Directory string
	Client    *operatorapi.Client
	// Operator and Message go into the version history.
	Operator string
	Message  string
	// RequestID makes a submission idempotent: a submission whose outcome is unknown is sent again under the same ID.
	RequestID versionlog.RequestID
	// IsPruning deletes declarations that the directory does not contain.
	IsPruning bool
	// Wait is the longest time to wait until the version is in force on every reachable daemon; 0 does not wait.
	Wait   time.Duration
	Logger *slog.Logger

	// The fields from here on hold results: Wanted from the directory, Proposals and Base from the comparison with the
	// version in force, Result from the submission or the rollback, and Convergence from the wait.
	Wanted      declaration.Set
	Proposals   []versionlog.Proposal
	Base        declaration.Version
	Result      operatorapi.SubmissionResult
	Convergence operatorapi.Convergence
}

// Step is one step of a change.
type Step interface {
	// Name returns the name of the step in logs and errors.
	Name() string
	// Defaults sets the options of this step that are empty.
	Defaults(c *Change)
	// Run performs the step. It returns a *SkipError if there is nothing to do.
	Run(ctx context.Context, c *Change) error
}

// SkipError reports that a step had nothing to do; Run logs its reason and goes on with the next step.
type SkipError struct{ reason string }

// Skip returns a *SkipError with the reason why a step had nothing to do.
func Skip(reason string) error { return &SkipError{reason: reason} }

// Error returns the reason after "skipped: ".
func (e *SkipError) Error() string { return "skipped: " + e.reason }

// Run sets the defaults of all steps, then runs the steps in order. It stops at the first step that fails and returns
// its error with the name of the step.
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
