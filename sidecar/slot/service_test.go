package slot_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/slot"
)

// The load of a service with several backend servers: requests that do not find a free slot wait at several of them and
// take the first slot. Short nested requests have the higher priority. Together they are less than the servers can do.
const (
	serviceServers = 14
	serverSlots    = 6
	waitsAt        = 8
	hop            = 4 * time.Millisecond // one way between two daemons
	nestedWork     = 35 * time.Millisecond
	nestedDeadline = 500 * time.Millisecond
	nestedLoad     = 0.6 // of the capacity
	clientWork     = 90 * time.Millisecond
	clientTarget   = 600 * time.Millisecond
	clientDeadline = 1500 * time.Millisecond
	clientLoad     = 0.3 // of the capacity
	serviceSpan    = 5 * time.Second
	advancePeriod  = 10 * time.Millisecond
	// servedShare is the share of the requests that is served in time, since the servers can do all of them.
	servedShare = 0.9
)

// serviceRequest is a request to the service.
type serviceRequest struct {
	job     slot.Job
	work    time.Duration
	isTaken bool
	// tickets holds its tickets by server.
	tickets map[int]slot.Ticket
}

// serviceEvent is a step of the simulation.
type serviceEvent struct {
	at  time.Time
	run func(now time.Time)
}

// serviceEvents is a heap of steps, the earliest first.
type serviceEvents []serviceEvent

func (e serviceEvents) Len() int           { return len(e) }
func (e serviceEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e serviceEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *serviceEvents) Push(x any)        { *e = append(*e, x.(serviceEvent)) }
func (e *serviceEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// service simulates the owners and backend servers of one service in virtual time.
type service struct {
	random  *rand.Rand
	owners  []*slot.Controller
	pending serviceEvents
	// waiting holds the requests by server and ticket.
	waiting []map[slot.Ticket]*serviceRequest
	// running and queued are the requests at each backend server.
	running []int
	queued  [][]func(now time.Time)
	// mostAtServer is the largest number of requests at one backend server at once.
	mostAtServer int
	inTime       map[string]float64
}

func newService(seed uint64) *service {
	s := &service{random: rand.New(rand.NewPCG(seed, 1)), running: make([]int, serviceServers), queued: make([][]func(time.Time), serviceServers), inTime: map[string]float64{}}
	for range serviceServers {
		s.owners = append(s.owners, newController(serverSlots+1))
		s.waiting = append(s.waiting, map[slot.Ticket]*serviceRequest{})
	}
	return s
}

// after schedules a step.
func (s *service) after(now time.Time, d time.Duration, run func(now time.Time)) {
	heap.Push(&s.pending, serviceEvent{now.Add(d), run})
}

// reserve lets a request wait at several owners.
func (s *service) reserve(now time.Time, q *serviceRequest) {
	for _, i := range s.random.Perm(serviceServers)[:waitsAt] {
		t, decision, _ := s.owners[i].Arrive(now, q.job, true)
		if decision == slot.Refuse {
			continue
		}
		q.tickets[i] = t
		s.waiting[i][t] = q
		if decision == slot.Run {
			s.grant(now, i, t)
		}
	}
}

// grant sends the grant of a slot to the entry daemon, which takes the first one and withdraws the other reservations.
func (s *service) grant(now time.Time, i int, t slot.Ticket) {
	s.owners[i].Grant(t, now.Add(250*time.Millisecond))
	q := s.waiting[i][t]
	s.after(now, hop, func(now time.Time) {
		if q.isTaken {
			return
		}
		q.isTaken = true
		s.after(now, hop, func(now time.Time) { s.claim(now, i, t, q) })
		for other := range serviceServers {
			if ticket, ok := q.tickets[other]; ok && other != i {
				s.after(now, hop, func(now time.Time) { s.withdraw(now, other, ticket) })
			}
		}
	})
}

// withdraw removes a reservation or gives its slot back.
func (s *service) withdraw(now time.Time, i int, t slot.Ticket) {
	if _, ok := s.waiting[i][t]; !ok {
		return
	}
	delete(s.waiting[i], t)
	if !s.owners[i].Cancel(t) {
		s.apply(now, i, s.owners[i].Release(now, t))
	}
}

// claim brings the request to the backend server, which runs it once one of its slots is free.
func (s *service) claim(now time.Time, i int, t slot.Ticket, q *serviceRequest) {
	if !s.owners[i].Claim(now, t) {
		return
	}
	delete(s.waiting[i], t)
	s.queued[i] = append(s.queued[i], func(now time.Time) {
		s.after(now, q.work, func(now time.Time) {
			s.running[i]--
			if !now.After(q.job.Target) {
				s.inTime[q.job.Class]++
			}
			s.apply(now, i, s.owners[i].Finish(now, t))
			s.serveNext(now, i)
		})
	})
	s.mostAtServer = max(s.mostAtServer, s.running[i]+len(s.queued[i]))
	s.serveNext(now, i)
}

// serveNext starts the requests that wait at a backend server while it has free slots.
func (s *service) serveNext(now time.Time, i int) {
	for s.running[i] < serverSlots && len(s.queued[i]) > 0 {
		s.running[i]++
		next := s.queued[i][0]
		s.queued[i] = s.queued[i][1:]
		next(now)
	}
}

// apply passes on the status changes at one owner.
func (s *service) apply(now time.Time, i int, changes []slot.StatusChange) {
	for _, c := range changes {
		if c.IsRun() {
			s.grant(now, i, c.Ticket())
		} else {
			delete(s.waiting[i], c.Ticket())
		}
	}
}

// advance advances all queues now and periodically until the end of the simulation.
func (s *service) advance(now time.Time) {
	for i, o := range s.owners {
		s.apply(now, i, o.Advance(now))
	}
	if now.Before(start.Add(serviceSpan)) {
		s.after(now, advancePeriod, s.advance)
	}
}

// run offers the load and returns the shares of the nested requests and of those of clients that are served in time.
func (s *service) run() (nested, clients float64) {
	nestedRate := nestedLoad * serviceServers * serverSlots / float64(nestedWork)
	clientRate := clientLoad * serviceServers * serverSlots / float64(clientWork)
	offered := map[string]float64{}
	for at := start; at.Before(start.Add(serviceSpan)); at = at.Add(time.Duration(s.random.ExpFloat64() / (nestedRate + clientRate))) {
		q := &serviceRequest{tickets: map[int]slot.Ticket{}}
		q.job = slot.Job{Class: "clients", Priority: 2, Target: at.Add(clientTarget), Deadline: at.Add(clientDeadline), Share: 1.0 / waitsAt}
		q.work = time.Duration((0.5 + s.random.Float64()) * float64(clientWork))
		if s.random.Float64() < nestedRate/(nestedRate+clientRate) {
			q.job = slot.Job{Class: "nested", Priority: 1, Target: at.Add(nestedDeadline), Deadline: at.Add(nestedDeadline), Share: 1.0 / waitsAt, IsNested: true}
			q.work = time.Duration((0.5 + s.random.Float64()) * float64(nestedWork))
		}
		offered[q.job.Class]++
		s.after(at, 0, func(now time.Time) { s.reserve(now, q) })
	}
	s.after(start, 0, s.advance)
	for s.pending.Len() > 0 {
		e := heap.Pop(&s.pending).(serviceEvent)
		e.run(e.at)
	}
	return s.inTime["nested"] / offered["nested"], s.inTime["clients"] / offered["clients"]
}

// TestAClassOfALowerPriorityIsServedWhileTheServersCanDoIt guards against slots that are kept for grants which no request
// uses: each request uses one of the grants that it gets, and those to short requests took the slots of all others.
func TestAClassOfALowerPriorityIsServedWhileTheServersCanDoIt(t *testing.T) {
	for seed := range uint64(3) {
		s := newService(seed)
		nested, clients := s.run()
		assert.Assert(t, clients > servedShare, "seed %d: %.2f of the lower priority in time, %.2f of the higher", seed, clients, nested)
		assert.Assert(t, nested > servedShare, "seed %d: %.2f of the lower priority in time, %.2f of the higher", seed, clients, nested)
		assert.Assert(t, s.mostAtServer <= 2*serverSlots, "seed %d: %d requests at one server", seed, s.mostAtServer)
	}
}
