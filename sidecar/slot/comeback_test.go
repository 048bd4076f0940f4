package slot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/slot"
)

// serveClients plays a crest of 1.6 times the capacity whose refused clients come back once, and returns how many requests
// were answered in time, counted from the first attempt, and how many at all.
func serveClients(seed uint64, isLearned bool) (inTime, served int) {
	p := &player{controller: newController(loadSlots), random: rand.New(rand.NewPCG(seed, 1))}
	patience := &placement.Patience{}
	began := make([]time.Time, p.schedule(loadSpan, float64(loadMean)/loadSlots/1.6))
	hasComeBack := make([]bool, len(began))
	p.work = func() time.Duration { return p.lognormal(loadMean) }
	p.arrive = func(now time.Time, number int) {
		if began[number].IsZero() {
			began[number] = now
		}
		deadline := began[number].Add(loadDeadline)
		left := deadline.Sub(now)
		patience.Note(left)
		target := now.Add(loadTarget)
		if isLearned {
			target = target.Add(-patience.Used(left))
		}
		p.offer(now, number, slot.Job{Class: "c", Target: target, Deadline: deadline, Share: 1})
	}
	p.end = func(now time.Time, number int) {
		served++
		if now.Sub(began[number]) <= loadTarget {
			inTime++
		}
	}
	p.refuse = func(now time.Time, number int) {
		if !hasComeBack[number] {
			hasComeBack[number] = true
			p.again(now.Add(placement.Comeback(began[number].Add(loadDeadline).Sub(now), p.random)), number)
		}
	}
	p.run()
	return inTime, served
}

// TestClientsThatComeBackDontMakeFirstAttemptsLate plays the crest: a request that came back can't be in time, so it only
// gets the slots that first attempts leave.
func TestClientsThatComeBackDontMakeFirstAttemptsLate(t *testing.T) {
	for seed := range uint64(10) {
		inTime, served := serveClients(seed, true)
		plainInTime, plainServed := serveClients(seed, false)
		assert.Assert(t, float64(inTime) > 1.1*float64(plainInTime), "seed %d: %d against %d in time", seed, inTime, plainInTime)
		assert.Assert(t, float64(served) > 0.95*float64(plainServed), "seed %d: %d against %d served", seed, served, plainServed)
	}
}
