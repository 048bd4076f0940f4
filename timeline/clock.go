package timeline

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical time: a time of the system clock, and a counter that orders stamps of the same millisecond.
type Stamp struct {
	// Milliseconds is the time since 1970.
	Milliseconds int64  `json:"ms"`
	Counter      uint32 `json:"counter"`
}

// Compare returns -1 when s is before o, 0 when they are equal and 1 when s is after o. The stamp of a cause is before
// the stamps of its effects.
func (s Stamp) Compare(o Stamp) int {
	switch {
	case s.Milliseconds != o.Milliseconds && s.Milliseconds < o.Milliseconds:
		return -1
	case s.Milliseconds != o.Milliseconds:
		return 1
	case s.Counter < o.Counter:
		return -1
	case s.Counter > o.Counter:
		return 1
	}
	return 0
}

// Time returns the stamp as a time, without the counter.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Milliseconds) }

// MaximumSkew is how far a received stamp may be ahead of this instance's system clock. Stamps further ahead are
// ignored, so that one wrong clock doesn't advance those of other instances.
const MaximumSkew = time.Minute

// Clock is a hybrid logical clock; it is safe for concurrent use.
type Clock struct {
	// Now returns the time and is set before the first call of a method; nil means the system clock.
	Now func() time.Time

	mu sync.Mutex
	// last is the latest stamp given or received.
	last Stamp
}

// Stamp returns a stamp that is later than every one that Stamp returned or Receive accepted before.
func (c *Clock) Stamp() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.nowMilliseconds())
	return c.last
}

// Receive advances the clock to the stamp of a message from another instance, unless it is ahead of the system clock by
// more than MaximumSkew.
func (c *Clock) Receive(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.nowMilliseconds()
	if s.Milliseconds > now+MaximumSkew.Milliseconds() {
		return
	}
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// nowMilliseconds returns the system time in milliseconds since 1970.
func (c *Clock) nowMilliseconds() int64 {
	if c.Now == nil {
		return time.Now().UnixMilli()
	}
	return c.Now().UnixMilli()
}

// advance sets the last stamp to a time in milliseconds, or raises its counter when the time isn't later.
func (c *Clock) advance(now int64) {
	if now > c.last.Milliseconds {
		c.last = Stamp{Milliseconds: now}
		return
	}
	c.last.Counter++
}
