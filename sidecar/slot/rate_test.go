package slot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/slot"
)

// The load of a backend server with a rate limit: twice as many requests arrive as it takes, and its slots would do for
// all of them.
const (
	rateLimit     = 20.0 // requests a second
	rateSlots     = 6
	rateWork      = 60 * time.Millisecond
	rateSpan      = 20 * time.Second
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5 // requests
)

// startsUnderLimit returns when jobs started, of requests that arrive at twice the rate limit.
func startsUnderLimit(seed uint64, limit float64) []time.Time {
	c := newController(rateSlots)
	c.SetRate(start, limit)
	s := &simulator{controller: c, random: rand.New(rand.NewPCG(seed, 1))}
	s.schedule(rateSpan, float64(time.Second)/(2*rateLimit))
	var started []time.Time
	s.work = func() time.Duration { return rateWork }
	s.arrive = func(now time.Time, number int) {
		s.offer(now, number, slot.Job{Class: "c", Target: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Second), Share: 1})
	}
	s.end = func(now time.Time, _ int) { started = append(started, now.Add(-rateWork)) }
	s.refuse = func(time.Time, int) {}
	s.run()
	return started
}

// mostIn returns the largest number of times within one window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestAServerWithALimitGetsNoMoreRequests guards against requests beyond the limit that a backend server states, and
// against a limit that is not used.
func TestAServerWithALimitGetsNoMoreRequests(t *testing.T) {
	for seed := range uint64(10) {
		started := startsUnderLimit(seed, rateLimit)
		most := mostIn(started, rateWindow)
		assert.Assert(t, float64(most) <= rateTolerance*rateLimit*rateWindow.Seconds()+rateSlack, "seed %d: %d in one window", seed, most)
		assert.Assert(t, float64(len(started)) > 0.9*rateLimit*rateSpan.Seconds(), "seed %d: %d started", seed, len(started))
		assert.Assert(t, float64(len(startsUnderLimit(seed, slot.Unlimited))) > 1.3*float64(len(started)))
	}
}

func TestUnderALimitOfNothingSomeRequestsShowWhenItEnds(t *testing.T) {
	started := startsUnderLimit(1, 0)
	assert.Assert(t, len(started) > 0)
	assert.Assert(t, mostIn(started, rateWindow) <= rateSlack)
}

func TestARequestThatCantStartInTimeUnderTheLimitIsRefusedAtOnce(t *testing.T) {
	c := newController(rateSlots)
	c.SetRate(start, 1)
	_, decision, reason := c.Arrive(start, job(1, 400*time.Millisecond, 600*time.Millisecond), true)
	assert.Equal(t, decision, slot.Refuse)
	assert.Equal(t, reason, slot.ReasonRateWaitTooLong)
	assert.Equal(t, c.StartWait(start), time.Second)
	c.SetRate(start, slot.Unlimited)
	_, decision, _ = c.Arrive(start, job(1, 400*time.Millisecond, 600*time.Millisecond), true)
	assert.Equal(t, decision, slot.Run)
}

// TestAGrantThatIsNotUsedDoesNotCountForTheLimit guards against a limit that is used up by requests which got a slot
// elsewhere first.
func TestAGrantThatIsNotUsedDoesNotCountForTheLimit(t *testing.T) {
	for _, isReleased := range []bool{true, false} {
		c := newController(rateSlots)
		c.SetRate(start, 1)
		now := start.Add(time.Second)
		ticket, decision, _ := c.Arrive(now, job(1, time.Minute, time.Minute), true)
		assert.Equal(t, decision, slot.Run)
		c.Grant(ticket, now.Add(100*time.Millisecond))
		assert.Assert(t, c.StartWait(now) > 0)
		now = now.Add(100 * time.Millisecond)
		if isReleased {
			c.Release(now, ticket)
		} else {
			c.Advance(now)
		}
		assert.Equal(t, c.StartWait(now), time.Duration(0))
		_, decision, _ = c.Arrive(now, job(1, time.Minute, time.Minute), false)
		assert.Equal(t, decision, slot.Run)
	}
}
