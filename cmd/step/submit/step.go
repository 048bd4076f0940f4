package submit

import (
	"context"
	"errors"
	"os/user"
	"time"

	"github.com/google/uuid"

	"siskinspar.example/cmd/change"
	"siskinspar.example/daemon/backoff"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/versionlog"
)

// Step submits the proposals under one request ID and retries until the outcome is known.
type Step struct{}

const (
	// maxAttempts is how often one request is submitted at most.
	maxAttempts = 5
	// retryDelay is the time between two attempts.
	retryDelay = 500 * time.Millisecond
)

// Name returns the name of the step. It implements change.Step.
func (Step) Name() string { return "submit declarations" }

// Defaults sets a new request ID, and the user of the process as the operator ("unknown" if it can't be found).
// It implements change.Step.
func (Step) Defaults(c *change.Change) {
	if c.RequestID == "" {
		c.RequestID = versionlog.RequestID(uuid.NewString())
	}
	if c.Operator != "" {
		return
	}
	c.Operator = "unknown"
	if u, err := user.Current(); err == nil {
		c.Operator = u.Username
	}
}

// Run submits the proposals and sets Result. Without proposals it skips with the result that the version in force is
// unchanged. It returns the error of the last attempt. It implements change.Step.
func (Step) Run(ctx context.Context, c *change.Change) error {
	if len(c.Proposals) == 0 {
		c.Result = operatorapi.SubmissionResult{Disposition: versionlog.DispositionUnchanged, Version: c.Base}
		return change.Skip("the declarations are already in force")
	}
	s := versionlog.Submission{RequestID: c.RequestID, Operator: c.Operator, Message: c.Message, Proposals: c.Proposals}
	var err error
	for range maxAttempts {
		c.Result, err = c.Client.Submit(ctx, s)
		if isOutcomeKnown(c.Result, err) {
			return err
		}
		c.Logger.Warn("change: outcome of the submission unknown, retrying", "request", c.RequestID, "error", err)
		if !backoff.Sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
	return err
}

// isOutcomeKnown reports whether the daemon answered with the outcome of the submission. If the answer was lost, a
// retry under the same request ID gets it.
func isOutcomeKnown(r operatorapi.SubmissionResult, err error) bool {
	var status *operatorapi.StatusError
	if errors.As(err, &status) {
		return true
	}
	return err == nil && r.Disposition != versionlog.DispositionUnsettled
}
