package rollout

import (
	"time"

	"siskinspar.example/sidecar/member"
)

// ownCaution is the caution of the judge of one daemon's own counts: each daemon has one.
const ownCaution = 1.3

// Course is the roll-out of one service as one daemon knows it. It is not safe for concurrent use.
type Course struct {
	bounds Bounds
	latest Rollout
	// begunAt is the time of the order, steppedAt when the latest step came into force here.
	begunAt, steppedAt time.Time
	// heardAt is when the roll-out controller last confirmed the step, as far as this daemon has heard; it is zero before.
	heardAt time.Time
	tally   Tally
	// own judges the counts of this daemon, all those that were reported to it.
	own, all Judge
	meter    Meter
	// storeTime is how long the latest write of a step took.
	storeTime time.Duration
	// unsent are counts of reports that failed.
	unsent []Count
}

// newCourse returns the course of a roll-out whose order is as old as elapsed.
func newCourse(now time.Time, r Rollout, elapsed time.Duration, b Bounds) *Course {
	return &Course{bounds: b, latest: r, begunAt: now.Add(-elapsed), steppedAt: now, own: Judge{Caution: ownCaution}}
}

// Rollout returns the latest step that is known.
func (c *Course) Rollout() Rollout { return c.latest }

// Elapsed returns the time since the order.
func (c *Course) Elapsed(now time.Time) time.Duration { return max(0, now.Sub(c.begunAt)) }

// unheard is the silence of a step that the roll-out controller was never heard to confirm.
const unheard = time.Hour

// Silence returns the time since the roll-out controller last confirmed the step.
func (c *Course) Silence(now time.Time) time.Duration {
	if c.heardAt.IsZero() {
		return unheard
	}
	return min(max(0, now.Sub(c.heardAt)), unheard)
}

// Confirm records that the roll-out controller knew the latest step at a time.
func (c *Course) Confirm(at time.Time) {
	if at.After(c.heardAt) {
		c.heardAt = at
	}
}

// Apply makes a roll-out of the same order the latest one if it supersedes that, and reports whether it does.
func (c *Course) Apply(now time.Time, r Rollout) bool {
	if !r.Order.IsSame(c.latest.Order) || !r.Supersedes(c.latest) {
		// The same step may have been stored since.
		if r.IsStored && r.Order.IsSame(c.latest.Order) && r.Step.Number == c.latest.Step.Number && r.Step.State == c.latest.Step.State {
			c.latest.IsStored = true
		}
		return false
	}
	if r.Order.era < c.latest.Order.era {
		r.Order.era = c.latest.Order.era
	}
	c.latest, c.steppedAt = r, now
	return true
}

// RecordStoreTime records how long a write of a step took.
func (c *Course) RecordStoreTime(d time.Duration) { c.storeTime = d }

// InForce returns the time for which the latest step has been in force here.
func (c *Course) InForce(now time.Time) time.Duration { return now.Sub(c.steppedAt) }

// Totals returns the numbers of requests of this daemon since the order: all, and those at the target version.
func (c *Course) Totals() (requests, exposed int) { return c.tally.Totals() }

// Begin sets the time of the order, as the store or the roll-out controller knows it.
func (c *Course) Begin(at time.Time) { c.begunAt = at }

// Observe counts the result of a request of a route at a backend server.
func (c *Course) Observe(route string, s member.Server, r Result) {
	server := ""
	if s.Version == c.latest.Order.target {
		server = s.ID
	}
	if s.Cold > 0 {
		// A backend server that has just started is slow, of whatever version.
		r.Time = 0
	}
	c.tally.Record(route, server, r)
}

// Take returns the counts since the call before for the report of this daemon, and the numbers of requests since the
// order. The daemon's own judge gets the counts too.
func (c *Course) Take() (counts []Count, requests, exposed int) {
	counts = c.tally.Take()
	c.own.Add(counts)
	counts = append(c.unsent, counts...)
	c.unsent = nil
	requests, exposed = c.tally.Totals()
	return counts, requests, exposed
}

// maximumUnsent bounds the counts that are kept of reports that failed; the latest are kept.
const maximumUnsent = 500

// Return keeps the counts of a report that failed for the next one.
func (c *Course) Return(counts []Count) {
	c.unsent = append(c.unsent, counts...)
	c.unsent = c.unsent[max(0, len(c.unsent)-maximumUnsent):]
}

// Receive adds the report of an entry daemon.
func (c *Course) Receive(now time.Time, from Entry, counts []Count, requests, exposed int) {
	c.all.Add(counts)
	c.meter.Record(now, from, requests, exposed)
}

// JudgeOwn rolls back if the counts of this daemon show that the target version is bad, and reports whether it did.
func (c *Course) JudgeOwn(now time.Time) bool {
	if c.latest.Step.IsEnded() {
		return false
	}
	v := c.own.Verdict(now)
	return v.IsBad && c.Apply(now, c.latest.RollBack("own counts of one daemon: "+v.Reason))
}

// JudgeAll rolls back if the counts that were reported show that the target version is bad, and reports whether it did.
func (c *Course) JudgeAll(now time.Time) bool {
	if c.latest.Step.IsEnded() {
		return false
	}
	v := c.all.Verdict(now)
	return v.IsBad && c.Apply(now, c.latest.RollBack(v.Reason))
}

// Load returns the load of the service, given the number of daemons that should report.
func (c *Course) Load(now time.Time, daemons int) Load {
	return c.meter.Load(now, c.steppedAt, daemons)
}

// Next returns the roll-out with the next step, or false if none is due. It is only put in force by Apply, once it is on
// the store.
func (c *Course) Next(now time.Time, daemons int) (Rollout, bool) {
	p := Plan{Order: c.latest.Order, Bounds: c.bounds, StoreTime: c.storeTime}
	l := c.Load(now, daemons)
	step, isDue := p.Next(c.Elapsed(now), now.Sub(c.steppedAt), c.latest.Step, l, Verdict{})
	if isDue && step.State == Completed {
		// The latest counts may be those that show that the version is bad.
		step, isDue = p.Next(c.Elapsed(now), now.Sub(c.steppedAt), c.latest.Step, l, c.all.Settle(now))
	}
	return Rollout{Order: c.latest.Order, Step: step}, isDue
}

// Divide divides the candidates of a request, as Rollout.Divide does.
func (c *Course) Divide(now time.Time, all []member.Candidate, q Request) (canary, rest []member.Candidate) {
	m := Moment{Elapsed: c.Elapsed(now), EndedFor: now.Sub(c.steppedAt), IsSilent: c.Silence(now) > c.bounds.SilenceLimit()}
	return c.latest.Divide(all, m, q)
}
