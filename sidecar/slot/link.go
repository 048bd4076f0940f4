package slot

import "time"

// linkBacklog is how far ahead the link is filled with large answers: enough that it never idles, little enough that a
// job can still go to another instance whose link is free sooner.
const linkBacklog = 200 * time.Millisecond

// Link tells what the outgoing link of the instance has to send.
type Link interface {
	// Backlog returns how long a large answer that was ready now would wait.
	Backlog(now time.Time) time.Duration
	// Duration returns how long an answer of some bytes takes.
	Duration(size int) time.Duration
}

// sendCount is how often a large answer is sent before its client has it: by the owner and by the entry daemon.
const sendCount = 2

// allowForSending takes the time on the links, and the wait for the one here, from the time that a job has.
func (c *Controller) allowForSending(now time.Time, j Job) Job {
	if j.IsBulk {
		sending := sendCount*c.sendTimes[j.Class] + min(linkBacklog, c.Backlog(now))
		j.Target = j.Target.Add(-sending)
		j.Deadline = j.Deadline.Add(-sending)
	}
	return j
}

// NoteSize learns from the size of a large answer of a class, in bytes.
func (c *Controller) NoteSize(class string, size int) { c.sendTimes.note(class, c.Link.Duration(size)) }

// Backlog returns how long a large answer would wait for the link, with the answers of the jobs that run.
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

// excess returns how much longer than linkBacklog the answer of a job that started now would wait for the link.
func (c *Controller) excess(now time.Time, j Job) time.Duration {
	return c.Backlog(now) - c.times.of(j.Class) - linkBacklog
}

// mayStart reports whether the link will have room for the answer of a job.
func (c *Controller) mayStart(now time.Time, j Job) bool { return !j.IsBulk || c.excess(now, j) <= 0 }

// linkWait returns how long the large answers ahead keep a job from starting.
func (c *Controller) linkWait(now time.Time, j Job) time.Duration {
	if !j.IsBulk || c.Link == nil {
		return 0
	}
	ahead := c.excess(now, j)
	for _, w := range c.queue {
		if w.job.IsBulk && compare(now, c.times, w.job, j) <= 0 {
			ahead += time.Duration(w.job.Share * float64(c.sendTimes[w.job.Class]))
		}
	}
	return max(0, ahead)
}
