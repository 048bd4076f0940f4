package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// shortestComeback keeps refused clients from returning before anything can have changed.
	shortestComeback = 100 * time.Millisecond
	// longestShare is the largest share of the time left that a client is asked to stay away.
	longestShare = 0.32
	// comebackSpread is the share by which returns are spread around the expected end of the wait.
	comebackSpread = 0.5
)

// Comeback returns how long a refused client should stay away, given the wait that it would have had.
//
// The returns are spread, so that clients refused in one crest don't make the next one.
func Comeback(wait, left time.Duration, r *rand.Rand) time.Duration {
	spread := 1 + comebackSpread*(2*r.Float64()-1)
	pause := max(shortestComeback, time.Duration(spread*float64(wait)))
	return min(pause, max(shortestComeback, time.Duration(longestShare*float64(left))))
}
