package slot_test

import (
	"container/heap"
	"math"
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

// event is an arrival or the end of a job.
type event struct {
	at     time.Time
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

// outcome counts what became of the jobs of one priority.
type outcome struct{ offered, inTime, late, refused int }

// play runs the load in virtual time; without the policy, the queue is first come, first served, up to the deadline.
func play(seed uint64, load float64, isPlain bool) [3]outcome {
	r := rand.New(rand.NewPCG(seed, 1))
	c := newController(loadSlots)
	arrived := map[slot.Ticket]time.Time{}
	priority := map[slot.Ticket]int{}
	var results [3]outcome
	var pending events
	gap := float64(loadMean) / loadSlots / load
	for at := start; at.Before(start.Add(loadSpan)); at = at.Add(time.Duration(r.ExpFloat64() * gap)) {
		pending = append(pending, event{at: at})
	}
	heap.Init(&pending)
	begin := func(now time.Time, t slot.Ticket) {
		// A lognormal spread of 0.8 around the mean.
		took := time.Duration(float64(loadMean) * math.Exp(0.8*r.NormFloat64()-0.32))
		heap.Push(&pending, event{at: now.Add(took), ticket: t, isEnd: true})
	}
	take := func(now time.Time, notices []slot.Notice) {
		for _, n := range notices {
			if n.IsRun() {
				begin(now, n.Ticket())
				continue
			}
			results[priority[n.Ticket()]].refused++
		}
	}
	for len(pending) > 0 {
		e := heap.Pop(&pending).(event)
		if e.isEnd {
			o := &results[priority[e.ticket]]
			if e.at.Sub(arrived[e.ticket]) <= loadTarget {
				o.inTime++
			} else {
				o.late++
			}
			take(e.at, c.Finish(e.at, e.ticket))
			continue
		}
		p := 2
		if r.IntN(3) == 0 {
			p = 1
		}
		results[p].offered++
		j := slot.Job{Class: "c", Priority: p, Target: e.at.Add(loadTarget), Deadline: e.at.Add(loadDeadline), Share: 1}
		if isPlain {
			j = slot.Job{Class: "c", Target: e.at.Add(loadDeadline), Deadline: e.at.Add(loadDeadline), Share: 0}
		}
		t, verdict, _ := c.Arrive(e.at, j, true)
		switch verdict {
		case slot.Refuse:
			results[p].refused++
			continue
		case slot.Run:
			begin(e.at, t)
		}
		arrived[t] = e.at
		priority[t] = p
	}
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
