package slot

import (
	"cmp"
	"time"
)

// targetMargin is the time that a job needs before its target, in mean service times of its class. It is above 1
// because service times vary widely.
const targetMargin = 1.5

// Job is a request that asks for a slot.
type Job struct {
	// Class groups requests that take about the same time to serve.
	Class string
	// OrganisationPriority is the rank of the organisation that the request belongs to, which goes before Priority; 0 is the
	// highest, and that of a request without organisation.
	OrganisationPriority int
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// IsFlood is true if the organisation that the request belongs to asks for much more than its quota.
	IsFlood bool
	// Target is the time by which the request should be answered; a later answer is still useful, but worth less.
	Target time.Time
	// Deadline is the time after which an answer is useless.
	Deadline time.Time
	// IsBulk is true for a job whose answer is large and must be sent over the outgoing link of the instance. Answers to
	// requests of kind route.Download are taken as large. If the request entered at this daemon, its answer is sent over
	// the link to the client in any case, so its job is not bulk.
	IsBulk bool
	// IsNested is true for the job of a nested request, as defined in package placement; it may wait until its deadline
	// even when it is late.
	IsNested bool
	// Share is the fraction of the request that this queue counts: 0.25 for a request that waits in four queues at
	// once.
	Share float64
}

// Ticket identifies a job that runs or waits at one controller. Once the job has a slot, its ticket identifies the
// grant.
type Ticket uint64

// Decision is the decision on an arriving job.
type Decision int

// The possible decisions on an arriving job.
const (
	// Run gives the job a slot at once.
	Run Decision = iota
	// Wait puts the job into the queue.
	Wait
	// Refuse means that the job neither runs nor is queued.
	Refuse
)

// Reason tells why a job was refused or lost its granted slot. Reasons are sent to entry daemons, which compare some of
// them, so their texts must not change.
type Reason string

// The reasons of a refusal, and of the loss of a granted slot.
const (
	// ReasonDraining means that the backend server accepts no further jobs.
	ReasonDraining Reason = "draining"
	// ReasonBusy means that no slot was free for a job that may not wait.
	ReasonBusy Reason = "no free slot"
	// ReasonWaitTooLong means that the expected wait was too long when the job arrived.
	ReasonWaitTooLong Reason = "would wait too long"
	// ReasonLinkWaitTooLong means that the expected wait for the link alone was too long when the job arrived.
	ReasonLinkWaitTooLong Reason = "would wait too long for the link"
	// ReasonRateWaitTooLong means that the expected wait for the rate limit alone was too long when the job arrived.
	ReasonRateWaitTooLong Reason = "would wait too long for the rate limit"
	// ReasonWaitedTooLong means that the job was removed from the queue after too long a wait.
	ReasonWaitedTooLong Reason = "waited too long"
	// ReasonLinkWaitedTooLong means the same for a job that the link still kept from a slot.
	ReasonLinkWaitedTooLong Reason = "waited too long for the link"
	// ReasonGrantExpired means that a granted slot was freed because it was not claimed in time.
	ReasonGrantExpired Reason = "the granted slot has lapsed"
)

// StatusChange reports that a queued job got a slot or was refused, or that the grant of a slot has expired.
type StatusChange struct {
	ticket Ticket
	reason Reason
}

// Ticket returns the ticket of the job whose status changed.
func (s StatusChange) Ticket() Ticket { return s.ticket }

// IsRun reports whether the job got a slot; otherwise it was refused or its grant expired.
func (s StatusChange) IsRun() bool { return s.reason == "" }

// Reason returns why the job was refused or lost its granted slot; it is empty for a job that got a slot.
func (s StatusChange) Reason() Reason { return s.reason }

// queuedJob is a job that waits for a slot.
type queuedJob struct {
	ticket  Ticket
	job     Job
	arrived time.Time
}

// compareRank orders jobs by priority, that of the organisation first; it is negative if a goes first.
func compareRank(a, b Job) int {
	return cmp.Or(cmp.Compare(a.OrganisationPriority, b.OrganisationPriority), cmp.Compare(a.Priority, b.Priority))
}

// compareJobs orders jobs for the next free slot; it is negative if a goes first. The higher priority, which is the
// lower number, goes first. Within a priority, jobs that can still meet their target go before those that are late, and
// of either those of an organisation that floods go last. Of the jobs in time, the one with the earliest target goes
// first. Of the late jobs, the one with the latest target goes first: it is the least late, and may meet its target
// after all if the estimated service time is too long.
func compareJobs(now time.Time, serviceTimes estimates, a, b Job) int {
	if order := compareRank(a, b); order != 0 {
		return order
	}
	isLateA, isLateB := isLate(now, serviceTimes, a), isLate(now, serviceTimes, b)
	switch {
	case isLateA != isLateB:
		return firstIf(isLateB)
	case a.IsFlood != b.IsFlood:
		return firstIf(b.IsFlood)
	case isLateA:
		return b.Target.Compare(a.Target)
	}
	return a.Target.Compare(b.Target)
}

// firstIf returns -1, which sorts a before b, if isFirst is true, and 1 otherwise.
func firstIf(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// isLate reports whether a job that started now would probably miss its target.
func isLate(now time.Time, serviceTimes estimates, j Job) bool {
	needed := time.Duration(targetMargin * float64(serviceTimes.mean(j.Class)))
	return now.Add(needed).After(j.Target)
}
