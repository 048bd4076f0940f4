package slot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/slot"
)

// The load of a thin link: large answers that would fill it one and a half times.
const (
	linkSlots     = 9
	linkBytes     = 1e6
	answerSize    = 100_000
	answerWork    = 120 * time.Millisecond
	answerTarget  = 800 * time.Millisecond
	answerClient  = 3 * time.Second
	answersFilled = 1.5
)

// link is a link in virtual time.
type link struct{ bandwidth.Schedule }

func newLink() *link { return &link{bandwidth.Schedule{BytesPerSecond: linkBytes}} }

func bulkJob(now time.Time) slot.Job {
	return slot.Job{Class: "large", Target: now.Add(answerTarget), Deadline: now.Add(answerClient), Share: 1, IsBulk: true}
}

func newLinkedController(l slot.Link) *slot.Controller {
	c := newController(linkSlots)
	c.Link = l
	c.NoteSize("large", answerSize)
	return c
}

func TestALargeAnswerWaitsForTheLinkAndASmallOneDoesNot(t *testing.T) {
	l := newLink()
	c := newLinkedController(l)
	l.Reserve(start, 600_000)
	large, verdict, _ := c.Arrive(start, slot.Job{Class: "large", Target: start.Add(2 * time.Second), Deadline: start.Add(answerClient), Share: 1, IsBulk: true}, true)
	assert.Equal(t, verdict, slot.Wait)
	_, verdict, _ = c.Arrive(start, job(3, time.Second, 2*time.Second), false)
	assert.Equal(t, verdict, slot.Run)
	assert.Equal(t, len(c.Advance(start.Add(100*time.Millisecond))), 0)
	notices := c.Advance(start.Add(300 * time.Millisecond))
	assert.Equal(t, len(notices), 1)
	assert.Equal(t, notices[0].Ticket(), large)
	assert.Assert(t, notices[0].IsRun())
}

func TestTheAnswersOfRunningJobsCountForTheLink(t *testing.T) {
	c := newLinkedController(newLink())
	var verdicts []slot.Verdict
	for range linkSlots - 1 {
		j := bulkJob(start)
		j.Target = start.Add(2 * time.Second)
		_, verdict, _ := c.Arrive(start, j, true)
		verdicts = append(verdicts, verdict)
	}
	assert.Equal(t, verdicts[0], slot.Run)
	assert.Equal(t, verdicts[len(verdicts)-1], slot.Wait)
	assert.Assert(t, c.Backlog(start) > 0)
}

func TestALargeAnswerIsRefusedThatTheLinksMakeLate(t *testing.T) {
	c := newLinkedController(newLink())
	j := bulkJob(start)
	j.Deadline = start.Add(250 * time.Millisecond)
	for range 2 * linkSlots {
		if _, verdict, reason := c.Arrive(start, j, true); verdict == slot.Refuse {
			assert.Equal(t, reason, slot.ReasonHopeless)
			return
		}
	}
	t.Fatal("nothing was refused")
}

// sendAnswers plays the load and returns how many answers were sent in time and how many late.
func sendAnswers(seed uint64, isGuarded bool) (inTime, late int) {
	l := newLink()
	p := &player{controller: newLinkedController(l), random: rand.New(rand.NewPCG(seed, 1))}
	arrived := make([]time.Time, p.schedule(loadSpan, float64(answerSize)/linkBytes/answersFilled*float64(time.Second)))
	p.work = func() time.Duration { return time.Duration((0.5 + p.random.Float64()) * float64(answerWork)) }
	p.arrive = func(now time.Time, number int) {
		arrived[number] = now
		j := bulkJob(now)
		j.IsBulk = isGuarded
		p.offer(now, number, j)
	}
	p.end = func(now time.Time, number int) {
		sent := l.Reserve(now, answerSize).Add(l.Duration(answerSize))
		if sent.Sub(arrived[number]) <= answerTarget {
			inTime++
		} else {
			late++
		}
	}
	p.refuse = func(time.Time, int) {}
	p.run()
	return inTime, late
}

// TestOnAFullLinkMostAnswersAreInTime plays it: without the guard every slot makes answers that the link sends too late.
func TestOnAFullLinkMostAnswersAreInTime(t *testing.T) {
	for seed := range uint64(10) {
		inTime, late := sendAnswers(seed, true)
		plain, _ := sendAnswers(seed, false)
		assert.Assert(t, inTime > 4*late, "seed %d: %d in time, %d late", seed, inTime, late)
		assert.Assert(t, inTime > 3*plain, "seed %d: %d against %d", seed, inTime, plain)
	}
}
