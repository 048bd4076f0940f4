package admission

import (
	"slices"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/request/outcome"
)

const (
	// longFactor is how many times the typical service time a route has to take to count as long.
	longFactor = 4
	// longShare is the share of the slots that long work may hold while short work exists.
	longShare = 0.8
	// smoothing is the weight of a new service time.
	smoothing = 0.1
	// usefulShare is the share of the time left within which a request has to be answered to be worth its wait.
	usefulShare = 0.9
	// samplesToClass is the number of answers before a route is classed.
	samplesToClass = 8
)

// Request describes a request that asks for a slot.
type Request struct {
	Intent      string
	Priority    declaration.Priority
	Deadline    time.Time
	IsProtected bool
}

// Ticket identifies an admitted or waiting request.
type Ticket uint64

// Verdict is the answer to an arriving request.
type Verdict int

// The verdicts on an arriving request.
const (
	// VerdictDispatch gives the request a slot at once.
	VerdictDispatch Verdict = iota
	// VerdictWait puts the request into the queue.
	VerdictWait
	// VerdictRefuse turns the request away before it runs.
	VerdictRefuse
)

// Notice tells the shell what became of a waiting request.
type Notice struct {
	ticket Ticket
	reason outcome.Reason
}

// Ticket returns the request concerned.
func (n Notice) Ticket() Ticket { return n.ticket }

// IsDispatch reports whether the request got a slot; otherwise it was refused.
func (n Notice) IsDispatch() bool { return n.reason == "" }

// Reason returns why the request was refused.
func (n Notice) Reason() outcome.Reason { return n.reason }

// Limits are the bounds of one backend server.
type Limits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that wait at once.
	Queue int
	// ProtectedSlots is the number of slots that only protected requests may take.
	ProtectedSlots int
	// WarmUp is the time over which the slots open one by one after the start.
	WarmUp time.Duration
}

type entry struct {
	ticket  Ticket
	request Request
	started time.Time
}

// pace is how fast the requests of one priority leave the queue.
type pace struct {
	gap  time.Duration
	last time.Time
}

// note takes in a request that left the queue.
func (p *pace) note(now time.Time) {
	if !p.last.IsZero() {
		p.gap += time.Duration(smoothing * float64(now.Sub(p.last)-p.gap))
	}
	p.last = now
}

// wait estimates how long a request with so many of its priority ahead waits; a pace that has stopped counts as it stands.
func (p *pace) wait(now time.Time, ahead int) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return time.Duration(ahead) * max(p.gap, now.Sub(p.last))
}

type route struct {
	time    time.Duration
	samples int
}

// Controller guards the slots of one backend server; the shell serialises its calls.
type Controller struct {
	limits     Limits
	started    time.Time
	running    map[Ticket]entry
	waiting    []entry
	routes     map[string]*route
	paces      map[int]*pace
	next       Ticket
	isDraining bool
}

// NewController returns a controller for a backend server that started at the given time.
func NewController(l Limits, started time.Time) *Controller {
	return &Controller{limits: l, started: started, running: map[Ticket]entry{}, routes: map[string]*route{}, paces: map[int]*pace{}}
}

// SetLimits changes the bounds; running requests keep their slots.
func (c *Controller) SetLimits(l Limits) { c.limits = l }

// Drain refuses every further request; waiting ones are refused with the returned notices.
func (c *Controller) Drain() []Notice {
	c.isDraining = true
	notices := make([]Notice, 0, len(c.waiting))
	for _, e := range c.waiting {
		notices = append(notices, Notice{ticket: e.ticket, reason: outcome.ReasonDraining})
	}
	c.waiting = nil
	return notices
}

// Resume ends a drain.
func (c *Controller) Resume() { c.isDraining = false }

// Slots returns the number of requests that may run at once.
func (c *Controller) Slots() int { return c.limits.Slots }

// Running returns the number of requests that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of requests in the queue.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Arrive decides on a request; the notices concern requests that it displaced or that have expired.
func (c *Controller) Arrive(now time.Time, q Request) (Ticket, Verdict, outcome.Reason, []Notice) {
	if c.isDraining {
		return 0, VerdictRefuse, outcome.ReasonDraining, nil
	}
	notices := c.expire(now)
	c.next++
	e := entry{ticket: c.next, request: q}
	if !c.hasWaitingBefore(q) && c.fits(now, q) {
		c.dispatch(now, e)
		return e.ticket, VerdictDispatch, "", notices
	}
	if c.isHopeless(now, q) {
		return 0, VerdictRefuse, outcome.ReasonDeadline, notices
	}
	if len(c.waiting) >= c.limits.Queue {
		displaced, ok := c.displace(q)
		if !ok {
			return 0, VerdictRefuse, outcome.ReasonQueueFull, notices
		}
		notices = append(notices, displaced)
	}
	c.enqueue(e)
	return e.ticket, VerdictWait, "", notices
}

// Finish frees the slot of a request and returns the requests that follow it.
func (c *Controller) Finish(now time.Time, t Ticket) []Notice {
	e, ok := c.running[t]
	if !ok {
		return nil
	}
	delete(c.running, t)
	c.learn(e.request.Intent, now.Sub(e.started))
	return c.advance(now)
}

// Cancel takes a waiting request out of the queue.
func (c *Controller) Cancel(t Ticket) {
	c.waiting = slices.DeleteFunc(c.waiting, func(e entry) bool { return e.ticket == t })
}

// Tick refuses waiting requests whose deadline has passed and opens slots that have warmed up.
func (c *Controller) Tick(now time.Time) []Notice { return c.advance(now) }

func (c *Controller) advance(now time.Time) []Notice {
	notices := c.expire(now)
	for {
		i := slices.IndexFunc(c.waiting, func(e entry) bool { return c.fits(now, e.request) })
		if i < 0 {
			return notices
		}
		e := c.waiting[i]
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.pace(e.request).note(now)
		if c.isTooLate(now, e.request) {
			notices = append(notices, Notice{ticket: e.ticket, reason: outcome.ReasonDeadline})
			continue
		}
		c.dispatch(now, e)
		notices = append(notices, Notice{ticket: e.ticket})
	}
}

func (c *Controller) expire(now time.Time) []Notice {
	var notices []Notice
	c.waiting = slices.DeleteFunc(c.waiting, func(e entry) bool {
		if e.request.Deadline.After(now) {
			return false
		}
		notices = append(notices, Notice{ticket: e.ticket, reason: outcome.ReasonDeadline})
		return true
	})
	return notices
}

func (c *Controller) dispatch(now time.Time, e entry) {
	e.started = now
	c.running[e.ticket] = e
}

// enqueue keeps the queue in order of priority, and in order of arrival within one.
func (c *Controller) enqueue(e entry) {
	i := slices.IndexFunc(c.waiting, func(o entry) bool { return rank(o.request) > rank(e.request) })
	if i < 0 {
		i = len(c.waiting)
	}
	c.waiting = slices.Insert(c.waiting, i, e)
}

// displace takes out the latest request of a lower priority.
func (c *Controller) displace(q Request) (Notice, bool) {
	if len(c.waiting) == 0 {
		return Notice{}, false
	}
	last := c.waiting[len(c.waiting)-1]
	if rank(last.request) <= rank(q) {
		return Notice{}, false
	}
	c.waiting = c.waiting[:len(c.waiting)-1]
	return Notice{ticket: last.ticket, reason: outcome.ReasonDisplaced}, true
}

func rank(q Request) int { return q.Priority.Rank() }

// hasWaitingBefore reports whether a waiting request that could run now comes before q.
func (c *Controller) hasWaitingBefore(q Request) bool {
	return slices.ContainsFunc(c.waiting, func(e entry) bool {
		return rank(e.request) <= rank(q) && e.request.IsProtected == q.IsProtected && c.isLong(e.request.Intent) == c.isLong(q.Intent)
	})
}

// isHopeless reports whether a request would be answered too late behind those of its priority that wait.
func (c *Controller) isHopeless(now time.Time, q Request) bool {
	ahead := 0
	for _, e := range c.waiting {
		if rank(e.request) == rank(q) {
			ahead++
		}
	}
	if ahead == 0 {
		return false
	}
	needed := c.pace(q).wait(now, ahead) + c.expected(q.Intent)
	return float64(needed) > usefulShare*float64(q.Deadline.Sub(now))
}

// isTooLate reports whether a request whose turn has come can no longer be answered before its deadline.
func (c *Controller) isTooLate(now time.Time, q Request) bool {
	return now.Add(c.expected(q.Intent)).After(q.Deadline)
}

// expected returns the learned service time of a route, or 0 before it is classed.
func (c *Controller) expected(intent string) time.Duration {
	if r, ok := c.routes[intent]; ok && r.samples >= samplesToClass {
		return r.time
	}
	return 0
}

func (c *Controller) pace(q Request) *pace {
	p, ok := c.paces[rank(q)]
	if !ok {
		p = &pace{}
		c.paces[rank(q)] = p
	}
	return p
}

func (c *Controller) openSlots(now time.Time) int {
	age := now.Sub(c.started)
	if c.limits.WarmUp <= 0 || age >= c.limits.WarmUp {
		return max(1, c.limits.Slots)
	}
	return max(1, int(float64(c.limits.Slots)*float64(age)/float64(c.limits.WarmUp)))
}

func (c *Controller) fits(now time.Time, q Request) bool {
	open := c.openSlots(now)
	if len(c.running) >= open {
		return false
	}
	protected := min(c.limits.ProtectedSlots, open-1)
	if !q.IsProtected && c.count(func(e entry) bool { return !e.request.IsProtected }) >= open-protected {
		return false
	}
	if !c.isLong(q.Intent) {
		return true
	}
	return c.count(func(e entry) bool { return c.isLong(e.request.Intent) }) < max(1, int(longShare*float64(open)))
}

func (c *Controller) count(matches func(entry) bool) int {
	n := 0
	for _, e := range c.running {
		if matches(e) {
			n++
		}
	}
	return n
}

func (c *Controller) learn(intent string, took time.Duration) {
	r, ok := c.routes[intent]
	if !ok {
		r = &route{}
		c.routes[intent] = r
	}
	r.samples++
	if r.samples == 1 {
		r.time = took
		return
	}
	r.time += time.Duration(smoothing * float64(took-r.time))
}

// typical returns the shortest learned service time over the classed routes, or 0 before any is classed.
func (c *Controller) typical() time.Duration {
	var shortest time.Duration
	for _, r := range c.routes {
		if r.samples >= samplesToClass && (shortest == 0 || r.time < shortest) {
			shortest = r.time
		}
	}
	return shortest
}

// isLong classes a route by its learned service time; a new route counts as short.
func (c *Controller) isLong(intent string) bool {
	r, ok := c.routes[intent]
	return ok && r.samples >= samplesToClass && r.time > longFactor*c.typical()
}
