package slot

import "time"

// floodTurn is the number of jobs of one priority of which one belongs to an organisation that floods, while such jobs
// wait. An organisation may not be served less than a quarter as often as all.
const floodTurn = 4

// floodTurns gives the jobs of organisations that flood their turns. It answers the load of an organisation that sends
// several times what it usually does while slots or the link are short: the others are served as without it, and it gets
// what they leave, but one turn in floodTurn at least.
type floodTurns struct {
	// passed is the number of other jobs that got a slot in a row while one of a flood waited.
	passed int
}

// record counts a job that gets a slot; isWaiting says whether a job of a flood still waits.
func (f *floodTurns) record(j Job, isWaiting bool) {
	if j.IsFlood || !isWaiting {
		f.passed = 0
		return
	}
	f.passed++
}

// isTurn reports whether the next slot goes to a job of a flood.
func (f *floodTurns) isTurn() bool { return f.passed >= floodTurn-1 }

// compare orders jobs as compareJobs does, except that a job of a flood goes before others of its priority when it is its
// turn.
func (f *floodTurns) compare(now time.Time, serviceTimes estimates, a, b Job) int {
	if a.IsFlood != b.IsFlood && f.isTurn() && compareRank(a, b) == 0 && !isLate(now, serviceTimes, a) && !isLate(now, serviceTimes, b) {
		return firstIf(a.IsFlood)
	}
	return compareJobs(now, serviceTimes, a, b)
}

// isFloodWaiting reports whether a job of an organisation that floods waits.
func (c *Controller) isFloodWaiting() bool {
	for _, q := range c.queue {
		if q.job.IsFlood {
			return true
		}
	}
	return false
}

// workAhead returns the sum, in nanoseconds, of the work of the queued jobs that go before a new one, each counted by its
// share. A job of a flood has at most floodTurn times the work of the flood ahead of it, because of its turns.
func (c *Controller) workAhead(now time.Time, j Job, work func(q Job) time.Duration) float64 {
	var all, flood float64
	for _, q := range c.queue {
		if compareJobs(now, c.serviceTimes, q.job, j) > 0 {
			continue
		}
		amount := q.job.Share * float64(work(q.job))
		all += amount
		if q.job.IsFlood || compareRank(q.job, j) < 0 {
			flood += amount
		}
	}
	if !j.IsFlood {
		return all
	}
	return min(all, floodTurn*(flood+float64(work(j))))
}
