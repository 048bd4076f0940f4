package slot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/slot"
)

// The load of a backend server whose nested requests, of a higher priority, are enough to fill it, beside requests of
// clients of a lower one.
const (
	sharedSlots    = 7
	nestedWork     = 50 * time.Millisecond
	nestedDeadline = 500 * time.Millisecond
	nestedLoad     = 1.1 // times the capacity
	clientWork     = 130 * time.Millisecond
	clientTarget   = 600 * time.Millisecond
	clientDeadline = 1500 * time.Millisecond
	clientLoad     = 0.25 // times the capacity
	sharedSpan     = 20 * time.Second
	// clientFloor is the share of the requests of a class that must be served on an overloaded day.
	clientFloor = 0.34
)

// serveShared returns the shares of the nested requests and of those of clients that are served by their target.
func serveShared(seed uint64) (nested, clients float64) {
	s := &simulator{controller: newController(sharedSlots), random: rand.New(rand.NewPCG(seed, 1))}
	nestedRate := nestedLoad * sharedSlots / float64(nestedWork)
	clientRate := clientLoad * sharedSlots / float64(clientWork)
	count := s.schedule(sharedSpan, 1/(nestedRate+clientRate))
	isNested := make([]bool, count)
	for i := range isNested {
		isNested[i] = s.random.Float64() < nestedRate/(nestedRate+clientRate)
	}
	var offered, inTime [2]float64
	targets := make([]time.Time, count)
	index := func(number int) int {
		if isNested[number] {
			return 0
		}
		return 1
	}
	s.workOf = func(number int) time.Duration {
		if isNested[number] {
			return s.lognormal(nestedWork)
		}
		return s.lognormal(clientWork)
	}
	s.arrive = func(now time.Time, number int) {
		offered[index(number)]++
		j := slot.Job{Class: "client", Priority: 2, Target: now.Add(clientTarget), Deadline: now.Add(clientDeadline), Share: 1}
		targets[number] = j.Target
		if isNested[number] {
			j = slot.Job{Class: "nested", Priority: 1, Target: now.Add(nestedDeadline / 3), Deadline: now.Add(nestedDeadline), Share: 1, IsNested: true}
			targets[number] = j.Deadline
		}
		s.offer(now, number, j)
	}
	s.end = func(now time.Time, number int) {
		if !now.After(targets[number]) {
			inTime[index(number)]++
		}
	}
	s.refuse = func(time.Time, int) {}
	s.run()
	return inTime[0] / offered[0], inTime[1] / offered[1]
}

// TestRequestsOfALowerPriorityAreNotStarved guards against a class that hardly any caller gets served while requests of a
// higher priority fill the backend server.
func TestRequestsOfALowerPriorityAreNotStarved(t *testing.T) {
	for seed := range uint64(10) {
		nested, clients := serveShared(seed)
		assert.Assert(t, clients > clientFloor, "seed %d: %.2f of the lower priority in time, %.2f of the higher", seed, clients, nested)
		assert.Assert(t, nested > clientFloor, "seed %d: %.2f of the lower priority in time, %.2f of the higher", seed, clients, nested)
	}
}
