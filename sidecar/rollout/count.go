package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// shortestTime is the lower end of the first bucket; shorter times are counted there.
	shortestTime = 100 * time.Microsecond
	// bucketsPerDoubling is the number of buckets from one time to its double.
	bucketsPerDoubling = 8
	// bucketCount is the number of buckets; the last one begins at about 28 minutes.
	bucketCount = 24 * bucketsPerDoubling
)

// Bucket counts the responses whose time is in one of the spans between powers of two to the eighth part.
type Bucket struct {
	Index uint8
	Count int
}

// bucketOf returns the index of the bucket of a time.
func bucketOf(d time.Duration) uint8 {
	if d <= shortestTime {
		return 0
	}
	i := int(bucketsPerDoubling * math.Log2(float64(d)/float64(shortestTime)))
	return uint8(min(i, bucketCount-1))
}

// Count holds the responses to requests of one route in some span of time. Daemons send it to each other; see package
// peer.
type Count struct {
	Route string
	// Server is the ID of the backend server if it is of the target version; it is empty for the others together.
	Server string
	// Responses are the requests that ran, of which Failures failed.
	Responses, Failures int
	// Times are the times of those that did not fail, as far as they are known.
	Times []Bucket
}

// Result is the result of a request that ran, or may have run, at a backend server.
type Result struct {
	// IsFailure is true for a failed response, or none because the backend server ended the connection.
	IsFailure bool
	// Time is how long the backend server took, or at least took if the request was cancelled; 0 is not counted.
	Time time.Duration
}

// Tally counts the requests of one service and order in one daemon. The zero value is ready for use; it is not safe for
// concurrent use.
type Tally struct {
	requests, exposed int
	counts            map[countKey]*tallied
}

type countKey struct{ route, server string }

type tallied struct {
	responses, failures int
	times               map[uint8]int
}

// Record counts the result of a request of a route. Server is the ID of a backend server of the target version, or empty
// for any other.
func (t *Tally) Record(route, server string, r Result) {
	t.requests++
	if server != "" {
		t.exposed++
	}
	key := countKey{route, server}
	if t.counts == nil {
		t.counts = map[countKey]*tallied{}
	}
	c, ok := t.counts[key]
	if !ok {
		c = &tallied{times: map[uint8]int{}}
		t.counts[key] = c
	}
	c.responses++
	switch {
	case r.IsFailure:
		c.failures++
	case r.Time > 0:
		c.times[bucketOf(r.Time)]++
	}
}

// Totals returns the number of all requests since the order, and of those at the target version.
func (t *Tally) Totals() (requests, exposed int) { return t.requests, t.exposed }

// Take returns the counts since the call before.
func (t *Tally) Take() []Count {
	counts := make([]Count, 0, len(t.counts))
	for key, c := range t.counts {
		count := Count{Route: key.route, Server: key.server, Responses: c.responses, Failures: c.failures}
		for index, n := range c.times {
			count.Times = append(count.Times, Bucket{Index: index, Count: n})
		}
		slices.SortFunc(count.Times, func(a, b Bucket) int { return int(a.Index) - int(b.Index) })
		counts = append(counts, count)
	}
	t.counts = nil
	return counts
}
