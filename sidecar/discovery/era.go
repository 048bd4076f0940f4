package discovery

import "sync"

// Era holds the newest era of the store that this daemon knows of, as defined in Page; it is 0 at first. It is safe for
// concurrent use.
type Era struct {
	mu     sync.Mutex
	newest uint64
	// raised is closed when newest is raised; it is nil while nobody waits.
	raised chan struct{}
}

// Newest returns the newest era that is known.
func (e *Era) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Record records an era that an answer of the store or another daemon has named.
func (e *Era) Record(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.newest {
		return
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
