package bandwidth

import "time"

// Schedule gives writes their turns on a link; it is pure, and its caller serialises its calls.
//
// It answers large answers that leave one instance faster than its link carries them: in order of arrival each is
// complete sooner than when all share the link, and the queue of the link stays short for small messages.
type Schedule struct {
	// BytesPerSecond is the rate at which writes are sent; it is set before use.
	BytesPerSecond float64

	free time.Time
}

// Reserve takes the next turn for a write of some bytes and returns when it starts.
func (s *Schedule) Reserve(now time.Time, size int) time.Time {
	start := now
	if s.free.After(now) {
		start = s.free
	}
	s.free = start.Add(s.Duration(size))
	return start
}

// Duration returns how long a write of some bytes takes.
func (s *Schedule) Duration(size int) time.Duration {
	return time.Duration(float64(size) / s.BytesPerSecond * float64(time.Second))
}

// Backlog returns how long a write that came now would wait.
func (s *Schedule) Backlog(now time.Time) time.Duration { return max(0, s.free.Sub(now)) }
