package bandwidth

import "time"

// Schedule assigns writes their turns on a link, one after another in order of arrival. It reads no clock and is not
// safe for concurrent use.
//
// It is needed when an instance sends large answers faster than its link can carry them. One after another, each answer
// is complete sooner than when all share the link, and the queue of the link stays short for small messages.
type Schedule struct {
	// BytesPerSecond is the rate at which writes are sent; it is set before use.
	BytesPerSecond float64

	// freeAt is when the last turn ends.
	freeAt time.Time
}

// Reserve assigns the next turn to a write of some bytes and returns when it starts, which is now on an idle link.
func (s *Schedule) Reserve(now time.Time, size int) time.Time {
	start := now
	if s.freeAt.After(now) {
		start = s.freeAt
	}
	s.freeAt = start.Add(s.Duration(size))
	return start
}

// Duration returns how long the link takes to send a write of some bytes.
func (s *Schedule) Duration(size int) time.Duration {
	return time.Duration(float64(size) / s.BytesPerSecond * float64(time.Second))
}

// Backlog returns how long a write that began now would wait for its turn, or 0 on an idle link.
func (s *Schedule) Backlog(now time.Time) time.Duration { return max(0, s.freeAt.Sub(now)) }
