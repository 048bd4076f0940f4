package timeline

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical time: physical milliseconds and a counter.
type Stamp struct {
	Milliseconds int64  `json:"ms"`
	Counter      uint32 `json:"counter"`
}

// Compare orders stamps; a cause always comes before its effects.
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

// Time returns the physical part.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Milliseconds) }

// MaximumSkew bounds how far ahead of the own clock a received stamp may be, so that one wrong clock moves no other.
const MaximumSkew = time.Minute

// Clock is a hybrid logical clock.
type Clock struct {
	// Now is set before the first call; nil means the system's clock.
	Now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// Stamp returns a stamp that is later than every stamp given or received before.
func (c *Clock) Stamp() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.physical())
	return c.last
}

// Receive takes note of a stamp from another instance; one too far ahead is ignored.
func (c *Clock) Receive(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.physical()
	if s.Milliseconds > now+MaximumSkew.Milliseconds() {
		return
	}
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

func (c *Clock) physical() int64 {
	if c.Now == nil {
		return time.Now().UnixMilli()
	}
	return c.Now().UnixMilli()
}

func (c *Clock) advance(now int64) {
	if now > c.last.Milliseconds {
		c.last = Stamp{Milliseconds: now}
		return
	}
	c.last.Counter++
}
