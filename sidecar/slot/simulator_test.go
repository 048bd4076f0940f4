package slot_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"siskinspar.example/sidecar/slot"
)

// event is the arrival of a request, or the end of a job if isEnd is true.
type event struct {
	at     time.Time
	number int
	ticket slot.Ticket
	isEnd  bool
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulator runs requests against one controller in virtual time; its functions are set before run.
type simulator struct {
	controller *slot.Controller
	random     *rand.Rand
	// work returns the service time of a job.
	work func() time.Duration
	// arrive is called when a request arrives.
	arrive func(now time.Time, number int)
	// end is called when the job of a request ends.
	end func(now time.Time, number int)
	// refuse is called when a request is refused, on arrival or in the queue.
	refuse func(now time.Time, number int)

	pending events
	// requests are the numbers of the requests that got a ticket.
	requests map[slot.Ticket]int
}

// schedule adds the arrivals of requests, numbered from 0, at exponentially distributed gaps with a mean in
// nanoseconds, and returns how many there are.
func (s *simulator) schedule(span time.Duration, meanGap float64) int {
	count := 0
	for at := start; at.Before(start.Add(span)); at = at.Add(time.Duration(s.random.ExpFloat64() * meanGap)) {
		s.pending = append(s.pending, event{at: at, number: count})
		count++
	}
	heap.Init(&s.pending)
	return count
}

// retry schedules another arrival of a request.
func (s *simulator) retry(at time.Time, number int) {
	heap.Push(&s.pending, event{at: at, number: number})
}

// offer asks the controller for a slot for a request, which may wait.
func (s *simulator) offer(now time.Time, number int, j slot.Job) {
	t, decision, _ := s.controller.Arrive(now, j, true)
	s.requests[t] = number
	switch decision {
	case slot.Run:
		s.begin(now, t)
	case slot.Refuse:
		s.refuse(now, number)
	}
}

// begin schedules the end of a job that got a slot.
func (s *simulator) begin(now time.Time, t slot.Ticket) {
	heap.Push(&s.pending, event{at: now.Add(s.work()), ticket: t, isEnd: true})
}

// run handles all events in order of time, including those that they schedule.
func (s *simulator) run() {
	s.requests = map[slot.Ticket]int{}
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		var changes []slot.StatusChange
		if e.isEnd {
			s.end(e.at, s.requests[e.ticket])
			changes = s.controller.Finish(e.at, e.ticket)
		} else {
			s.arrive(e.at, e.number)
			changes = s.controller.Advance(e.at)
		}
		for _, change := range changes {
			if change.IsRun() {
				s.begin(e.at, change.Ticket())
				continue
			}
			s.refuse(e.at, s.requests[change.Ticket()])
		}
	}
}

// lognormal returns a log-normally distributed service time with the given mean; its logarithm has a standard deviation
// of 0.8, and 0.32 is half its variance.
func (s *simulator) lognormal(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.8*s.random.NormFloat64()-0.32))
}
