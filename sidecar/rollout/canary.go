package rollout

import "time"

const (
	// maximumCanaries bounds the backend servers of the target version that get requests at one time.
	maximumCanaries = 3
	// maximumPulseShare bounds the share of the requests in a pulse; the rest stays for comparison.
	maximumPulseShare = 0.25
	// pulseFraction is the length of a pulse as a part of the duration of the order, within the two bounds.
	pulseFraction = 1.0 / 40
	minimumPulse  = 500 * time.Millisecond
	maximumPulse  = 1500 * time.Millisecond
)

// Canary is the share of the requests for the target version at one moment, and the backend servers that get them.
//
// The mean share of a step would give each server a small part of its later load. So it is sent in pulses to few servers:
// while a pulse lasts, each of them gets the load that it will have. Each pulse goes to the next ones.
type Canary struct {
	// Share is the share of the requests, from 0 to 1.
	Share float64
	// First is the index of the first server, Count the number of them; the indexes go round.
	First, Count int
}

// NewCanary returns the canary at a time since the order, for a step with a mean share and a number of servers of the
// target version.
func NewCanary(o Order, elapsed time.Duration, mean float64, servers int) Canary {
	if servers <= 0 || mean <= 0 {
		return Canary{}
	}
	if mean >= 1 {
		return Canary{Share: 1, Count: servers}
	}
	count := min(servers, maximumCanaries)
	share := max(mean, min(maximumPulseShare, float64(count)/float64(servers)))
	pulse := min(max(time.Duration(pulseFraction*float64(o.duration)), minimumPulse), maximumPulse)
	period := time.Duration(float64(pulse) * share / mean)
	elapsed = max(0, elapsed)
	if elapsed%period >= pulse {
		return Canary{}
	}
	return Canary{Share: share, First: int(elapsed/period) * count % servers, Count: count}
}
