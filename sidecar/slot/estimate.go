package slot

import "time"

const (
	// smoothing is the weight of a new service time.
	smoothing = 0.1
	// initialTime stands in for the service time of a class without samples.
	initialTime = 100 * time.Millisecond
)

// estimates holds the mean service time of each class at one backend server.
type estimates map[string]time.Duration

func (e estimates) of(class string) time.Duration {
	if d, ok := e[class]; ok {
		return d
	}
	return initialTime
}

// note takes in a new time.
func (e estimates) note(class string, took time.Duration) {
	mean, ok := e[class]
	if !ok {
		e[class] = took
		return
	}
	e[class] = mean + time.Duration(smoothing*float64(took-mean))
}
