package discovery

import (
	"sync"
	"time"
)

// Freshness keeps the latest moment at which the configuration in force in this daemon is known to have been the newest at
// the store, from its own reads or those of other daemons. It is safe for concurrent use.
type Freshness struct {
	mu        sync.Mutex
	currentAt time.Time
}

// UnknownAge is the age of a configuration of which it was never known that it is the newest.
const UnknownAge = 24 * time.Hour

// Record records that the configuration in force was the newest at a moment; an earlier one than known changes nothing.
func (f *Freshness) Record(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.currentAt) {
		f.currentAt = at
	}
}

// Age returns the time since the configuration in force was last known to be the newest, or UnknownAge.
func (f *Freshness) Age(now time.Time) time.Duration { return f.age(now, now.Round(0)) }

// age returns Age by the steady clock or by the time of day, whichever is longer: the steady clock does not count the time
// for which the machine was suspended, and the time of day may have been set back.
func (f *Freshness) age(steady, wall time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return UnknownAge
	}
	return min(max(0, steady.Sub(f.currentAt), wall.Sub(f.currentAt.Round(0))), UnknownAge)
}
