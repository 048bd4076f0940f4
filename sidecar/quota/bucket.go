package quota

import (
	"math"
	"time"

	"siskinspar.example/sidecar/organisation"
)

// minimumCapacity is the least number of tokens that a bucket holds, so that a small part of a quota allows requests at
// all.
const minimumCapacity = 1

// bucket is a token bucket.
type bucket struct {
	level   float64
	updated time.Time
}

// refill adds the tokens that have flowed in since the last call, under the part of a quota that the bucket is for.
func (b *bucket) refill(now time.Time, q organisation.Quota) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += q.Rate * elapsed.Seconds()
		b.updated = now
	}
	b.level = min(b.level, max(minimumCapacity, q.Burst))
}

// take removes up to wanted whole tokens and returns their number.
func (b *bucket) take(wanted int) int {
	taken := max(0, min(wanted, whole(b.level)))
	b.level -= float64(taken)
	return taken
}

// whole returns the whole part of a number of tokens, of which the limits of operators may make more than an int holds.
func whole(tokens float64) int { return int(min(tokens, math.MaxInt32)) }

// inflowTime returns how long a number of tokens takes to flow in at a rate above 0, up to a limit.
func inflowTime(tokens, rate float64, limit time.Duration) time.Duration {
	return time.Duration(min(tokens/rate, limit.Seconds()) * float64(time.Second))
}

// part returns a share of a quota, from 0 to 1.
func part(q organisation.Quota, share float64) organisation.Quota {
	return organisation.Quota{Rate: q.Rate * share, Burst: q.Burst * share}
}
