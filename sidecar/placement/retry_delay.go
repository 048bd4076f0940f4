package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// minimumRetryDelay keeps refused clients from a retry before the load can have changed.
	minimumRetryDelay = 100 * time.Millisecond
	// maximumRetryDelay bounds the delay of clients with a long timeout.
	maximumRetryDelay = 2 * time.Second
	// retryDelayShare is the largest share of its remaining time that a client is asked to wait; clients don't honour
	// more.
	retryDelayShare = 0.33
	// retryDelayJitter is the share of the delay over which the retries are spread at random.
	retryDelayJitter = 0.4
)

// RetryDelay returns how long a refused client should wait before its retry, given the time until its timeout.
//
// It is meant for load peaks that last seconds. A refused request misses its target in any case, so its client retries
// as late as it can still be served, when the peak is more likely over. The delays are spread at random, so that
// clients refused in one peak don't cause the next one by retrying together.
func RetryDelay(left time.Duration, r *rand.Rand) time.Duration {
	delay := min(maximumRetryDelay, time.Duration(retryDelayShare*float64(left)))
	spread := 1 - retryDelayJitter*r.Float64()
	return max(minimumRetryDelay, time.Duration(spread*float64(delay)))
}
