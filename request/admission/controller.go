package admission

import (
	"slices"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/request/outcome"
)

const (
	// longFactor is the multiple of the shortest service time of all intents above which an intent counts as long.
	longFactor = 4
	// longShare is the share of the available slots that long requests may hold, so that short ones find a free slot.
	longShare = 0.8
	// smoothing is the weight of a new sample in the moving averages of service times and queue departures.
	smoothing = 0.1
	// maximumWaitShare is the share of the time left to the deadline that the estimated wait and service time of a
	// request may take; a request over it is refused on arrival.
	maximumWaitShare = 0.9
	// minimumSamples is the number of finished requests that an intent needs before its service time is used.
	minimumSamples = 8
)

// Request describes a request that asks for a slot.
type Request struct {
	// Intent names the intent for which the service time is learned.
	Intent string
	// Priority orders the queue.
	Priority declaration.Priority
	// Deadline is when the request is refused if it still waits.
	Deadline time.Time
	// IsProtected is set for the requests of intents with a protected share; they may take the protected slots too.
	IsProtected bool
}

// Ticket identifies an admitted or waiting request.
type Ticket uint64

// Decision is the decision on an arriving request.
type Decision int

// The decisions on an arriving request.
const (
	// DecisionDispatch gives the request a slot at once.
	DecisionDispatch Decision = iota
	// DecisionWait puts the request into the queue.
	DecisionWait
	// DecisionRefuse refuses the request before it runs.
	DecisionRefuse
)

// QueueResult reports that a waiting request left the queue, either for a slot or with a refusal.
type QueueResult struct {
	ticket Ticket
	reason outcome.Reason
}

// Ticket returns the ticket of the request that left the queue.
func (r QueueResult) Ticket() Ticket { return r.ticket }

// IsDispatch reports whether the request got a slot; if not, it was refused.
func (r QueueResult) IsDispatch() bool { return r.reason == "" }

// Reason returns why the request was refused, or "" if it got a slot.
func (r QueueResult) Reason() outcome.Reason { return r.reason }

// Limits are the bounds of one backend server.
type Limits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that wait at once.
	Queue int
	// ProtectedSlots is the number of slots that are kept for the requests of intents with a protected share, those with
	// IsProtected, so that these find a free slot while the requests of other intents fill the rest.
	ProtectedSlots int
	// WarmUp is the time after the start over which the number of available slots grows from one to Slots.
	WarmUp time.Duration
}

// trackedRequest is a request that waits or runs.
type trackedRequest struct {
	ticket  Ticket
	request Request
	// started is when the request got its slot; it is zero while the request waits.
	started time.Time
}

// departures measures how fast the requests of one priority leave the queue.
type departures struct {
	// interval is the moving average of the time between two departures.
	interval time.Duration
	last     time.Time
}

// record updates the average with the departure of a request.
func (d *departures) record(now time.Time) {
	if !d.last.IsZero() {
		d.interval += time.Duration(smoothing * float64(now.Sub(d.last)-d.interval))
	}
	d.last = now
}

// estimateWait returns the expected wait of a request with the given number of its priority ahead, or 0 before the
// first departure.
//
// If the last departure is longer ago than the average interval, that time is used instead, since the average does not
// change while no request leaves the queue.
func (d *departures) estimateWait(now time.Time, ahead int) time.Duration {
	if d.last.IsZero() {
		return 0
	}
	return time.Duration(ahead) * max(d.interval, now.Sub(d.last))
}

// intentStatistics holds the moving average of the service time of one intent.
type intentStatistics struct {
	serviceTime time.Duration
	samples     int
}

// Controller assigns the slots of one backend server to requests.
//
// It is not safe for concurrent use. It starts no timers: the caller passes the time and calls Tick regularly.
type Controller struct {
	limits  Limits
	started time.Time
	running map[Ticket]trackedRequest
	waiting []trackedRequest
	// intents is by the name of the intent, departures by the rank of the priority.
	intents    map[string]*intentStatistics
	departures map[int]*departures
	lastTicket Ticket
	isDraining bool
}

// NewController returns a controller for a backend server that started at the given time.
func NewController(l Limits, started time.Time) *Controller {
	return &Controller{limits: l, started: started, running: map[Ticket]trackedRequest{}, intents: map[string]*intentStatistics{}, departures: map[int]*departures{}}
}

// SetLimits changes the bounds. Running requests keep their slots and waiting ones their position in the queue.
func (c *Controller) SetLimits(l Limits) { c.limits = l }

// Drain refuses all waiting requests, with the returned results, and all that arrive until Resume.
func (c *Controller) Drain() []QueueResult {
	c.isDraining = true
	results := make([]QueueResult, 0, len(c.waiting))
	for _, tr := range c.waiting {
		results = append(results, QueueResult{ticket: tr.ticket, reason: outcome.ReasonDraining})
	}
	c.waiting = nil
	return results
}

// Resume ends a drain, so that arriving requests are admitted again.
func (c *Controller) Resume() { c.isDraining = false }

// Slots returns the number of requests that may run at once.
func (c *Controller) Slots() int { return c.limits.Slots }

// Running returns the number of requests that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of requests in the queue.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Arrive decides on an arriving request.
//
// The reason is set if it is refused; the ticket is then 0. The results are for waiting requests that are refused now:
// those whose deadline has passed and the one that the new request displaced from a full queue.
func (c *Controller) Arrive(now time.Time, q Request) (Ticket, Decision, outcome.Reason, []QueueResult) {
	if c.isDraining {
		return 0, DecisionRefuse, outcome.ReasonDraining, nil
	}
	results := c.expire(now)
	c.lastTicket++
	tr := trackedRequest{ticket: c.lastTicket, request: q}
	if !c.hasWaitingBefore(q) && c.hasFreeSlot(now, q) {
		c.dispatch(now, tr)
		return tr.ticket, DecisionDispatch, "", results
	}
	if c.wouldWaitTooLong(now, q) {
		return 0, DecisionRefuse, outcome.ReasonDeadline, results
	}
	if len(c.waiting) >= c.limits.Queue {
		displaced, ok := c.displace(q)
		if !ok {
			return 0, DecisionRefuse, outcome.ReasonQueueFull, results
		}
		results = append(results, displaced)
	}
	c.enqueue(tr)
	return tr.ticket, DecisionWait, "", results
}

// Finish frees the slot of a request and returns the results for waiting requests that get a slot or are refused.
func (c *Controller) Finish(now time.Time, t Ticket) []QueueResult {
	tr, ok := c.running[t]
	if !ok {
		return nil
	}
	delete(c.running, t)
	c.recordServiceTime(tr.request.Intent, now.Sub(tr.started))
	return c.dispatchWaiting(now)
}

// Cancel removes a waiting request from the queue.
func (c *Controller) Cancel(t Ticket) {
	c.waiting = slices.DeleteFunc(c.waiting, func(tr trackedRequest) bool { return tr.ticket == t })
}

// Tick refuses waiting requests whose deadline has passed and assigns slots that the warm-up has made available.
func (c *Controller) Tick(now time.Time) []QueueResult { return c.dispatchWaiting(now) }

// dispatchWaiting gives slots to waiting requests in the order of the queue and refuses those that are too late.
func (c *Controller) dispatchWaiting(now time.Time) []QueueResult {
	results := c.expire(now)
	for {
		i := slices.IndexFunc(c.waiting, func(tr trackedRequest) bool { return c.hasFreeSlot(now, tr.request) })
		if i < 0 {
			return results
		}
		tr := c.waiting[i]
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.departuresOf(tr.request).record(now)
		if c.isTooLate(now, tr.request) {
			results = append(results, QueueResult{ticket: tr.ticket, reason: outcome.ReasonDeadline})
			continue
		}
		c.dispatch(now, tr)
		results = append(results, QueueResult{ticket: tr.ticket})
	}
}

// expire removes the waiting requests whose deadline has passed and returns their refusals.
func (c *Controller) expire(now time.Time) []QueueResult {
	var results []QueueResult
	c.waiting = slices.DeleteFunc(c.waiting, func(tr trackedRequest) bool {
		if tr.request.Deadline.After(now) {
			return false
		}
		results = append(results, QueueResult{ticket: tr.ticket, reason: outcome.ReasonDeadline})
		return true
	})
	return results
}

func (c *Controller) dispatch(now time.Time, tr trackedRequest) {
	tr.started = now
	c.running[tr.ticket] = tr
}

// enqueue inserts a request by priority, and after the earlier ones of the same priority.
func (c *Controller) enqueue(tr trackedRequest) {
	i := slices.IndexFunc(c.waiting, func(o trackedRequest) bool { return rank(o.request) > rank(tr.request) })
	if i < 0 {
		i = len(c.waiting)
	}
	c.waiting = slices.Insert(c.waiting, i, tr)
}

// displace removes the last request of the queue, and returns its refusal, if its priority is lower than that of q.
func (c *Controller) displace(q Request) (QueueResult, bool) {
	if len(c.waiting) == 0 {
		return QueueResult{}, false
	}
	last := c.waiting[len(c.waiting)-1]
	if rank(last.request) <= rank(q) {
		return QueueResult{}, false
	}
	c.waiting = c.waiting[:len(c.waiting)-1]
	return QueueResult{ticket: last.ticket, reason: outcome.ReasonDisplaced}, true
}

// rank returns the place of the priority of a request in the queue, the highest priority first.
func rank(q Request) int { return q.Priority.Rank() }

// hasWaitingBefore reports whether a waiting request goes before q.
//
// Such a waiting request has the same or a higher priority than q, and the same protection and length, so it could use
// any slot that q could.
func (c *Controller) hasWaitingBefore(q Request) bool {
	return slices.ContainsFunc(c.waiting, func(tr trackedRequest) bool {
		return rank(tr.request) <= rank(q) && tr.request.IsProtected == q.IsProtected && c.isLong(tr.request.Intent) == c.isLong(q.Intent)
	})
}

// wouldWaitTooLong reports whether an arriving request would probably be answered too late.
//
// Its estimated wait behind the waiting requests of its priority and its service time then exceed maximumWaitShare of
// the time to its deadline. A request with none of its priority ahead is always accepted: no wait can be estimated for
// it, and dispatchWaiting refuses it if it would end after its deadline when its turn comes.
func (c *Controller) wouldWaitTooLong(now time.Time, q Request) bool {
	ahead := 0
	for _, tr := range c.waiting {
		if rank(tr.request) == rank(q) {
			ahead++
		}
	}
	if ahead == 0 {
		return false
	}
	needed := c.departuresOf(q).estimateWait(now, ahead) + c.expectedServiceTime(q.Intent)
	return float64(needed) > maximumWaitShare*float64(q.Deadline.Sub(now))
}

// isTooLate reports whether a request that starts now is expected to end after its deadline.
func (c *Controller) isTooLate(now time.Time, q Request) bool {
	return now.Add(c.expectedServiceTime(q.Intent)).After(q.Deadline)
}

// expectedServiceTime returns the learned service time of an intent, or 0 before it has minimumSamples.
func (c *Controller) expectedServiceTime(intent string) time.Duration {
	if s, ok := c.intents[intent]; ok && s.samples >= minimumSamples {
		return s.serviceTime
	}
	return 0
}

func (c *Controller) departuresOf(q Request) *departures {
	d, ok := c.departures[rank(q)]
	if !ok {
		d = &departures{}
		c.departures[rank(q)] = d
	}
	return d
}

// availableSlots returns the number of slots that the warm-up has made available, at least 1.
func (c *Controller) availableSlots(now time.Time) int {
	age := now.Sub(c.started)
	if c.limits.WarmUp <= 0 || age >= c.limits.WarmUp {
		return max(1, c.limits.Slots)
	}
	return max(1, int(float64(c.limits.Slots)*float64(age)/float64(c.limits.WarmUp)))
}

// hasFreeSlot reports whether a slot is free that q may take.
//
// Requests without IsProtected leave the protected slots free, and long ones stay within longShare of the slots.
func (c *Controller) hasFreeSlot(now time.Time, q Request) bool {
	available := c.availableSlots(now)
	if len(c.running) >= available {
		return false
	}
	protected := min(c.limits.ProtectedSlots, available-1)
	if !q.IsProtected && c.countRunning(func(tr trackedRequest) bool { return !tr.request.IsProtected }) >= available-protected {
		return false
	}
	if !c.isLong(q.Intent) {
		return true
	}
	return c.countRunning(func(tr trackedRequest) bool { return c.isLong(tr.request.Intent) }) < max(1, int(longShare*float64(available)))
}

// countRunning returns the number of running requests for which matches returns true.
func (c *Controller) countRunning(matches func(trackedRequest) bool) int {
	n := 0
	for _, tr := range c.running {
		if matches(tr) {
			n++
		}
	}
	return n
}

// recordServiceTime updates the average service time of an intent.
func (c *Controller) recordServiceTime(intent string, took time.Duration) {
	s, ok := c.intents[intent]
	if !ok {
		s = &intentStatistics{}
		c.intents[intent] = s
	}
	s.samples++
	if s.samples == 1 {
		s.serviceTime = took
		return
	}
	s.serviceTime += time.Duration(smoothing * float64(took-s.serviceTime))
}

// shortestServiceTime returns the shortest learned service time of all intents, or 0 while none has minimumSamples.
func (c *Controller) shortestServiceTime() time.Duration {
	var shortest time.Duration
	for _, s := range c.intents {
		if s.samples >= minimumSamples && (shortest == 0 || s.serviceTime < shortest) {
			shortest = s.serviceTime
		}
	}
	return shortest
}

// isLong reports whether the service time of an intent is above longFactor times the shortest; an intent with fewer
// than minimumSamples is not long.
func (c *Controller) isLong(intent string) bool {
	s, ok := c.intents[intent]
	return ok && s.samples >= minimumSamples && s.serviceTime > longFactor*c.shortestServiceTime()
}
