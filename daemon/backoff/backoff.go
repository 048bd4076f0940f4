package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a time between half and one and a half of the mean, so that daemons don't act in step.
func Jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Sleep waits and reports whether the whole time has passed; it ends early with the context.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
