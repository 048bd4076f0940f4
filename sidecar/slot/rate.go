package slot

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MinimumRate is the rate in jobs a second at which jobs start under a limit below it: without any answer a backend
	// server could not say that its limit has ended.
	MinimumRate = 0.5
	// rateBurst is the time whose jobs may start at once after a pause, besides one.
	rateBurst = 250 * time.Millisecond
)

// Unlimited is the rate limit of a backend server that takes any number of requests.
var Unlimited = math.Inf(1)

// starts bounds how many jobs start in a second; the zero value bounds nothing. A start that is given back may be taken
// again, but no more of them than a burst.
type starts struct {
	limiter   *rate.Limiter
	givenBack int
}

// setRate changes the limit in jobs a second; Unlimited removes it.
func (s *starts) setRate(now time.Time, perSecond float64) {
	if math.IsInf(perSecond, 1) {
		*s = starts{}
		return
	}
	perSecond = max(MinimumRate, perSecond)
	burst := 1 + int(perSecond*rateBurst.Seconds())
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		// The jobs that run already have used the burst.
		s.limiter.AllowN(now, burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	s.limiter.SetBurstAt(now, burst)
	s.givenBack = min(s.givenBack, burst)
}

// take reports whether a job may start now, and counts it if so.
func (s *starts) take(now time.Time) bool {
	switch {
	case s.limiter == nil:
		return true
	case s.givenBack > 0:
		s.givenBack--
		return true
	}
	return s.limiter.AllowN(now, 1)
}

// giveBack returns the start of a job that has not run.
func (s *starts) giveBack() {
	if s.limiter != nil {
		s.givenBack = min(s.givenBack+1, s.limiter.Burst())
	}
}

// wait returns how long it takes until a job may start after a number of others, or 0 without a limit.
func (s *starts) wait(now time.Time, ahead float64) time.Duration {
	if s.limiter == nil {
		return 0
	}
	missing := 1 + ahead - float64(s.givenBack) - s.limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(s.limiter.Limit())*float64(time.Second)))
}
