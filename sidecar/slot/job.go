package slot

import (
	"cmp"
	"time"
)

// Job is a request that asks for a slot.
type Job struct {
	// Class names requests that take about the same time.
	Class string
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// IsNested is true for a call that a running request waits for.
	IsNested bool
	// Target is when an answer stops earning its full worth.
	Target time.Time
	// Deadline is when an answer stops being of use.
	Deadline time.Time
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
	ReasonHopeless Reason = "would wait past its deadline"
	ReasonExpired  Reason = "waited past its deadline"
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
	ticket Ticket
	job    Job
}

// compare orders jobs for the next free slot: nested calls, then jobs that can be in time, then by priority and target.
func compare(now time.Time, times estimates, a, b Job) int {
	if a.IsNested != b.IsNested {
		return first(a.IsNested)
	}
	if x, y := isLate(now, times, a), isLate(now, times, b); x != y {
		return first(y)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	return a.Target.Compare(b.Target)
}

func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// isLate reports whether a job that started now would miss its target.
func isLate(now time.Time, times estimates, j Job) bool {
	return now.Add(times.of(j.Class)).After(j.Target)
}
