package gate

import (
	"context"
	"sync"
	"time"

	"siskinspar.example/request/admission"
	"siskinspar.example/request/outcome"
)

// Gate guards the admission controller of one backend server with a lock and wakes the waiting requests on which the
// controller has decided. It may be used concurrently.
type Gate struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiters    map[admission.Ticket]chan admission.QueueResult
}

// New returns a gate for a backend server that has just announced itself, so that its slots open by warm-up.
func New(limits admission.Limits) *Gate {
	return &Gate{
		controller: admission.NewController(limits, time.Now()),
		waiters:    map[admission.Ticket]chan admission.QueueResult{},
	}
}

// Acquire waits for a slot of the backend server and returns the function that frees it, or the refusal: the
// controller's, or one with the reason deadline or cancelled.
func (g *Gate) Acquire(ctx context.Context, request admission.Request) (func(), *outcome.Failure) {
	ticket, decision, reason, waiter := g.arrive(request)
	switch decision {
	case admission.DecisionRefuse:
		return nil, outcome.NewRefusal(reason)
	case admission.DecisionWait:
		if failure := g.await(ctx, ticket, request, waiter); failure != nil {
			return nil, failure
		}
	}
	return sync.OnceFunc(func() { g.freeSlot(ticket) }), nil
}

// arrive asks the controller for a slot. If the request has to wait, the controller's decision comes on the returned
// channel, which is nil otherwise.
func (g *Gate) arrive(request admission.Request) (admission.Ticket, admission.Decision, outcome.Reason, chan admission.QueueResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, decision, reason, results := g.controller.Arrive(time.Now(), request)
	g.deliver(results)
	if decision != admission.DecisionWait {
		return ticket, decision, reason, nil
	}
	waiter := make(chan admission.QueueResult, 1)
	g.waiters[ticket] = waiter
	return ticket, decision, reason, waiter
}

func (g *Gate) await(ctx context.Context, t admission.Ticket, request admission.Request, waiter chan admission.QueueResult) *outcome.Failure {
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case result := <-waiter:
		return failureOfResult(result)
	case <-ctx.Done():
		return g.abandon(t, waiter, outcome.ReasonCancelled)
	case <-timer.C:
		return g.abandon(t, waiter, outcome.ReasonDeadline)
	}
}

func failureOfResult(result admission.QueueResult) *outcome.Failure {
	if result.IsDispatch() {
		return nil
	}
	return outcome.NewRefusal(result.Reason())
}

// abandon removes a request from the queue. A slot that the controller gave it meanwhile is freed.
func (g *Gate) abandon(t admission.Ticket, waiter chan admission.QueueResult, reason outcome.Reason) *outcome.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, t)
	g.controller.Cancel(t)
	select {
	case result := <-waiter:
		if result.IsDispatch() {
			g.deliver(g.controller.Finish(time.Now(), t))
		}
	default:
	}
	return outcome.NewRefusal(reason)
}

func (g *Gate) freeSlot(t admission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Finish(time.Now(), t))
}

// deliver passes the decisions of the controller to the waiting requests; the caller holds the lock.
func (g *Gate) deliver(results []admission.QueueResult) {
	for _, result := range results {
		if waiter, ok := g.waiters[result.Ticket()]; ok {
			delete(g.waiters, result.Ticket())
			waiter <- result
		}
	}
}

// Tick opens the slots that have warmed up and refuses waiting requests whose deadline has passed.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Tick(time.Now()))
}

// SetLimits changes the limits of the controller; running requests keep their slots.
func (g *Gate) SetLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetLimits(limits)
}

// Drain refuses the waiting requests and all further ones until Resume.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Drain())
}

// Resume ends a drain, so that requests are admitted again.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Resume()
}

// LoadPerSlot returns the number of running and waiting requests divided by the number of open slots.
func (g *Gate) LoadPerSlot() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.controller.Running()+g.controller.Waiting()) / float64(max(1, g.controller.Slots()))
}

// Load returns the numbers of running and of waiting requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Running(), g.controller.Waiting()
}
