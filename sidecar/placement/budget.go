package placement

import "time"

const (
	// earned is what each request adds to the budget of further arrivals.
	earned = 0.1
	// granted is what each second adds, so that a daemon with few requests may send one again.
	granted = 0.3
	// maximumCredit bounds the further arrivals that are saved up.
	maximumCredit = 6.0
)

// Budget bounds how often requests for one service arrive at a further backend server.
//
// It answers failures of many backend servers at once, where repeats would add to the load.
type Budget struct {
	credit float64
	last   time.Time
}

// Earn counts a request that was sent to the service.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.credit = min(maximumCredit, b.credit+earned)
}

// Spend reports whether a request may be sent once more, and counts it.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.credit = 1
	} else {
		b.credit = min(maximumCredit, b.credit+granted*now.Sub(b.last).Seconds())
	}
	b.last = now
}
