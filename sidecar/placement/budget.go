package placement

import "time"

const (
	// ratioShare is the share of the allowed ratio that a daemon spends; calls that repeated runs make count as well.
	ratioShare = 0.4
	// slackShare is the share of the allowed slack that all daemons together spend evenly over a window.
	slackShare = 0.35
	// burstShare is the share of the allowed slack that all daemons together may spend at once.
	burstShare = 0.4
)

// Allowance bounds the arrivals beyond the first of each request, for one service over all daemons.
type Allowance struct {
	// Ratio is the number of further arrivals for each request.
	Ratio float64
	// Slack is the number of further arrivals in a window whatever the number of requests.
	Slack float64
	// Window is the span over which arrivals are counted.
	Window time.Duration
}

// Budget bounds how often requests for one service arrive at a further backend server.
//
// It answers failures of many backend servers at once, where repeats would add to the load.
type Budget struct {
	// Allowance is set before use.
	Allowance Allowance

	credit float64
	last   time.Time
}

// Earn counts a request that was sent to the service, given the number of daemons that share the allowance.
func (b *Budget) Earn(now time.Time, daemons int) {
	b.refill(now, daemons)
	b.credit = min(b.maximum(daemons), b.credit+ratioShare*b.Allowance.Ratio)
}

// Spend reports whether a request may be sent once more, and counts it.
func (b *Budget) Spend(now time.Time, daemons int) bool {
	b.refill(now, daemons)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// SpendSpare reports whether a request may be sent once more that has not failed, and counts it; half of the saved credit
// is left for requests that failed.
func (b *Budget) SpendSpare(now time.Time, daemons int) bool {
	b.refill(now, daemons)
	if b.credit < (1+b.maximum(daemons))/2 {
		return false
	}
	b.credit--
	return true
}

// maximum bounds the further arrivals that are saved up; one is always possible.
func (b *Budget) maximum(daemons int) float64 {
	return 1 + burstShare*b.Allowance.Slack/float64(max(1, daemons))
}

func (b *Budget) refill(now time.Time, daemons int) {
	if b.last.IsZero() {
		b.credit = 1
		b.last = now
		return
	}
	rate := slackShare * b.Allowance.Slack / b.Allowance.Window.Seconds() / float64(max(1, daemons))
	b.credit = min(b.maximum(daemons), b.credit+rate*now.Sub(b.last).Seconds())
	b.last = now
}
