package slot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/slot"
)

// The load of a crest at one backend server: urgent work is a third of it, service times vary widely.
const (
	loadSlots    = 9
	loadMean     = 140 * time.Millisecond
	loadTarget   = 500 * time.Millisecond
	loadDeadline = 1500 * time.Millisecond
	loadSpan     = 20 * time.Second
)

// outcome counts what became of the jobs of one priority.
type outcome struct{ offered, inTime, late, refused int }

// play runs the load in virtual time; without the policy, the queue is first come, first served, up to the deadline.
func play(seed uint64, load float64, isPlain bool) [3]outcome {
	p := &player{controller: newController(loadSlots), random: rand.New(rand.NewPCG(seed, 1))}
	count := p.schedule(loadSpan, float64(loadMean)/loadSlots/load)
	arrived := make([]time.Time, count)
	priority := make([]int, count)
	var results [3]outcome
	p.work = func() time.Duration { return p.lognormal(loadMean) }
	p.arrive = func(now time.Time, number int) {
		arrived[number], priority[number] = now, 2
		if p.random.IntN(3) == 0 {
			priority[number] = 1
		}
		results[priority[number]].offered++
		j := slot.Job{Class: "c", Priority: priority[number], Target: now.Add(loadTarget), Deadline: now.Add(loadDeadline), Share: 1}
		if isPlain {
			j = slot.Job{Class: "c", Target: now.Add(loadDeadline), Deadline: now.Add(loadDeadline), Share: 0}
		}
		p.offer(now, number, j)
	}
	p.end = func(now time.Time, number int) {
		if now.Sub(arrived[number]) <= loadTarget {
			results[priority[number]].inTime++
		} else {
			results[priority[number]].late++
		}
	}
	p.refuse = func(_ time.Time, number int) { results[priority[number]].refused++ }
	p.run()
	return results
}

// TestOnACrestMostOfWhatRunsIsInTime plays 1.6 times what the slots can take: every slot goes to a request that still
// earns its full worth, and urgent requests are served as on a calm day.
func TestOnACrestMostOfWhatRunsIsInTime(t *testing.T) {
	for seed := range uint64(10) {
		with, plain := play(seed, 1.6, false), play(seed, 1.6, true)
		inTime, late := with[1].inTime+with[2].inTime, with[1].late+with[2].late
		assert.Assert(t, inTime > 4*late, "seed %d: %d in time, %d late", seed, inTime, late)
		assert.Assert(t, inTime > 2*(plain[1].inTime+plain[2].inTime), "seed %d: %+v against %+v in order of arrival", seed, with, plain)
		urgent := float64(with[1].inTime) / float64(with[1].offered)
		assert.Assert(t, urgent > 0.85, "seed %d: %v of the urgent requests in time", seed, urgent)
	}
}

// TestOnACalmDayNothingIsRefused plays half of what the slots can take.
func TestOnACalmDayNothingIsRefused(t *testing.T) {
	for seed := range uint64(10) {
		results := play(seed, 0.5, false)
		assert.Equal(t, results[1].refused+results[2].refused, 0, "seed %d", seed)
	}
}
