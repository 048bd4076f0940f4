package routing

import (
	"math/rand/v2"
	"time"

	"siskinspar.example/membership"
)

const (
	// smoothing is the weight of a new latency sample.
	smoothing = 0.2
	// neutralLatency stands in for the latency of an endpoint without samples.
	neutralLatency = 5 * time.Millisecond
	// stallFactor is how many times its usual latency a call may be out before its endpoint counts as stalled.
	stallFactor = 4
	// stallFloor is the shortest age that counts as a stall.
	stallFloor = 20 * time.Millisecond
	// ejectionFailures is the number of failures in a row that eject an endpoint.
	ejectionFailures = 3
	// firstEjection doubles with each further ejection, up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// ejectionShare is the largest share of the candidates that ejections may take out.
	ejectionShare = 0.5
	// fullTime is how long an endpoint that refused a call for its load is passed over.
	fullTime = 100 * time.Millisecond
	// observationLifetime is how long an unused observation is kept.
	observationLifetime = 10 * time.Minute
)

// Router picks endpoints for one entry daemon; its calls are serialised by the shell.
type Router struct {
	// DataCentre and Random are set before the first call.
	DataCentre membership.DataCentre
	Random     *rand.Rand

	observations map[Endpoint]*observation
	nextCall     uint64
}

// NewRouter returns a router without observations.
func NewRouter(d membership.DataCentre, r *rand.Rand) *Router {
	return &Router{DataCentre: d, Random: r, observations: map[Endpoint]*observation{}}
}

// Call is one call to an endpoint that has been started.
type Call struct {
	endpoint Endpoint
	number   uint64
}

// Pick chooses the better of two random candidates, nearest data centre first.
//
// Endpoints in tried are left out. The result is false when none is left.
func (r *Router) Pick(now time.Time, candidates []Candidate, tried []Endpoint) (Candidate, bool) {
	usable := r.usable(now, candidates, tried)
	if len(usable) == 0 {
		return Candidate{}, false
	}
	near := r.preferred(now, usable)
	first := near[r.Random.IntN(len(near))]
	second := near[r.Random.IntN(len(near))]
	if r.score(now, second) < r.score(now, first) {
		return second, true
	}
	return first, true
}

// usable drops tried and ejected candidates; when ejections took out too many, ejected ones count again.
func (r *Router) usable(now time.Time, candidates []Candidate, tried []Endpoint) []Candidate {
	var usable, ejected []Candidate
	for _, c := range candidates {
		switch {
		case contains(tried, c.endpoint):
		case r.isEjected(now, c.endpoint):
			ejected = append(ejected, c)
		default:
			usable = append(usable, c)
		}
	}
	if float64(len(ejected)) > ejectionShare*float64(len(candidates)) || len(usable) == 0 {
		return append(usable, ejected...)
	}
	return usable
}

// preferred returns the candidates of the own data centre that are not full, else any that is not full, else all.
func (r *Router) preferred(now time.Time, usable []Candidate) []Candidate {
	var near, open []Candidate
	for _, c := range usable {
		if o, ok := r.observations[c.endpoint]; ok && now.Before(o.fullUntil) {
			continue
		}
		open = append(open, c)
		if c.dataCentre == r.DataCentre {
			near = append(near, c)
		}
	}
	switch {
	case len(near) > 0:
		return near
	case len(open) > 0:
		return open
	}
	return usable
}

func contains(list []Endpoint, e Endpoint) bool {
	for _, o := range list {
		if o == e {
			return true
		}
	}
	return false
}

func (r *Router) isEjected(now time.Time, e Endpoint) bool {
	o, ok := r.observations[e]
	return ok && o.isEjected(now)
}

// score estimates the latency of one more call; a stalled call raises it by the time that it is already out.
func (r *Router) score(now time.Time, c Candidate) float64 {
	o, ok := r.observations[c.endpoint]
	if !ok {
		return float64(neutralLatency)
	}
	latency := o.latency
	if o.samples == 0 {
		latency = neutralLatency
	}
	if age := o.oldest(now); age > max(stallFactor*latency, stallFloor) {
		latency = age
	}
	load := float64(len(o.outstanding)+1) / float64(c.slots)
	return float64(latency) * (1 + load)
}

// Start notes that a call to an endpoint has begun.
func (r *Router) Start(now time.Time, e Endpoint) Call {
	o, ok := r.observations[e]
	if !ok {
		o = &observation{outstanding: map[uint64]time.Time{}}
		r.observations[e] = o
	}
	r.nextCall++
	o.outstanding[r.nextCall] = now
	o.seen = now
	return Call{endpoint: e, number: r.nextCall}
}

// Finish notes how a call ended and reports whether its endpoint has just been ejected.
func (r *Router) Finish(now time.Time, c Call, result Result) bool {
	o, ok := r.observations[c.endpoint]
	if !ok {
		return false
	}
	started, ok := o.outstanding[c.number]
	if !ok {
		return false
	}
	delete(o.outstanding, c.number)
	switch result {
	case ResultAnswered:
		o.addSample(now.Sub(started))
	case ResultRefused:
		o.fullUntil = now.Add(fullTime)
	case ResultFailed:
		return o.addFailure(now)
	case ResultCancelled:
		o.addCensored(now.Sub(started))
	}
	return false
}

func (o *observation) addSample(latency time.Duration) {
	o.failures = 0
	o.ejections = 0
	o.isProbation = false
	o.samples++
	if o.samples == 1 {
		o.latency = latency
		return
	}
	o.latency += time.Duration(smoothing * float64(latency-o.latency))
}

// addCensored raises the latency when a cancelled call was already out longer than usual.
func (o *observation) addCensored(age time.Duration) {
	if age > o.latency {
		o.latency += time.Duration(smoothing * float64(age-o.latency))
		o.samples++
	}
}

func (o *observation) addFailure(now time.Time) bool {
	o.failures++
	if o.failures < ejectionFailures && !o.isProbation {
		return false
	}
	o.ejectedUntil = now.Add(min(firstEjection<<min(o.ejections, 10), longestEjection))
	o.ejections++
	o.failures = 0
	o.isProbation = true
	return true
}

// Latency returns the smoothed latency of an endpoint and whether it has been observed.
func (r *Router) Latency(e Endpoint) (time.Duration, bool) {
	o, ok := r.observations[e]
	if !ok || o.samples == 0 {
		return 0, false
	}
	return o.latency, true
}

// Expire forgets endpoints without calls for ten minutes.
func (r *Router) Expire(now time.Time) {
	for e, o := range r.observations {
		if len(o.outstanding) == 0 && now.Sub(o.seen) > observationLifetime {
			delete(r.observations, e)
		}
	}
}
