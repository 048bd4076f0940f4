package slot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/slot"
)

// serveClients simulates a load of 1.6 times the capacity whose refused clients retry once. It returns how many
// requests were answered by their target, counted from the first attempt, and how many at all. With isEstimated the
// target of a retry counts from the first attempt, as estimated by placement.TimeLeftEstimates; without, it counts from
// the retry.
func serveClients(seed uint64, isEstimated bool) (inTime, served int) {
	s := &simulator{controller: newController(loadSlots), random: rand.New(rand.NewPCG(seed, 1))}
	estimate := &placement.TimeLeftEstimates{}
	began := make([]time.Time, s.schedule(loadSpan, float64(loadMean)/loadSlots/1.6))
	hasRetried := make([]bool, len(began))
	s.work = func() time.Duration { return s.lognormal(loadMean) }
	s.arrive = func(now time.Time, number int) {
		if began[number].IsZero() {
			began[number] = now
		}
		deadline := began[number].Add(loadDeadline)
		left := deadline.Sub(now)
		estimate.Record("c", left, 0)
		target := now.Add(loadTarget)
		if isEstimated {
			target = target.Add(-estimate.Waited(now, "c", left))
		}
		s.offer(now, number, slot.Job{Class: "c", Target: target, Deadline: deadline, Share: 1})
	}
	s.end = func(now time.Time, number int) {
		served++
		if now.Sub(began[number]) <= loadTarget {
			inTime++
		}
	}
	s.refuse = func(now time.Time, number int) {
		if !hasRetried[number] {
			hasRetried[number] = true
			s.retry(now.Add(placement.RetryDelay(began[number].Add(loadDeadline).Sub(now), s.random)), number)
		}
	}
	s.run()
	return inTime, served
}

// TestRetriesOfClientsDontDelayFirstAttempts guards against retries that take slots from first attempts: a retry can't
// meet its target any more, so it must only get the slots that first attempts leave.
func TestRetriesOfClientsDontDelayFirstAttempts(t *testing.T) {
	for seed := range uint64(10) {
		inTime, served := serveClients(seed, true)
		plainInTime, plainServed := serveClients(seed, false)
		assert.Assert(t, float64(inTime) > 1.1*float64(plainInTime), "seed %d: %d in time, %d without the estimate", seed, inTime, plainInTime)
		assert.Assert(t, float64(served) > 0.95*float64(plainServed), "seed %d: %d served, %d without the estimate", seed, served, plainServed)
	}
}
