package await

import (
	"context"
	"time"

	"siskinspar.example/cmd/change"
	"siskinspar.example/versionlog"
)

// Step waits until the version is in force on every daemon that can be reached.
type Step struct{}

// pollPeriod is the time between two counts of the daemons.
const pollPeriod = 100 * time.Millisecond

// Name implements change.Step.
func (Step) Name() string { return "await convergence" }

// Defaults implements change.Step.
func (Step) Defaults(*change.Change) {}

// Run implements change.Step.
func (Step) Run(ctx context.Context, c *change.Change) error {
	if c.Wait == 0 {
		return change.Skip("no wait was asked for")
	}
	if d := c.Result.Disposition; d != versionlog.DispositionAccepted && d != versionlog.DispositionUnchanged {
		return change.Skip("nothing was accepted")
	}
	limited, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		count, err := c.Client.Convergence(ctx, c.Result.Version)
		if err == nil {
			c.Convergence = count
		}
		if err == nil && count.IsComplete() {
			return nil
		}
		select {
		case <-limited.Done():
			return err
		case <-ticker.C:
		}
	}
}
