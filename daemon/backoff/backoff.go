package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration from 0.5 to 1.5 times the mean, so that daemons don't all act at the same time.
//
// It panics unless the mean is above zero.
func Jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Sleep waits for a duration and returns true, or returns false as soon as the context ends.
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
