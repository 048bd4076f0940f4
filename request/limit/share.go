package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// Position is the place of one backend server among those that serve an intent.
//
// It refers to an order that is the same at all daemons.
type Position struct {
	// Index is the position, from 0.
	Index int
	// Count is the number of backend servers; below 1 it counts as 1.
	Count int
}

// Share is the part of a limit that one daemon may use for one backend server. It is not safe for concurrent use.
//
// The shares of all positions add up to the limit. While daemons see different numbers of backend servers, the sum is
// at most the limit times the largest of these numbers divided by the smallest. In addition, each share may start with
// a burst of one request, or of burstSeconds of its rate if that is more.
type Share struct {
	position    Position
	perSecond   float64
	concurrency int
	bucket      *rate.Limiter
	running     int
}

// NewShare returns the share of a position of a limit of requests per second and of concurrent requests.
//
// Of both, 0 means unlimited.
func NewShare(p Position, perSecond float64, concurrency int) *Share {
	s := &Share{bucket: rate.NewLimiter(rate.Inf, 1)}
	s.Set(time.Time{}, p, perSecond, concurrency)
	return s
}

// Set changes the position and the limit. Running requests and the use of the rate so far still count.
func (s *Share) Set(now time.Time, p Position, perSecond float64, concurrency int) {
	if p == s.position && perSecond == s.perSecond && concurrency == s.concurrency {
		return
	}
	s.position = p
	s.perSecond = perSecond
	s.concurrency = concurrency
	if perSecond <= 0 {
		s.bucket.SetLimitAt(now, rate.Inf)
		return
	}
	shareRate := perSecond / float64(max(1, p.Count))
	s.bucket.SetLimitAt(now, rate.Limit(shareRate))
	s.bucket.SetBurstAt(now, max(1, int(shareRate*burstSeconds)))
}

// burstSeconds is the time in seconds whose requests a share may admit at once after it was idle.
const burstSeconds = 0.1

// Acquire admits a request if the share allows it and reports whether it did. Release has to be called at the end of
// each admitted request.
func (s *Share) Acquire(now time.Time) bool {
	if s.concurrency > 0 && s.running >= s.maximumRunning() {
		return false
	}
	if !s.bucket.AllowN(now, 1) {
		return false
	}
	s.running++
	return true
}

// Release ends an admitted request, so that it no longer counts as concurrent.
func (s *Share) Release() { s.running-- }

// maximumRunning returns the share of the concurrency limit; the first positions get the remainder, one request each.
func (s *Share) maximumRunning() int {
	count := max(1, s.position.Count)
	maximum := s.concurrency / count
	if s.position.Index < s.concurrency%count {
		maximum++
	}
	return maximum
}
