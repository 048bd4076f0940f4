package routing

import (
	"math/rand/v2"
	"slices"
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
	// spillFactor is how many times the score of a backend server in another data centre may exceed its own value
	// before it counts as worse than one nearby; hysteresis keeps calls near.
	spillFactor = 1.25
	// retestPeriod is how long an endpoint may go unused before one call finds out how it does now.
	retestPeriod = 5 * time.Second
	// loadLifetime is how long the load that an owner stated counts.
	loadLifetime = 250 * time.Millisecond
	// expiryCalls is the number of calls from one look for unused observations to the next.
	expiryCalls = 1024
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

// Pick chooses the better of two random candidates of the nearest data centre, or one of another data centre that
// is better still.
//
// Endpoints in tried are left out. The result is false when none is left.
func (r *Router) Pick(now time.Time, candidates []Candidate, tried []Endpoint) (Candidate, bool) {
	usable := r.open(now, r.usable(now, candidates, tried))
	if len(usable) == 0 {
		return Candidate{}, false
	}
	near, far := r.divide(usable)
	if len(near) == 0 {
		return r.better(now, far), true
	}
	best := r.better(now, near)
	if len(far) == 0 {
		return best, true
	}
	if other := r.better(now, far); r.score(now, other)*spillFactor < r.score(now, best) {
		return other, true
	}
	return best, true
}

// better returns the better of two different candidates drawn at random.
func (r *Router) better(now time.Time, from []Candidate) Candidate {
	i := r.Random.IntN(len(from))
	if len(from) == 1 {
		return from[i]
	}
	j := (i + 1 + r.Random.IntN(len(from)-1)) % len(from)
	if r.score(now, from[j]) < r.score(now, from[i]) {
		return from[j]
	}
	return from[i]
}

// usable drops tried and ejected candidates; when ejections took out too many, ejected ones count again.
func (r *Router) usable(now time.Time, candidates []Candidate, tried []Endpoint) []Candidate {
	var usable, ejected []Candidate
	for _, c := range candidates {
		switch {
		case slices.Contains(tried, c.endpoint):
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

// open leaves out the candidates that have just refused a call for their load, unless all have.
func (r *Router) open(now time.Time, usable []Candidate) []Candidate {
	var open []Candidate
	for _, c := range usable {
		if o, ok := r.observations[c.endpoint]; !ok || !now.Before(o.fullUntil) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return usable
	}
	return open
}

// divide parts the candidates of the own data centre from the others.
func (r *Router) divide(usable []Candidate) (near, far []Candidate) {
	for _, c := range usable {
		if c.dataCentre == r.DataCentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

func (r *Router) isEjected(now time.Time, e Endpoint) bool {
	o, ok := r.observations[e]
	return ok && o.isEjected(now)
}

// score estimates the latency of one more call; a stalled call raises it by the time that it is already out.
//
// An endpoint that has not been used for a while scores best once, so that a recovered one is found again.
func (r *Router) score(now time.Time, c Candidate) float64 {
	o, ok := r.observations[c.endpoint]
	if !ok {
		return float64(neutralLatency) * (1 + 1/float64(c.slots))
	}
	if len(o.outstanding) == 0 && now.Sub(o.seen) > retestPeriod {
		return 0
	}
	latency := o.latency
	if o.samples == 0 {
		latency = neutralLatency
	}
	if age := o.oldest(now); age > max(stallFactor*latency, stallFloor) {
		latency = age
	}
	load := float64(len(o.outstanding)+1) / float64(c.slots)
	if now.Sub(o.loadAt) < loadLifetime {
		load = max(load, o.load)
	}
	return float64(latency) * (1 + load)
}

// NoteLoad notes the load that the daemon beside a backend server stated with an answer or a refusal: running and
// waiting requests for each slot.
func (r *Router) NoteLoad(now time.Time, e Endpoint, load float64) {
	if o, ok := r.observations[e]; ok && load >= 0 {
		o.load = load
		o.loadAt = now
	}
}

// Start notes that a call to an endpoint has begun.
func (r *Router) Start(now time.Time, e Endpoint) Call {
	o, ok := r.observations[e]
	if !ok {
		o = &observation{outstanding: map[uint64]outstandingCall{}}
		r.observations[e] = o
	}
	r.nextCall++
	o.outstanding[r.nextCall] = outstandingCall{started: now}
	o.seen = now
	if r.nextCall%expiryCalls == 0 {
		r.expire(now)
	}
	return Call{endpoint: e, number: r.nextCall}
}

// Answer notes that the answer of a call has begun and returns its latency.
func (r *Router) Answer(now time.Time, c Call) time.Duration {
	o, ok := r.observations[c.endpoint]
	if !ok {
		return 0
	}
	call, ok := o.outstanding[c.number]
	if !ok {
		return 0
	}
	call.isAnswered = true
	o.outstanding[c.number] = call
	latency := now.Sub(call.started)
	o.addSample(latency)
	return latency
}

// Finish notes how a call ended and reports whether its endpoint has just been ejected.
func (r *Router) Finish(now time.Time, c Call, result Result) bool {
	o, ok := r.observations[c.endpoint]
	if !ok {
		return false
	}
	call, ok := o.outstanding[c.number]
	if !ok {
		return false
	}
	delete(o.outstanding, c.number)
	switch result {
	case ResultAnswered:
	case ResultRefused:
		o.fullUntil = now.Add(fullTime)
	case ResultFailed:
		return o.addFailure(now)
	case ResultCancelled:
		if !call.isAnswered {
			o.addCensored(now.Sub(call.started))
		}
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

// expire forgets endpoints without calls for ten minutes.
func (r *Router) expire(now time.Time) {
	for e, o := range r.observations {
		if len(o.outstanding) == 0 && now.Sub(o.seen) > observationLifetime {
			delete(r.observations, e)
		}
	}
}

// Len returns the number of endpoints that are remembered.
func (r *Router) Len() int { return len(r.observations) }
