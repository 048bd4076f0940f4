package slot

import (
	"cmp"
	"time"
)

// targetMargin is how many times its mean service time a job needs before its target; service times vary widely.
const targetMargin = 1.5

// Job is a request that asks for a slot.
type Job struct {
	// Class names requests that take about the same time.
	Class string
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Target is when an answer stops earning its full worth.
	Target time.Time
	// Deadline is when an answer stops being of use.
	Deadline time.Time
	// IsBulk is true for a job with a large answer that leaves over the link.
	IsBulk bool
	// IsNested is true for a job that another request waits for; it may wait until its deadline, late or not.
	IsNested bool
	// Share is the part of the request that waits here; a request that waits at four places has 0.25 at each.
	Share float64
}

// Ticket identifies a job that runs or waits.
type Ticket uint64

// Verdict is the answer to an arriving job.
type Verdict int

// The verdicts on an arriving job.
const (
	// Run gives the job a slot at once.
	Run Verdict = iota
	// Wait puts the job into the queue.
	Wait
	// Refuse turns the job away.
	Refuse
)

// Reason tells why a job was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonDraining Reason = "draining"
	ReasonBusy     Reason = "no free slot"
	ReasonHopeless Reason = "would wait too long"
	ReasonExpired  Reason = "waited too long"
	ReasonLapsed   Reason = "the granted slot has lapsed"
)

// Notice tells the shell what became of a waiting job.
type Notice struct {
	ticket Ticket
	reason Reason
}

// Ticket returns the job concerned.
func (n Notice) Ticket() Ticket { return n.ticket }

// IsRun reports whether the job got a slot; otherwise it was refused.
func (n Notice) IsRun() bool { return n.reason == "" }

// Reason returns why the job was refused.
func (n Notice) Reason() Reason { return n.reason }

type waiting struct {
	ticket  Ticket
	job     Job
	arrived time.Time
}

// compare orders jobs for the next free slot: by priority, then those that can be in time, the earliest target first, then
// the late ones, the least late first: where service times are estimated too long, it may be in time after all.
func compare(now time.Time, times estimates, a, b Job) int {
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	isLateA, isLateB := isLate(now, times, a), isLate(now, times, b)
	switch {
	case isLateA != isLateB:
		return first(isLateB)
	case isLateA:
		return b.Target.Compare(a.Target)
	}
	return a.Target.Compare(b.Target)
}

func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// isLate reports whether a job that started now would probably miss its target.
func isLate(now time.Time, times estimates, j Job) bool {
	needed := time.Duration(targetMargin * float64(times.of(j.Class)))
	return now.Add(needed).After(j.Target)
}
