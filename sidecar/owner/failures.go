package owner

import "time"

const (
	// failureSmoothing is the weight of the latest request in the moving share of failures.
	failureSmoothing = 0.1
	// failureMemory is how long after the latest failure the share counts; after that, requests are sent again as a trial.
	failureMemory = 2 * time.Second
)

// failures is the exponentially weighted share of the latest requests that the backend server failed, from 0 to 1.
type failures struct {
	mean   float64
	latest time.Time
}

// record adds the result of one request.
func (f *failures) record(now time.Time, isFailure bool) {
	f.mean -= failureSmoothing * f.mean
	if isFailure {
		f.mean += failureSmoothing
		f.latest = now
	}
}

// share returns the share of failures, or 0 if the latest failure is longer ago than failureMemory.
func (f *failures) share(now time.Time) float64 {
	if now.Sub(f.latest) > failureMemory {
		return 0
	}
	return f.mean
}
