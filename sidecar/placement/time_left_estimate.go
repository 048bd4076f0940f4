package placement

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of latest requests from which the initial time left is computed.
	sampleCount = 64
	// updateInterval is the number of requests after which it is computed again.
	updateInterval = 8
	// initialQuantile is the quantile of the samples that is taken as the initial time left: high enough that retries,
	// which have less time left, don't lower it, and low enough that a few clients that wait unusually long don't raise
	// it.
	initialQuantile = 0.9
	// nestedShare is the largest initial time left of nested requests, as a share of the longest one of any route.
	nestedShare = 0.4
	// clientShare is the share of the requests of a route that can't be nested from which on its requests come from
	// clients.
	clientShare = 0.04
	// minimumSamples is the number of requests that this takes.
	minimumSamples = 20
	// sampleDecay is the factor by which older requests count less with each new one.
	sampleDecay = 0.99
	// sharedLifetime is how long the statement of another daemon that a route is used by clients counts.
	sharedLifetime = 20 * time.Second
	// parentMargin is by how much a nested request may state more time than the request that waits for it has left:
	// messages take time, and are rounded to milliseconds.
	parentMargin = 20 * time.Millisecond
	// maximumClientRoutes bounds the routes that one message states.
	maximumClientRoutes = 32
	// maximumRoutes bounds the routes that are kept.
	maximumRoutes = 4096
)

// TimeLeftEstimates estimates how long the clients of each route wait for an answer, to recognise retries and nested
// requests. The zero value is ready for use, and it is not safe for concurrent use.
//
// A request states the time left until its client gives up. Under overload, retries of refused requests have less time
// left than a first attempt: they miss their target whenever they run, so they should not take the place of a request
// that can meet it.
//
// A nested request is one that a backend server sends while it runs another, which waits for it; nothing in it says so.
// It arrives at the daemon of that server, and expires with the request that waits for it at the latest. So a request
// with more time left than any that runs there comes from a client. Daemons tell each other of which routes that holds;
// of the others, those with a short time left are taken for nested.
type TimeLeftEstimates struct {
	routes map[string]*timeLeftEstimate
	// longest is the longest initial time left of any route.
	longest time.Duration
}

// timeLeftEstimate is the estimate for one route.
type timeLeftEstimate struct {
	samples [sampleCount]time.Duration
	count   int
	// initial is the estimated time left of first attempts, or 0 until updateInterval samples are known.
	initial time.Duration
	// seen counts the requests, and fromClients those that can't be nested; older ones count less.
	seen, fromClients float64
	// sharedAt is when another daemon last stated that the route is used by clients.
	sharedAt time.Time
}

// Record adds a request of a route with the time left until its client gives up. LongestRunning is the longest time left
// of the requests that run at the backend server of the daemon where it arrived, or 0 if none runs.
func (e *TimeLeftEstimates) Record(route string, left, longestRunning time.Duration) {
	r := e.estimate(route)
	r.samples[r.count%sampleCount] = left
	r.count++
	r.seen = sampleDecay*r.seen + 1
	r.fromClients *= sampleDecay
	if left > longestRunning+parentMargin {
		r.fromClients++
	}
	if r.count%updateInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(r.samples[:min(r.count, sampleCount)]))
	r.initial = sorted[int(initialQuantile*float64(len(sorted)-1))]
	e.longest = 0
	for _, o := range e.routes {
		e.longest = max(e.longest, o.initial)
	}
}

// estimate returns the estimate of a route, which it creates if needed.
func (e *TimeLeftEstimates) estimate(route string) *timeLeftEstimate {
	if e.routes == nil || len(e.routes) >= maximumRoutes {
		e.routes = map[string]*timeLeftEstimate{}
	}
	r, ok := e.routes[route]
	if !ok {
		r = &timeLeftEstimate{}
		e.routes[route] = r
	}
	return r
}

// Waited returns how long the client of a request has already waited, given its time left: the difference to the
// initial time left. It returns 0 for nested requests and until the initial time left is known.
func (e *TimeLeftEstimates) Waited(now time.Time, route string, left time.Duration) time.Duration {
	r, ok := e.routes[route]
	if !ok || e.IsNested(now, route) {
		return 0
	}
	return max(0, r.initial-left)
}

// IsNested reports whether the requests of a route are probably nested: their first attempts have a short time left, and
// no daemon has found that clients send them.
func (e *TimeLeftEstimates) IsNested(now time.Time, route string) bool {
	r, ok := e.routes[route]
	if !ok || r.initial == 0 || r.isFromClients(now) {
		return false
	}
	return float64(r.initial) <= nestedShare*float64(e.longest)
}

// isFromClients reports whether this or another daemon has found that clients send the requests of the route.
func (r *timeLeftEstimate) isFromClients(now time.Time) bool {
	return r.isSeenFromClients() || !r.sharedAt.IsZero() && now.Sub(r.sharedAt) < sharedLifetime
}

// isSeenFromClients reports whether this daemon has found that.
func (r *timeLeftEstimate) isSeenFromClients() bool {
	return r.count >= minimumSamples && r.fromClients >= clientShare*r.seen
}

// ClientRoutes returns routes of which this daemon has found that clients send their requests, for other daemons. Of
// more than maximumClientRoutes it returns a different part each time.
func (e *TimeLeftEstimates) ClientRoutes() []string {
	var found []string
	for name, r := range e.routes {
		if len(found) == maximumClientRoutes {
			break
		}
		if r.isSeenFromClients() {
			found = append(found, name)
		}
	}
	return found
}

// MergeClientRoutes records the routes that another daemon has stated at the time now.
func (e *TimeLeftEstimates) MergeClientRoutes(now time.Time, routes []string) {
	for _, name := range routes {
		e.estimate(name).sharedAt = now
	}
}
