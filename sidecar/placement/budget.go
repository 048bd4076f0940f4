package placement

import "time"

// In sum, all daemons together may spend over one window ratioShare*Ratio for each request, slackShare+burstShare of
// Slack, and one extra attempt for each daemon; see Budget.maximum.
const (
	// ratioShare is the share of RetryAllowance.Ratio that each request earns for its daemon. The rest is for the nested
	// requests of requests that run again: these count as extra attempts as well.
	ratioShare = 0.4
	// slackShare is the share of RetryAllowance.Slack that all daemons together earn evenly over a window.
	slackShare = 0.35
	// burstShare is the share of RetryAllowance.Slack that all daemons together may save up, and then spend at once.
	burstShare = 0.4
)

// RetryAllowance bounds the extra attempts of requests for one service, over all daemons. An extra attempt is a retry
// after a failed attempt, or a hedge, which is sent before the first attempt has an answer.
type RetryAllowance struct {
	// Ratio is the number of extra attempts for each request.
	Ratio float64
	// Slack is the number of extra attempts in a window in addition to Ratio, whatever the number of requests.
	Slack float64
	// Window is the period over which requests and extra attempts are counted.
	Window time.Duration
}

// Budget is the retry budget of one daemon for one service: it bounds the extra attempts of its requests. It keeps
// retries from adding to the load when many backend servers fail at once.
type Budget struct {
	// RetryAllowance is set before use.
	RetryAllowance RetryAllowance

	// credit is the number of extra attempts that may be spent now.
	credit     float64
	lastRefill time.Time
}

// Earn adds the credit of a request that was sent to the service, given the number of daemons that share the allowance.
func (b *Budget) Earn(now time.Time, daemons int) {
	b.refill(now, daemons)
	b.credit = min(b.maximum(daemons), b.credit+ratioShare*b.RetryAllowance.Ratio)
}

// Spend reports whether a failed request may be sent once more, and deducts it from the credit if so.
func (b *Budget) Spend(now time.Time, daemons int) bool {
	b.refill(now, daemons)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// SpendOnHedge reports whether a request that has not failed may be sent to a second backend server, and deducts it
// from the credit if so. At least (maximum-1)/2 of the credit remains for requests that failed.
func (b *Budget) SpendOnHedge(now time.Time, daemons int) bool {
	b.refill(now, daemons)
	if b.credit < (1+b.maximum(daemons))/2 {
		return false
	}
	b.credit--
	return true
}

// maximum returns the largest credit of one daemon; it is at least 1, so that a daemon can save up enough for an
// extra attempt however many daemons share the slack.
func (b *Budget) maximum(daemons int) float64 {
	return 1 + burstShare*b.RetryAllowance.Slack/float64(max(1, daemons))
}

// refill adds this daemon's part of the slack for the time since the last refill; the first one starts with a credit of
// 1.
func (b *Budget) refill(now time.Time, daemons int) {
	if b.lastRefill.IsZero() {
		b.credit = 1
		b.lastRefill = now
		return
	}
	rate := slackShare * b.RetryAllowance.Slack / b.RetryAllowance.Window.Seconds() / float64(max(1, daemons))
	b.credit = min(b.maximum(daemons), b.credit+rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
}
