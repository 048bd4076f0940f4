package slot

import (
	"slices"
	"time"
)

const (
	// maximumDeadlineShare is the share of the time until its deadline that the expected wait and service of an
	// arriving job may take.
	maximumDeadlineShare = 0.9
	// maximumLateWait is how long a job may have been in the queue once it is late, which means that it would miss its
	// target even if it started at once. After that it is refused.
	maximumLateWait = 250 * time.Millisecond
	// maximumLateExpectedWait is the longest expected wait with which a job that is late on arrival is queued.
	maximumLateExpectedWait = 120 * time.Millisecond
	// maximumLateShare bounds both waits for jobs with little time, as a share of the time from arrival to deadline.
	maximumLateShare = 0.25
)

// runningJob is a job that has a slot.
type runningJob struct {
	job Job
	// started is when the job got its slot or, for a granted slot, when it was claimed.
	started time.Time
	// claimDeadline is when the grant of the slot expires; it is zero for a slot that was claimed or taken without a
	// grant.
	claimDeadline time.Time
}

// Controller assigns the slots of one backend server. It starts jobs with large answers only as fast as the outgoing
// link can send these. It is not safe for concurrent use.
type Controller struct {
	// Link is the outgoing link of the instance; it is set before use, or nil for a link without limit.
	Link Link

	slots      int
	isDraining bool
	running    map[Ticket]*runningJob
	queue      []queuedJob
	// serviceTimes are the mean times from the start of a job to its answer.
	serviceTimes estimates
	// sendTimes are the mean times that the link takes to send a large answer. They are indexed directly, so that a class
	// without samples counts as 0 and not as defaultServiceTime.
	sendTimes estimates
	// claims estimates how many of the granted slots are used.
	claims claims
	// starts bounds how many jobs start in a second.
	starts     starts
	flood      floodTurns
	lastTicket Ticket
}

// NewController returns a controller without slots; SetSlots or Reset adds them.
func NewController() *Controller {
	return &Controller{running: map[Ticket]*runningJob{}, serviceTimes: estimates{}, sendTimes: estimates{}}
}

// SetSlots changes the number of slots; running jobs keep theirs even if there are now fewer slots.
func (c *Controller) SetSlots(n int) { c.slots = n }

// Slots returns the number of jobs that may run at once.
func (c *Controller) Slots() int { return c.slots }

// SetRate changes how many jobs may start in a second; Unlimited removes the limit.
func (c *Controller) SetRate(now time.Time, perSecond float64) { c.starts.setRate(now, perSecond) }

// StartWait returns how long the limit of SetRate would keep a job that arrived now from its start.
func (c *Controller) StartWait(now time.Time) time.Duration { return c.starts.wait(now, 0) }

// Running returns the number of jobs that have a slot, including granted slots that are not claimed yet.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the sum of the shares of the queued jobs, rounded up to whole requests.
func (c *Controller) Waiting() int {
	total := 0.0
	for _, q := range c.queue {
		total += q.job.Share
	}
	return int(total + 0.999)
}

// MeanServiceTime returns the mean service time of a class, or 100 ms if none of its jobs has finished yet.
func (c *Controller) MeanServiceTime(class string) time.Duration { return c.serviceTimes.mean(class) }

// Drain refuses all queued jobs, which it returns as status changes, and all jobs that arrive until Reset; running jobs
// go on.
func (c *Controller) Drain() []StatusChange {
	c.isDraining = true
	var changes []StatusChange
	for _, q := range c.queue {
		changes = append(changes, StatusChange{ticket: q.ticket, reason: ReasonDraining})
	}
	c.queue = nil
	return changes
}

// Reset refuses all queued jobs, which it returns as status changes, and accepts jobs again for another incarnation of
// the backend server. The mean times start anew; jobs that run keep their slots until they are released.
func (c *Controller) Reset(slots int) []StatusChange {
	changes := c.Drain()
	c.isDraining = false
	c.slots = slots
	c.serviceTimes = estimates{}
	c.sendTimes = estimates{}
	c.claims = claims{}
	c.starts = starts{}
	return changes
}

// ServiceTime returns the mean service time of a class, or defaultServiceTime if none of its jobs has finished yet.
func (c *Controller) ServiceTime(class string) time.Duration { return c.serviceTimes.mean(class) }

// Arrive decides on a new job: it runs at once if a slot and the link are free, the rate limit allows it and no queued
// job can take the slot; otherwise it is queued or refused. A job that may not wait is never queued. The ticket is 0 and
// the reason is set only for a refused job.
func (c *Controller) Arrive(now time.Time, j Job, mayWait bool) (Ticket, Decision, Reason) {
	if c.isDraining {
		return 0, Refuse, ReasonDraining
	}
	c.lastTicket++
	j = c.reserveSendTime(now, j)
	if c.hasFreeSlot() && c.hasLinkCapacity(now, j) && c.nextQueued(now) < 0 && c.starts.take(now) {
		c.running[c.lastTicket] = &runningJob{job: j, started: now}
		return c.lastTicket, Run, ""
	}
	if !mayWait {
		return 0, Refuse, ReasonBusy
	}
	if c.isWaitTooLong(now, j, c.slotWait(now, j)) {
		return 0, Refuse, ReasonWaitTooLong
	}
	if wait := c.linkWait(now, j); c.isWaitTooLong(now, j, wait) || c.isLinkWaitTooLong(now, j, wait) {
		return 0, Refuse, ReasonLinkWaitTooLong
	}
	if c.isWaitTooLong(now, j, c.startWait(now, j)) {
		return 0, Refuse, ReasonRateWaitTooLong
	}
	c.queue = append(c.queue, queuedJob{ticket: c.lastTicket, job: j, arrived: now})
	return c.lastTicket, Wait, ""
}

// isWaitTooLong reports whether a new job has to be refused because of an expected wait.
//
// Wait and service must fit into the time until the deadline. A job that can meet its target now must still be able to
// after the wait: one that became late in the queue would take a slot from a job that can be in time. A job that is
// late on arrival is queued only for a short wait, for a slot that no other job needs. The target doesn't count for
// nested jobs.
func (c *Controller) isWaitTooLong(now time.Time, j Job, wait time.Duration) bool {
	if float64(wait+c.serviceTimes.mean(j.Class)) > maximumDeadlineShare*float64(j.Deadline.Sub(now)) {
		return true
	}
	if j.IsNested {
		return false
	}
	if isLate(now, c.serviceTimes, j) {
		return wait > min(maximumLateExpectedWait, lateShare(now, j))
	}
	return isLate(now.Add(wait), c.serviceTimes, j)
}

// slotWait returns how long a new job would wait for a slot, or an hour if there are none.
//
// The wait for a slot is the work ahead of the job divided by the number of slots. The work ahead is the service times
// of the queued jobs that go first and, if no slot is free, half a mean service time of the job's own class for the
// jobs that run: on average, half of their work is still to be done.
//
// Slots that run jobs of a higher priority don't count, up to half of all slots: as many such jobs will arrive and take
// them again.
func (c *Controller) slotWait(now time.Time, j Job) time.Duration {
	if c.slots <= 0 {
		return time.Hour
	}
	ahead := c.workAhead(now, j, func(q Job) time.Duration { return c.serviceTimes.mean(q.Class) })
	if !c.hasFreeSlot() {
		ahead += float64(c.serviceTimes.mean(j.Class)) / 2
	}
	urgent := 0
	for _, r := range c.running {
		if compareRank(r.job, j) < 0 {
			urgent++
		}
	}
	return time.Duration(ahead / float64(max((c.slots+1)/2, c.slots-urgent)))
}

// startWait returns how long the rate limit would keep a new job from its start, after the queued jobs that go first.
func (c *Controller) startWait(now time.Time, j Job) time.Duration {
	ahead := 0.0
	for _, q := range c.queue {
		if compareJobs(now, c.serviceTimes, q.job, j) <= 0 {
			ahead += q.job.Share
		}
	}
	return c.starts.wait(now, ahead)
}

// Grant marks the slot that a job got as granted to a reservation, whose call is still to arrive: the grant expires
// unless Claim is called before the deadline.
func (c *Controller) Grant(t Ticket, claimDeadline time.Time) {
	if r, ok := c.running[t]; ok {
		r.claimDeadline = claimDeadline
	}
}

// Claim starts the job of a granted slot; it returns false if the grant has expired, is already claimed or was never
// made.
func (c *Controller) Claim(now time.Time, t Ticket) bool {
	r, ok := c.running[t]
	if !ok || r.claimDeadline.IsZero() {
		return false
	}
	r.claimDeadline = time.Time{}
	r.started = now
	c.claims.record(true)
	return true
}

// hasFreeSlot reports whether another job may get a slot: the running jobs and those of the granted ones that will
// probably be claimed leave one free.
func (c *Controller) hasFreeSlot() bool {
	if len(c.running) < c.slots {
		return true
	}
	granted := 0
	for _, r := range c.running {
		if !r.claimDeadline.IsZero() {
			granted++
		}
	}
	taken := float64(len(c.running)-granted) + c.claims.share()*float64(granted)
	return taken <= float64(c.slots-1) && float64(len(c.running)) < maximumOvercommit*float64(c.slots)
}

// remove frees the slot of a job. The start of one whose grant was never claimed does not count for the rate limit.
func (c *Controller) remove(t Ticket) {
	if r, ok := c.running[t]; ok && !r.claimDeadline.IsZero() {
		c.claims.record(false)
		c.starts.giveBack()
	}
	delete(c.running, t)
}

// Finish frees the slot of an answered job, updates the mean service time of its class and fills the free slots.
func (c *Controller) Finish(now time.Time, t Ticket) []StatusChange {
	if r, ok := c.running[t]; ok {
		c.serviceTimes.update(r.job.Class, now.Sub(r.started))
	}
	return c.Release(now, t)
}

// Release frees the slot of a job without an update of the mean service time and fills the free slots.
func (c *Controller) Release(now time.Time, t Ticket) []StatusChange {
	c.remove(t)
	return c.Advance(now)
}

// Cancel removes a job from the queue and reports whether it was there.
func (c *Controller) Cancel(t Ticket) bool {
	before := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(q queuedJob) bool { return q.ticket == t })
	return len(c.queue) < before
}

// Advance applies the time that has passed: it refuses queued jobs that have waited too long, frees slots whose grant
// has expired and starts queued jobs in the free slots. It returns a status change for each of these jobs.
func (c *Controller) Advance(now time.Time) []StatusChange {
	changes := c.removeOverdue(now)
	for c.hasFreeSlot() {
		next := c.nextQueued(now)
		if next < 0 || !c.starts.take(now) {
			break
		}
		q := c.queue[next]
		c.queue = slices.Delete(c.queue, next, next+1)
		c.flood.record(q.job, c.isFloodWaiting())
		c.running[q.ticket] = &runningJob{job: q.job, started: now}
		changes = append(changes, StatusChange{ticket: q.ticket})
	}
	return changes
}

// removeOverdue frees slots whose grant has expired and removes jobs that have waited too long from the queue.
func (c *Controller) removeOverdue(now time.Time) []StatusChange {
	var changes []StatusChange
	for t, r := range c.running {
		if !r.claimDeadline.IsZero() && !now.Before(r.claimDeadline) {
			c.remove(t)
			changes = append(changes, StatusChange{ticket: t, reason: ReasonGrantExpired})
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(q queuedJob) bool {
		if !c.hasWaitedTooLong(now, q) {
			return false
		}
		reason := ReasonWaitedTooLong
		if !c.hasLinkCapacity(now, q.job) {
			reason = ReasonLinkWaitedTooLong
		}
		changes = append(changes, StatusChange{ticket: q.ticket, reason: reason})
		return true
	})
	return changes
}

// hasWaitedTooLong reports whether a queued job has to be refused: it can't be answered before its deadline any more,
// or it is late and has waited for longer than maximumLateWait. The latter does not apply to nested jobs.
func (c *Controller) hasWaitedTooLong(now time.Time, q queuedJob) bool {
	if now.Add(c.serviceTimes.mean(q.job.Class)).After(q.job.Deadline) {
		return true
	}
	return !q.job.IsNested && isLate(now, c.serviceTimes, q.job) && now.Sub(q.arrived) > min(maximumLateWait, lateShare(q.arrived, q.job))
}

// lateShare returns the longest wait of a late job by its deadline.
func lateShare(arrived time.Time, j Job) time.Duration {
	return time.Duration(maximumLateShare * float64(j.Deadline.Sub(arrived)))
}

// nextQueued returns the index in the queue of the job that gets the next free slot, or -1 if the queue is empty or the
// link can send the answer of none of its jobs in time.
func (c *Controller) nextQueued(now time.Time) int {
	best := -1
	for i, q := range c.queue {
		if !c.hasLinkCapacity(now, q.job) {
			continue
		}
		if best < 0 || c.flood.compare(now, c.serviceTimes, q.job, c.queue[best].job) < 0 {
			best = i
		}
	}
	return best
}
