package await

import (
	"context"
	"time"

	"siskinspar.example/cmd/change"
	"siskinspar.example/versionlog"
)

// Step waits until the version of the change is in force on every reachable daemon.
type Step struct{}

// pollPeriod is the interval at which the daemon is asked for the convergence.
const pollPeriod = 100 * time.Millisecond

// Name returns the name of the step. It implements change.Step.
func (Step) Name() string { return "await convergence" }

// Defaults sets nothing. It implements change.Step.
func (Step) Defaults(*change.Change) {}

// Run polls until the convergence is complete or Wait has passed, and sets Convergence to the last answer. When Wait
// has passed, Run returns the error of the last poll, which is nil if the daemon answered; the code that runs the step
// checks Convergence. It skips if Wait is 0 or if no version resulted. It implements change.Step.
func (Step) Run(ctx context.Context, c *change.Change) error {
	if c.Wait == 0 {
		return change.Skip("waiting was not requested")
	}
	if d := c.Result.Disposition; d != versionlog.DispositionAccepted && d != versionlog.DispositionUnchanged {
		return change.Skip("the submission was not accepted")
	}
	limited, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		convergence, err := c.Client.Convergence(ctx, c.Result.Version)
		if err == nil {
			c.Convergence = convergence
		}
		if err == nil && convergence.IsComplete() {
			return nil
		}
		select {
		case <-limited.Done():
			return err
		case <-ticker.C:
		}
	}
}
