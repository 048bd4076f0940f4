package store

import (
	"sync"
	"time"
)

// Era holds the newest era of the store that this daemon knows of, or 0 at first. It is safe for concurrent use.
//
// The era of a store is raised each time that it comes back from an older copy of itself. What was written since that copy
// is then lost, also if it was acknowledged, and the versions that it had are given out again.
type Era struct {
	mu     sync.Mutex
	newest uint64
	// raisedAt is when newest was last raised, other than from 0.
	raisedAt time.Time
	// raised is closed when newest is raised; it is nil while nobody waits.
	raised chan struct{}
}

// Newest returns the newest era that is known.
func (e *Era) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// RaisedAt returns when this daemon last learned that the store had come back, or the zero time.
func (e *Era) RaisedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.raisedAt
}

// Record records an era that an answer of the store or another daemon has named.
func (e *Era) Record(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.newest {
		return
	}
	if e.newest > 0 {
		e.raisedAt = time.Now()
	}
	e.newest = era
	if e.raised != nil {
		close(e.raised)
		e.raised = nil
	}
}

// After returns a channel that is closed once an era newer than the given one is known.
func (e *Era) After(era uint64) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest > era {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if e.raised == nil {
		e.raised = make(chan struct{})
	}
	return e.raised
}
