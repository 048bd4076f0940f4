package rollout

import "time"

const (
	// judgingFactor is the share of the requests for the target version while it is judged, as a part of the exposure
	// share; the rest is left for the time before the end, when it gets all requests.
	judgingFactor = 0.3
	// budgetFactor is the part of the requests that the exposure bound leaves which is used: requests in flight and the
	// time that a step takes to spread are not counted yet.
	budgetFactor = 0.9
	// marginFactor and maximumMargin set the time before the deadline at which the completed step is written.
	marginFactor  = 1.0 / 4
	maximumMargin = 5 * time.Second
	// writesAtEnd is the number of writes from the move until the operator is told of the end: two steps and the status.
	writesAtEnd = 3
	// earliestMove is the part of the time until the margin before which the requests are not moved, however few there are.
	earliestMove = 0.5
	// lateJudging is how long the target version is judged at least if its deadline has passed already.
	lateJudging = 2 * time.Second
	// moveFactor and maximumMove set how long all requests go to the target version at least before the completed step, so
	// that most requests at the old backend servers have ended. A longer time would exceed the bound for a short order.
	moveFactor  = 1.0 / 30
	maximumMove = time.Second
	// reportDelay is the age of the counts of a load, as reports come every half second.
	reportDelay = 700 * time.Millisecond
)

// Bounds limits what a bad version may do.
type Bounds struct {
	// ExposeShare is the part of all requests of a roll-out that a bad version may get, from 0 to 1.
	ExposeShare float64
	// ExposeSlack is the number of requests that it may get beyond that.
	ExposeSlack float64
	// RollbackTime is the time from the 50th bad response within which the last request is sent to a bad version.
	RollbackTime time.Duration
}

// SilenceLimit is the age of the last news of a step above which a daemon sends nothing to the target version.
func (b Bounds) SilenceLimit() time.Duration {
	return time.Duration(silenceFactor * float64(b.RollbackTime))
}

// silenceFactor is the part of Bounds.RollbackTime for which a step may be outdated; the rest is for the verdict.
const silenceFactor = 0.4

// Load is the load of a service over all daemons.
type Load struct {
	// Requests and Exposed are the requests that ran since the order, and those of them at the target version.
	Requests, Exposed float64
	// Rate is the number of requests a second.
	Rate float64
	// IsComplete is true if most daemons that are known have reported lately.
	IsComplete bool
	// IsSeen is true if most of them have reported since the latest step took effect.
	IsSeen bool
}

// Plan decides on the steps of one order.
type Plan struct {
	Order  Order
	Bounds Bounds
	// StoreTime is how long a write of the store takes; the move is written that much earlier.
	StoreTime time.Duration
}

// First returns the first step.
func (p Plan) First() Step { return Step{Number: 1, Share: judgingFactor * p.Bounds.ExposeShare} }

// Next returns the step that has to follow the current one, or false if none is due. Elapsed is the time since the order,
// since the time since the current step is in force.
func (p Plan) Next(elapsed, since time.Duration, current Step, l Load, v Verdict) (Step, bool) {
	switch {
	case current.IsEnded():
		return Step{}, false
	case current.Number == 0:
		return p.First(), true
	case v.IsBad:
		return current.rollBack(v.Reason), true
	case !l.IsComplete:
		return Step{}, false
	case current.Share < 1:
		return Step{Number: current.Number + 1, Share: 1}, p.isMoveDue(elapsed, since, l)
	}
	return Step{State: Completed, Number: current.Number + 1, Share: 1}, p.isEndDue(elapsed, since, l)
}

// end returns the time since the order at which the completed step is written.
func (p Plan) end() time.Duration {
	margin := time.Duration(marginFactor * float64(p.Order.duration))
	margin = min(margin, maximumMargin) + writesAtEnd*p.StoreTime
	return p.Order.duration - min(margin, p.Order.duration/2)
}

// budget returns the number of requests that may still go to the target version if all go there. That these raise the
// number of all requests too, and with it the bound, is left as a reserve for the counts that are not reported yet.
func (p Plan) budget(l Load) float64 {
	return budgetFactor * (p.Bounds.ExposeShare*l.Requests + p.Bounds.ExposeSlack - l.Exposed)
}

// isMoveDue reports whether the budget lasts until the end.
func (p Plan) isMoveDue(elapsed, since time.Duration, l Load) bool {
	end := p.end()
	switch {
	case elapsed >= p.Order.duration:
		return since >= lateJudging
	case elapsed >= end:
		return true
	case float64(elapsed) < earliestMove*float64(end):
		return false
	}
	return l.Rate*(end-elapsed).Seconds() <= p.budget(l)
}

// isEndDue reports whether the completed step is due: its time has come, or the budget is used up. The responses of the
// move have to be known by then, since a version may be bad only under the whole load.
func (p Plan) isEndDue(elapsed, since time.Duration, l Load) bool {
	minimum := min(time.Duration(moveFactor*float64(p.Order.duration)), maximumMove)
	return since >= minimum && l.IsSeen && (elapsed >= p.end() || p.budget(l) <= l.Rate*reportDelay.Seconds())
}
