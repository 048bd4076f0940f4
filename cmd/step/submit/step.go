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

// Step submits the difference under one request id until its fate is known.
type Step struct{}

const (
	// attempts bounds the submissions under one request id.
	attempts = 5
	// pause is the wait before a submission is sent again.
	pause = 500 * time.Millisecond
)

// Name implements change.Step.
func (Step) Name() string { return "submit declarations" }

// Defaults implements change.Step.
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

// Run implements change.Step.
func (Step) Run(ctx context.Context, c *change.Change) error {
	if len(c.Proposals) == 0 {
		c.Result = operatorapi.SubmissionResult{Disposition: versionlog.DispositionUnchanged, Version: c.Base}
		return change.Skip("the declarations are in force already")
	}
	s := versionlog.Submission{RequestID: c.RequestID, Operator: c.Operator, Message: c.Message, Proposals: c.Proposals}
	var err error
	for range attempts {
		c.Result, err = c.Client.Submit(ctx, s)
		if isSettled(c.Result, err) {
			return err
		}
		c.Logger.Warn("change: submission not settled, sending it again", "request", c.RequestID, "error", err)
		if !backoff.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
	return err
}

// isSettled reports whether the daemon told the fate of the submission; a lost answer is settled by a resend.
func isSettled(r operatorapi.SubmissionResult, err error) bool {
	var status *operatorapi.StatusError
	if errors.As(err, &status) {
		return true
	}
	return err == nil && r.Disposition != versionlog.DispositionUnsettled
}
