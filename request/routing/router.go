package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"siskinspar.example/membership"
)

const (
	// smoothing is the weight of a new sample in the moving average of the latency.
	smoothing = 0.2
	// defaultLatency is assumed for an endpoint without samples.
	defaultLatency = 5 * time.Millisecond
	// stallFactor is how many times the average latency a call may go unanswered before its endpoint counts as stalled.
	stallFactor = 4
	// minimumStall is the age up to which an unanswered call never counts as stalled.
	minimumStall = 20 * time.Millisecond
	// ejectionFailures is the number of consecutive failures that eject an endpoint.
	ejectionFailures = 3
	// initialEjection is the length of the first ejection; it doubles with each further one, up to maximumEjection.
	initialEjection = time.Second
	maximumEjection = 30 * time.Second
	// maximumEjectedShare is the share of the candidates above which ejections are ignored.
	maximumEjectedShare = 0.5
	// overloadBackoff is how long an endpoint that refused a call, usually for its load, is avoided.
	overloadBackoff = 100 * time.Millisecond
	// otherCentreFactor multiplies the score of a backend server in another data centre before the comparison with a local
	// one, so that calls stay in the local data centre while the difference is small.
	otherCentreFactor = 1.25
	// retestPeriod is how long an endpoint may go unused before one call is sent to it to refresh its latency.
	retestPeriod = 5 * time.Second
	// loadLifetime is how long a reported load is used in the score.
	loadLifetime = 250 * time.Millisecond
	// expiryInterval is the number of calls between two removals of unused observations.
	expiryInterval = 1024
	// observationLifetime is how long the observation of an endpoint without calls is kept.
	observationLifetime = 10 * time.Minute
)

// Router picks endpoints for one entry daemon and records how their calls end.
//
// It is not safe for concurrent use. The times passed to its methods come from the caller's clock.
type Router struct {
	// DataCentre is the data centre of the entry daemon; it is set before the first call.
	DataCentre membership.DataCentre
	// Random draws the candidates that are compared; it is set before the first call.
	Random *rand.Rand

	observations map[Endpoint]*observation
	// lastCall is the number of the latest call.
	lastCall uint64
}

// NewRouter returns a router without observations for an entry daemon in data centre d.
func NewRouter(d membership.DataCentre, r *rand.Rand) *Router {
	return &Router{DataCentre: d, Random: r, observations: map[Endpoint]*observation{}}
}

// Call identifies a call that Start returned.
type Call struct {
	endpoint Endpoint
	number   uint64
}

// Pick returns the candidate for the next call, or false if all are in tried.
//
// It compares two random candidates of the local data centre by their score, and does the same with the other data
// centres. The remote one is picked if there is no local one or its score times otherCentreFactor is lower.
func (r *Router) Pick(now time.Time, candidates []Candidate, tried []Endpoint) (Candidate, bool) {
	usable := r.withoutOverloaded(now, r.usable(now, candidates, tried))
	if len(usable) == 0 {
		return Candidate{}, false
	}
	local, remote := r.splitByDataCentre(usable)
	if len(local) == 0 {
		return r.betterOfTwo(now, remote), true
	}
	best := r.betterOfTwo(now, local)
	if len(remote) == 0 {
		return best, true
	}
	if candidate := r.betterOfTwo(now, remote); r.score(now, candidate)*otherCentreFactor < r.score(now, best) {
		return candidate, true
	}
	return best, true
}

// betterOfTwo draws two different candidates at random and returns the one with the lower score.
func (r *Router) betterOfTwo(now time.Time, from []Candidate) Candidate {
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

// usable returns the candidates that are neither in tried nor ejected.
//
// Ejected ones are included if they exceed maximumEjectedShare of the candidates or nothing else is left.
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
	if float64(len(ejected)) > maximumEjectedShare*float64(len(candidates)) || len(usable) == 0 {
		return append(usable, ejected...)
	}
	return usable
}

// withoutOverloaded drops the candidates that refused a call less than overloadBackoff ago, unless all did.
func (r *Router) withoutOverloaded(now time.Time, usable []Candidate) []Candidate {
	var accepting []Candidate
	for _, c := range usable {
		if o, ok := r.observations[c.endpoint]; !ok || !now.Before(o.overloadedUntil) {
			accepting = append(accepting, c)
		}
	}
	if len(accepting) == 0 {
		return usable
	}
	return accepting
}

// splitByDataCentre separates the candidates of the local data centre from the others.
func (r *Router) splitByDataCentre(usable []Candidate) (local, remote []Candidate) {
	for _, c := range usable {
		if c.dataCentre == r.DataCentre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	return local, remote
}

func (r *Router) isEjected(now time.Time, e Endpoint) bool {
	o, ok := r.observations[e]
	return ok && o.isEjected(now)
}

// score estimates the latency of one more call in nanoseconds; lower is better.
//
// It is the average latency times 1 plus the load per slot. While a call is stalled, its age replaces the average
// latency.
// An endpoint that is idle and was not used for retestPeriod scores 0, so that one call finds out whether it recovered.
func (r *Router) score(now time.Time, c Candidate) float64 {
	o, ok := r.observations[c.endpoint]
	if !ok {
		return float64(defaultLatency) * (1 + 1/float64(c.slots))
	}
	if len(o.outstanding) == 0 && now.Sub(o.lastUsed) > retestPeriod {
		return 0
	}
	latency := o.latency
	if o.samples == 0 {
		latency = defaultLatency
	}
	if age := o.oldestUnanswered(now); age > max(stallFactor*latency, minimumStall) {
		latency = age
	}
	load := float64(len(o.outstanding)+1) / float64(c.slots)
	if now.Sub(o.loadReceived) < loadLifetime {
		load = max(load, o.load)
	}
	return float64(latency) * (1 + load)
}

// RecordLoad records the load that the daemon beside a backend server reported with an answer or a refusal.
//
// The load is the number of running and waiting requests divided by the number of slots. A negative load and the load
// of an endpoint without an observation are ignored.
func (r *Router) RecordLoad(now time.Time, e Endpoint, load float64) {
	if o, ok := r.observations[e]; ok && load >= 0 {
		o.load = load
		o.loadReceived = now
	}
}

// Start records the start of a call to an endpoint. Finish has to be called once for the returned call.
func (r *Router) Start(now time.Time, e Endpoint) Call {
	o, ok := r.observations[e]
	if !ok {
		o = &observation{outstanding: map[uint64]outstandingCall{}}
		r.observations[e] = o
	}
	r.lastCall++
	o.outstanding[r.lastCall] = outstandingCall{started: now}
	o.lastUsed = now
	if r.lastCall%expiryInterval == 0 {
		r.expire(now)
	}
	return Call{endpoint: e, number: r.lastCall}
}

// RecordFirstByte records that the answer of a call has begun and returns its latency, or 0 if the call has ended.
func (r *Router) RecordFirstByte(now time.Time, c Call) time.Duration {
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

// Finish records how a call ended and reports whether this ejected its endpoint.
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
		o.overloadedUntil = now.Add(overloadBackoff)
	case ResultFailed:
		return o.addFailure(now)
	case ResultCancelled:
		if !call.isAnswered {
			o.addCancelled(now.Sub(call.started))
		}
	}
	return false
}

// addSample updates the average latency and ends the count of failures and the probation.
func (o *observation) addSample(latency time.Duration) {
	o.failures = 0
	o.ejections = 0
	o.isOnProbation = false
	o.samples++
	if o.samples == 1 {
		o.latency = latency
		return
	}
	o.latency += time.Duration(smoothing * float64(latency-o.latency))
}

// addCancelled raises the average latency if a call was cancelled at a greater age than the average.
//
// The latency that such a call would have had is unknown, but is at least its age.
func (o *observation) addCancelled(age time.Duration) {
	if age > o.latency {
		o.latency += time.Duration(smoothing * float64(age-o.latency))
		o.samples++
	}
}

// addFailure ejects the endpoint after ejectionFailures failures in a row, or after one while on probation.
//
// It reports whether the endpoint was ejected.
func (o *observation) addFailure(now time.Time) bool {
	o.failures++
	if o.failures < ejectionFailures && !o.isOnProbation {
		return false
	}
	// The shift is limited to 10, since maximumEjection applies long before and a greater one would overflow.
	o.ejectedUntil = now.Add(min(initialEjection<<min(o.ejections, 10), maximumEjection))
	o.ejections++
	o.failures = 0
	o.isOnProbation = true
	return true
}

// expire removes the observations of endpoints without calls for observationLifetime.
func (r *Router) expire(now time.Time) {
	for e, o := range r.observations {
		if len(o.outstanding) == 0 && now.Sub(o.lastUsed) > observationLifetime {
			delete(r.observations, e)
		}
	}
}

// Len returns the number of endpoints that have an observation.
func (r *Router) Len() int { return len(r.observations) }
