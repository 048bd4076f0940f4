package slot_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/slot"
)

// client is a client with one request that comes back once after a refusal.
type client struct {
	began   time.Time
	retries int
}

// serveClients plays a crest of 1.6 times the capacity whose refused clients come back, and returns how many requests were
// answered in time, counted from the first attempt, and how many at all.
func serveClients(seed uint64, isLearned bool) (inTime, served int) {
	r := rand.New(rand.NewPCG(seed, 1))
	c := newController(loadSlots)
	patience := &placement.Patience{}
	var clients []client
	of := map[slot.Ticket]int{}
	var pending events
	// The ticket of an arrival is the number of its client.
	gap := float64(loadMean) / loadSlots / 1.6
	for at := start; at.Before(start.Add(loadSpan)); at = at.Add(time.Duration(r.ExpFloat64() * gap)) {
		pending = append(pending, event{at: at, ticket: slot.Ticket(len(clients))})
		clients = append(clients, client{began: at})
	}
	heap.Init(&pending)
	begin := func(now time.Time, t slot.Ticket) {
		took := time.Duration(float64(loadMean) * math.Exp(0.8*r.NormFloat64()-0.32))
		heap.Push(&pending, event{at: now.Add(took), ticket: t, isEnd: true})
	}
	refuse := func(now time.Time, number int) {
		left := clients[number].began.Add(loadDeadline).Sub(now)
		if clients[number].retries++; clients[number].retries == 1 {
			heap.Push(&pending, event{at: now.Add(placement.Comeback(left, r)), ticket: slot.Ticket(number)})
		}
	}
	for len(pending) > 0 {
		e := heap.Pop(&pending).(event)
		var notices []slot.Notice
		if e.isEnd {
			served++
			if e.at.Sub(clients[of[e.ticket]].began) <= loadTarget {
				inTime++
			}
			notices = c.Finish(e.at, e.ticket)
		} else {
			number := int(e.ticket)
			deadline := clients[number].began.Add(loadDeadline)
			left := deadline.Sub(e.at)
			patience.Note(left)
			target := e.at.Add(loadTarget)
			if isLearned {
				target = target.Add(-patience.Used(left))
			}
			t, verdict, _ := c.Arrive(e.at, slot.Job{Class: "c", Target: target, Deadline: deadline, Share: 1}, true)
			of[t] = number
			switch verdict {
			case slot.Run:
				begin(e.at, t)
			case slot.Refuse:
				refuse(e.at, number)
			}
			notices = c.Advance(e.at)
		}
		for _, n := range notices {
			if n.IsRun() {
				begin(e.at, n.Ticket())
			} else {
				refuse(e.at, of[n.Ticket()])
			}
		}
	}
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
