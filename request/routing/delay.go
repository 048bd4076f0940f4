package routing

import "time"

const (
	// delayQuantile is the share of the answers of a route that come before its delay.
	delayQuantile = 0.95
	// delayStep is the relative change of the delay by one answer.
	delayStep = 0.05
	// shortestDelay is the least delay before a second attempt.
	shortestDelay = 2 * time.Millisecond
	// samplesToDelay is the number of answers before a route has a delay.
	samplesToDelay = 20
)

// Delay learns after which time an answer of one route is late.
type Delay struct {
	estimate float64
	samples  int
}

// Add notes the latency of an answer; the estimate drifts to the quantile where both directions balance.
func (d *Delay) Add(latency time.Duration) {
	d.samples++
	if d.samples == 1 {
		d.estimate = float64(latency)
		return
	}
	if float64(latency) > d.estimate {
		d.estimate *= 1 + delayStep*delayQuantile
		return
	}
	d.estimate *= 1 - delayStep*(1-delayQuantile)
}

// Value returns the delay, and false before enough answers were seen.
func (d *Delay) Value() (time.Duration, bool) {
	if d.samples < samplesToDelay {
		return 0, false
	}
	return max(shortestDelay, time.Duration(d.estimate)), true
}
