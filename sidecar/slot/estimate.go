package slot

import "time"

const (
	// smoothing is the weight of a new sample in the moving average.
	smoothing = 0.1
	// defaultServiceTime is what mean returns for a class without samples.
	defaultServiceTime = 100 * time.Millisecond
)

// estimates holds the moving average of a time for each class of jobs at one backend server.
type estimates map[string]time.Duration

// mean returns the average of a class, or defaultServiceTime if it has no samples.
func (e estimates) mean(class string) time.Duration {
	if d, ok := e[class]; ok {
		return d
	}
	return defaultServiceTime
}

// update adds a sample to the average of a class; the first sample is taken as it is.
func (e estimates) update(class string, sample time.Duration) {
	mean, ok := e[class]
	if !ok {
		e[class] = sample
		return
	}
	e[class] = mean + time.Duration(smoothing*float64(sample-mean))
}
