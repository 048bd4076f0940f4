package gate

import (
	"context"
	"sync"
	"time"

	"siskinspar.example/request/admission"
	"siskinspar.example/request/outcome"
)

// Gate serialises one admission controller and wakes the requests that wait for it.
type Gate struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiters    map[admission.Ticket]chan admission.Notice
}

// New returns a gate before a backend server that has just been announced.
func New(l admission.Limits) *Gate {
	return &Gate{
		controller: admission.NewController(l, time.Now()),
		waiters:    map[admission.Ticket]chan admission.Notice{},
	}
}

// Enter waits for a slot and returns the function that frees it, or the refusal.
func (g *Gate) Enter(ctx context.Context, q admission.Request) (func(), *outcome.Failure) {
	ticket, verdict, reason, wait := g.arrive(q)
	switch verdict {
	case admission.VerdictRefuse:
		return nil, outcome.NewRefusal(reason)
	case admission.VerdictWait:
		if failure := g.await(ctx, ticket, q, wait); failure != nil {
			return nil, failure
		}
	}
	return sync.OnceFunc(func() { g.finish(ticket) }), nil
}

func (g *Gate) arrive(q admission.Request) (admission.Ticket, admission.Verdict, outcome.Reason, chan admission.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, verdict, reason, notices := g.controller.Arrive(time.Now(), q)
	g.deliver(notices)
	if verdict != admission.VerdictWait {
		return ticket, verdict, reason, nil
	}
	wait := make(chan admission.Notice, 1)
	g.waiters[ticket] = wait
	return ticket, verdict, reason, wait
}

func (g *Gate) await(ctx context.Context, t admission.Ticket, q admission.Request, wait chan admission.Notice) *outcome.Failure {
	timer := time.NewTimer(time.Until(q.Deadline))
	defer timer.Stop()
	select {
	case n := <-wait:
		return failureOf(n)
	case <-ctx.Done():
		return g.abandon(t, wait, outcome.ReasonCancelled)
	case <-timer.C:
		return g.abandon(t, wait, outcome.ReasonDeadline)
	}
}

func failureOf(n admission.Notice) *outcome.Failure {
	if n.IsDispatch() {
		return nil
	}
	return outcome.NewRefusal(n.Reason())
}

// abandon leaves the queue; a slot that was given in the same moment is freed again.
func (g *Gate) abandon(t admission.Ticket, wait chan admission.Notice, reason outcome.Reason) *outcome.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, t)
	g.controller.Cancel(t)
	select {
	case n := <-wait:
		if n.IsDispatch() {
			g.deliver(g.controller.Finish(time.Now(), t))
		}
	default:
	}
	return outcome.NewRefusal(reason)
}

func (g *Gate) finish(t admission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Finish(time.Now(), t))
}

func (g *Gate) deliver(notices []admission.Notice) {
	for _, n := range notices {
		if wait, ok := g.waiters[n.Ticket()]; ok {
			delete(g.waiters, n.Ticket())
			wait <- n
		}
	}
}

// Tick opens warmed up slots and refuses requests whose deadline has passed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Tick(time.Now()))
}

// SetLimits changes the bounds of the controller.
func (g *Gate) SetLimits(l admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetLimits(l)
}

// Drain refuses waiting and further requests.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Drain())
}

// Resume ends a drain.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Resume()
}

// LoadPerSlot returns the running and waiting requests for each slot.
func (g *Gate) LoadPerSlot() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.controller.Running()+g.controller.Waiting()) / float64(max(1, g.controller.Slots()))
}

// Load returns the number of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Running(), g.controller.Waiting()
}
