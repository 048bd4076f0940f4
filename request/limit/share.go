package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// Place is the position of one daemon among those that serve an intent, in an order that all of them see alike.
type Place struct {
	// Index and Count are the position among the backend servers and their number.
	Index int
	Count int
}

// Share is the part of a limit that one daemon may use.
//
// The shares of all places add up to the limit. While daemons see different
// numbers of servers, the sum is at most the limit times the largest number
// over the smallest, and each share may start with a burst of one request.
type Share struct {
	place       Place
	perSecond   float64
	concurrency int
	bucket      *rate.Limiter
	running     int
}

// NewShare returns the share of a place; a limit of 0 means none.
func NewShare(p Place, perSecond float64, concurrency int) *Share {
	s := &Share{bucket: rate.NewLimiter(rate.Inf, 1)}
	s.Set(time.Time{}, p, perSecond, concurrency)
	return s
}

// Set changes the place and the limit; what has been used stays used.
func (s *Share) Set(now time.Time, p Place, perSecond float64, concurrency int) {
	if p == s.place && perSecond == s.perSecond && concurrency == s.concurrency {
		return
	}
	s.place = p
	s.perSecond = perSecond
	s.concurrency = concurrency
	if perSecond <= 0 {
		s.bucket.SetLimitAt(now, rate.Inf)
		return
	}
	part := perSecond / float64(max(1, p.Count))
	s.bucket.SetLimitAt(now, rate.Limit(part))
	s.bucket.SetBurstAt(now, max(1, int(part*burstSeconds)))
}

// burstSeconds is the time of whose share a daemon may run at once after it was idle.
const burstSeconds = 0.1

// Enter reports whether a request fits the share; each success has to be followed by Leave.
func (s *Share) Enter(now time.Time) bool {
	if s.concurrency > 0 && s.running >= s.slots() {
		return false
	}
	if !s.bucket.AllowN(now, 1) {
		return false
	}
	s.running++
	return true
}

// Leave notes the end of a request.
func (s *Share) Leave() { s.running-- }

// slots divides the concurrency so that the first places get one more when it doesn't divide evenly.
func (s *Share) slots() int {
	count := max(1, s.place.Count)
	slots := s.concurrency / count
	if s.place.Index < s.concurrency%count {
		slots++
	}
	return slots
}
