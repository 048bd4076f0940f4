package slot_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"siskinspar.example/sidecar/slot"
)

// event is the arrival of a request or the end of a job.
type event struct {
	at     time.Time
	number int
	ticket slot.Ticket
	isEnd  bool
}

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

// player runs requests against one controller in virtual time; its functions are set before run.
type player struct {
	controller *slot.Controller
	random     *rand.Rand
	// work returns the service time of a job.
	work func() time.Duration
	// arrive takes in the arrival of a request.
	arrive func(now time.Time, number int)
	// end takes in the end of the job of a request.
	end func(now time.Time, number int)
	// refuse takes in the refusal of a request.
	refuse func(now time.Time, number int)

	pending  events
	requests map[slot.Ticket]int
}

// schedule adds arrivals of numbered requests over a span, at random with a mean gap, and returns how many.
func (p *player) schedule(span time.Duration, gap float64) int {
	count := 0
	for at := start; at.Before(start.Add(span)); at = at.Add(time.Duration(p.random.ExpFloat64() * gap)) {
		p.pending = append(p.pending, event{at: at, number: count})
		count++
	}
	heap.Init(&p.pending)
	return count
}

// again lets a request arrive once more.
func (p *player) again(at time.Time, number int) {
	heap.Push(&p.pending, event{at: at, number: number})
}

// offer asks for a slot.
func (p *player) offer(now time.Time, number int, j slot.Job) {
	t, verdict, _ := p.controller.Arrive(now, j, true)
	p.requests[t] = number
	switch verdict {
	case slot.Run:
		p.begin(now, t)
	case slot.Refuse:
		p.refuse(now, number)
	}
}

func (p *player) begin(now time.Time, t slot.Ticket) {
	heap.Push(&p.pending, event{at: now.Add(p.work()), ticket: t, isEnd: true})
}

func (p *player) run() {
	p.requests = map[slot.Ticket]int{}
	for len(p.pending) > 0 {
		e := heap.Pop(&p.pending).(event)
		var notices []slot.Notice
		if e.isEnd {
			p.end(e.at, p.requests[e.ticket])
			notices = p.controller.Finish(e.at, e.ticket)
		} else {
			p.arrive(e.at, e.number)
			notices = p.controller.Advance(e.at)
		}
		for _, n := range notices {
			if n.IsRun() {
				p.begin(e.at, n.Ticket())
				continue
			}
			p.refuse(e.at, p.requests[n.Ticket()])
		}
	}
}

// lognormal returns a service time with a spread of 0.8 around a mean.
func (p *player) lognormal(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.8*p.random.NormFloat64()-0.32))
}
