package slot

import "time"

// maximumLinkBacklog bounds the wait for the link with which a bulk job may start: long enough that the link never
// idles, short enough that a job can still go to another instance whose link is free sooner.
const maximumLinkBacklog = 200 * time.Millisecond

// maximumLinkWaitShare is the share of the time until its target that the expected wait of a bulk job for the link may take.
// The link is busy with a short queue too; in a longer one jobs wait that are refused in the end, since answers of other
// sizes and of other instances take the link meanwhile.
const maximumLinkWaitShare = 0.3

// Link is the outgoing link of the instance.
type Link interface {
	// Backlog returns how long a large answer that was ready now would wait for the answers being sent before it.
	Backlog(now time.Time) time.Duration
	// Duration returns how long the link takes to send an answer of some bytes.
	Duration(size int) time.Duration
}

// sendCount is the number of transfers of a large answer over the link of an instance before its client has it: from
// the owner to the entry daemon over the link of the owner's instance, and from the entry daemon to the client over the
// link of the entry daemon's instance.
const sendCount = 2

// reserveSendTime returns the job with its target and deadline moved earlier, if it is a bulk job, by the time after
// the service: sendCount transfers of the answer, at the mean send time of its class (0 for a class without samples),
// and the wait for the link of this instance, up to maximumLinkBacklog. Both are then limits on the wait and the
// service alone.
func (c *Controller) reserveSendTime(now time.Time, j Job) Job {
	if j.IsBulk {
		sending := sendCount*c.sendTimes[j.Class] + min(maximumLinkBacklog, c.Backlog(now))
		j.Target = j.Target.Add(-sending)
		j.Deadline = j.Deadline.Add(-sending)
	}
	return j
}

// RecordAnswerSize updates the mean send time of a class with a large answer of some bytes; Link must be set.
func (c *Controller) RecordAnswerSize(class string, size int) {
	c.sendTimes.update(class, c.Link.Duration(size))
}

// Backlog returns how long a large answer would wait for the link, including the expected answers of the running jobs.
func (c *Controller) Backlog(now time.Time) time.Duration {
	if c.Link == nil {
		return 0
	}
	total := c.Link.Backlog(now)
	for _, r := range c.running {
		if r.job.IsBulk {
			total += c.sendTimes[r.job.Class]
		}
	}
	return total
}

// excessBacklog returns how much longer than maximumLinkBacklog the answer of a job that started now would wait for the
// link; it is negative if the wait is shorter.
func (c *Controller) excessBacklog(now time.Time, j Job) time.Duration {
	return c.Backlog(now) - c.serviceTimes.mean(j.Class) - maximumLinkBacklog
}

// hasLinkCapacity reports whether the link will be free enough for the answer of a job that started now.
func (c *Controller) hasLinkCapacity(now time.Time, j Job) bool {
	return !j.IsBulk || c.excessBacklog(now, j) <= 0
}

// linkWait returns how long a job has to wait until hasLinkCapacity allows it to start: until the backlog of the link,
// with the answers of the queued bulk jobs that go first, is short enough. It is 0 for a job that is not bulk.
func (c *Controller) linkWait(now time.Time, j Job) time.Duration {
	if !j.IsBulk || c.Link == nil {
		return 0
	}
	ahead := c.workAhead(now, j, func(q Job) time.Duration {
		if !q.IsBulk {
			return 0
		}
		return c.sendTimes[q.Class]
	})
	return max(0, c.excessBacklog(now, j)+time.Duration(ahead))
}

// isLinkWaitTooLong reports whether a new job has to be refused because of the expected wait for the link, also where it
// could still be in time. It answers a load of downloads that asks more of the link than this carries.
func (c *Controller) isLinkWaitTooLong(now time.Time, j Job, wait time.Duration) bool {
	toTarget := max(0, j.Target.Sub(now))
	return j.IsBulk && !isLate(now, c.serviceTimes, j) && float64(wait) > maximumLinkWaitShare*float64(toTarget)
}
