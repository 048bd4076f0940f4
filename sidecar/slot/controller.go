package slot

import (
	"slices"
	"time"
)

const (
	// usefulShare is the share of the time left that the expected wait and service may take.
	usefulShare = 0.9
	// lateWait bounds the wait of a job that misses its target in any case.
	lateWait = 250 * time.Millisecond
	// lateExpectation is the longest expected wait with which such a job is taken in.
	lateExpectation = 120 * time.Millisecond
)

// running is a job that holds a slot; started is zero until its request has come in.
type running struct {
	job     Job
	started time.Time
	// lapses is when a slot that is held for a request that has not come in is freed; zero once it has.
	lapses time.Time
}

// Controller guards the slots of one backend server and the link over which its large answers leave.
type Controller struct {
	// Link is set before use, or nil for one without bounds.
	Link Link

	slots      int
	isDraining bool
	running    map[Ticket]*running
	queue      []waiting
	times      estimates
	// sendTimes are the times that the large answers of each class take on the link.
	sendTimes estimates
	next      Ticket
}

// NewController returns a controller without slots.
func NewController() *Controller {
	return &Controller{running: map[Ticket]*running{}, times: estimates{}, sendTimes: estimates{}}
}

// SetSlots changes the number of slots; running jobs keep theirs.
func (c *Controller) SetSlots(n int) { c.slots = n }

// Slots returns the number of jobs that may run at once.
func (c *Controller) Slots() int { return c.slots }

// Running returns the number of jobs that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of whole requests that wait, by their shares.
func (c *Controller) Waiting() int {
	total := 0.0
	for _, w := range c.queue {
		total += w.job.Share
	}
	return int(total + 0.999)
}

// Expected returns the mean service time of a class.
func (c *Controller) Expected(class string) time.Duration { return c.times.of(class) }

// Drain refuses all further jobs and those that wait.
func (c *Controller) Drain() []Notice {
	c.isDraining = true
	var notices []Notice
	for _, w := range c.queue {
		notices = append(notices, Notice{ticket: w.ticket, reason: ReasonDraining})
	}
	c.queue = nil
	return notices
}

// Reset forgets all jobs and opens the controller for another incarnation of the backend server.
func (c *Controller) Reset(slots int) []Notice {
	notices := c.Drain()
	c.isDraining = false
	c.slots = slots
	c.times = estimates{}
	c.sendTimes = estimates{}
	return notices
}

// Arrive decides on a job; one that may not wait runs at once or is refused.
func (c *Controller) Arrive(now time.Time, j Job, mayWait bool) (Ticket, Verdict, Reason) {
	if c.isDraining {
		return 0, Refuse, ReasonDraining
	}
	c.next++
	j = c.allowForSending(now, j)
	if len(c.running) < c.slots && c.mayStart(now, j) && c.startable(now) < 0 {
		c.running[c.next] = &running{job: j, started: now}
		return c.next, Run, ""
	}
	if !mayWait {
		return 0, Refuse, ReasonBusy
	}
	if c.isHopeless(now, j) {
		return 0, Refuse, ReasonHopeless
	}
	c.queue = append(c.queue, waiting{ticket: c.next, job: j, arrived: now})
	return c.next, Wait, ""
}

// isHopeless reports whether the jobs ahead leave no time to answer a job in time.
//
// A job that is still in time must stay so: one that turned late in the queue would take the slot from one that is not.
// A job that is late already waits only for a slot that no other job needs.
func (c *Controller) isHopeless(now time.Time, j Job) bool {
	wait := c.ExpectedWait(now, j)
	if float64(wait+c.times.of(j.Class)) > usefulShare*float64(j.Deadline.Sub(now)) {
		return true
	}
	if j.IsNested {
		return false
	}
	if isLate(now, c.times, j) {
		return wait > lateExpectation
	}
	return isLate(now.Add(wait), c.times, j)
}

// ExpectedWait returns how long the jobs ahead of a new one keep it from a slot.
//
// Slots that run more urgent jobs don't count, up to half of all: as many urgent jobs will come and take them again.
func (c *Controller) ExpectedWait(now time.Time, j Job) time.Duration {
	if c.slots <= 0 {
		return time.Hour
	}
	var ahead float64
	for _, w := range c.queue {
		if compare(now, c.times, w.job, j) <= 0 {
			ahead += w.job.Share * float64(c.times.of(w.job.Class))
		}
	}
	if len(c.running) >= c.slots {
		ahead += float64(c.times.of(j.Class)) / 2
	}
	urgent := 0
	for _, r := range c.running {
		if r.job.Priority < j.Priority {
			urgent++
		}
	}
	return max(time.Duration(ahead/float64(max((c.slots+1)/2, c.slots-urgent))), c.linkWait(now, j))
}

// Hold frees the slot of a job unless its request comes in before the given time.
func (c *Controller) Hold(t Ticket, until time.Time) {
	if r, ok := c.running[t]; ok {
		r.lapses = until
	}
}

// Claim starts the job whose slot is held and reports whether it still is.
func (c *Controller) Claim(now time.Time, t Ticket) bool {
	r, ok := c.running[t]
	if !ok || r.lapses.IsZero() {
		return false
	}
	r.lapses = time.Time{}
	r.started = now
	return true
}

// Finish frees the slot of a job whose request was answered and learns from the time that it took.
func (c *Controller) Finish(now time.Time, t Ticket) []Notice {
	if r, ok := c.running[t]; ok {
		c.times.note(r.job.Class, now.Sub(r.started))
	}
	return c.Release(now, t)
}

// Release frees the slot of a job without learning from it.
func (c *Controller) Release(now time.Time, t Ticket) []Notice {
	delete(c.running, t)
	return c.Advance(now)
}

// Cancel takes a waiting job out of the queue and reports whether it was there.
func (c *Controller) Cancel(t Ticket) bool {
	before := len(c.queue)
	c.queue = slices.DeleteFunc(c.queue, func(w waiting) bool { return w.ticket == t })
	return len(c.queue) < before
}

// Advance refuses jobs that have waited too long, frees lapsed slots and fills the free ones.
func (c *Controller) Advance(now time.Time) []Notice {
	notices := c.expire(now)
	for len(c.running) < c.slots {
		next := c.startable(now)
		if next < 0 {
			break
		}
		w := c.queue[next]
		c.queue = slices.Delete(c.queue, next, next+1)
		c.running[w.ticket] = &running{job: w.job, started: now}
		notices = append(notices, Notice{ticket: w.ticket})
	}
	return notices
}

func (c *Controller) expire(now time.Time) []Notice {
	var notices []Notice
	for t, r := range c.running {
		if !r.lapses.IsZero() && !now.Before(r.lapses) {
			delete(c.running, t)
			notices = append(notices, Notice{ticket: t, reason: ReasonLapsed})
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(w waiting) bool {
		if !c.isExpired(now, w) {
			return false
		}
		notices = append(notices, Notice{ticket: w.ticket, reason: ReasonExpired})
		return true
	})
	return notices
}

// isExpired reports whether a job has waited as long as is of use.
func (c *Controller) isExpired(now time.Time, w waiting) bool {
	if now.Add(c.times.of(w.job.Class)).After(w.job.Deadline) {
		return true
	}
	return !w.job.IsNested && isLate(now, c.times, w.job) && now.Sub(w.arrived) > lateWait
}

// startable returns the place in the queue of the job that comes next, or -1 if none may start.
func (c *Controller) startable(now time.Time) int {
	best := -1
	for i, w := range c.queue {
		if !c.mayStart(now, w.job) {
			continue
		}
		if best < 0 || compare(now, c.times, w.job, c.queue[best].job) < 0 {
			best = i
		}
	}
	return best
}
