package placement

import (
	"slices"
	"time"
)

const (
	// patienceSamples is the number of requests from which the usual patience is taken.
	patienceSamples = 64
	// patienceStep is the number of requests after which it is taken anew.
	patienceStep = 8
	// patienceShare is the share of requests with less patience: above requests that come again, below a few clients that
	// wait unusually long.
	patienceShare = 0.9
	// nestedPatience is the longest usual patience of requests that other requests wait for.
	nestedPatience = 600 * time.Millisecond
)

// Patience learns how long the clients of one route wait for an answer.
//
// A request states the time that its client still waits. On a crest refused requests come back with less of it than a
// first attempt has: they miss their target whenever they run, so they should not take the place of one that can meet it.
type Patience struct {
	recent [patienceSamples]time.Duration
	count  int
	usual  time.Duration
}

// Note takes in the time that the client of a request still waits.
func (p *Patience) Note(left time.Duration) {
	p.recent[p.count%patienceSamples] = left
	p.count++
	if p.count%patienceStep != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(p.recent[:min(p.count, patienceSamples)]))
	p.usual = sorted[int(patienceShare*float64(len(sorted)-1))]
}

// Used returns how long the client of a request has waited before, 0 while the usual patience is unknown.
func (p *Patience) Used(left time.Duration) time.Duration {
	if p.IsNested(left) {
		return 0
	}
	return max(0, p.usual-left)
}

// IsNested reports whether another request probably waits for this one, whose work would be lost with it.
func (p *Patience) IsNested(left time.Duration) bool { return max(p.usual, left) <= nestedPatience }
