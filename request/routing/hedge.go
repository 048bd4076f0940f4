package routing

import "time"

const (
	// delayQuantile is the share of the answers of a route that arrive within its delay.
	delayQuantile = 0.95
	// delayStep scales the relative change of the estimate that one answer causes.
	delayStep = 0.05
	// minimumDelay is the shortest delay before a hedged second attempt.
	minimumDelay = 2 * time.Millisecond
	// minimumSamples is the number of answers that a route needs before its delay is used.
	minimumSamples = 20
)

// HedgeDelay estimates how long the first attempt of a request may go unanswered before a second one, the hedge, may
// start: the 95th percentile of the latency of the answers of one route.
//
// The zero value is ready for use. It is not safe for concurrent use.
type HedgeDelay struct {
	// estimate is in nanoseconds.
	estimate float64
	samples  int
}

// Add updates the estimate with the latency of an answer.
//
// A slower answer raises the estimate by delayStep*delayQuantile of its value, any other lowers it by
// delayStep*(1-delayQuantile). The two balance where a share of delayQuantile of the answers is not slower.
func (d *HedgeDelay) Add(latency time.Duration) {
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

// Value returns the delay, at least minimumDelay, or false while there are fewer than minimumSamples answers.
func (d *HedgeDelay) Value() (time.Duration, bool) {
	if d.samples < minimumSamples {
		return 0, false
	}
	return max(minimumDelay, time.Duration(d.estimate)), true
}
