package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"siskinspar.example/sidecar/member"
)

const (
	// referenceServiceTime is the answer time assumed for a route before one of its requests was answered. Estimates only
	// compare backend servers, so it matters only in proportion to the delays of Transfer. It is not the fallback of
	// package slot for classes without samples.
	referenceServiceTime = 100 * time.Millisecond
	// smoothing is the weight of a new sample in the moving average of the relative time.
	smoothing = 0.15
	// maximumRelativeTime bounds the sample of a single slow answer.
	maximumRelativeTime = 5
	// maximumFailureShare is the share of failed requests above which a backend server is only used if no other is
	// left.
	maximumFailureShare = 0.3
	// failureSmoothing is the weight of a new success or failure in the moving average of the share of failures.
	failureSmoothing = 0.15
	// failureLifetime is how long the failures of a backend server count after the last one.
	failureLifetime = 3 * time.Second
	// maximumBacklog is the wait for the link of an instance above which a large answer is not sent there without a
	// granted slot. It is longer than the limit of the owner, maximumLinkBacklog in package slot: the owner knows how
	// far the backlog shrinks until the answer is ready.
	maximumBacklog = 400 * time.Millisecond
	// loadLifetime is how long a load that an owner stated is used.
	loadLifetime = 500 * time.Millisecond
	// staleLoadPerSlot replaces the load per slot of a backend server if its load is older than loadLifetime.
	staleLoadPerSlot = 0.6
	// fullLoadSlowdown is the share by which a full backend server takes longer than an empty one.
	fullLoadSlowdown = 0.5
)

// Placer picks backend servers for the requests that one daemon receives from clients. It is not safe for concurrent
// use.
type Placer struct {
	// Address is the address of this daemon; it is set before use.
	Address string
	// DataCentre is the data centre of this daemon; it is set before use.
	DataCentre string
	// Random decides between equal backend servers; it is set before use.
	Random *rand.Rand

	// observed holds the observations by the ID of the backend server.
	observed map[string]*observation
}

// observation summarises the requests that were sent to one backend server.
type observation struct {
	// relativeTime is the moving average of the time to an answer, divided by the mean answer time of its route.
	relativeTime float64
	// bulkRelativeTime is the same for large bodies and answers; it includes the time on the links.
	bulkRelativeTime float64
	// failureShare is the moving average of the share of failed requests.
	failureShare float64
	lastFailure  time.Time
}

// observationOf returns the observation of a backend server, which it creates if needed.
func (p *Placer) observationOf(id string) *observation {
	if p.observed == nil {
		p.observed = map[string]*observation{}
	}
	o, ok := p.observed[id]
	if !ok {
		o = &observation{relativeTime: 1, bulkRelativeTime: 1}
		p.observed[id] = o
	}
	return o
}

// RecordAnswer records an answer of a backend server: the time that it took, as measured by the entry daemon, and the
// mean answer time of its route. With a mean of 0 only the success counts.
func (p *Placer) RecordAnswer(id string, took, mean time.Duration, t Transfer) {
	o := p.observationOf(id)
	o.failureShare -= failureSmoothing * o.failureShare
	if mean <= 0 {
		return
	}
	sample := min(float64(took)/float64(mean), maximumRelativeTime)
	if t.Kind.IsLarge() {
		o.bulkRelativeTime += smoothing * (sample - o.bulkRelativeTime)
		return
	}
	o.relativeTime += smoothing * (sample - o.relativeTime)
}

// relativeTimeOf returns how long a backend server takes, relative to the mean answer time of a route; it is 1 for an
// unknown one.
func (p *Placer) relativeTimeOf(id string, t Transfer) float64 {
	o, ok := p.observed[id]
	switch {
	case !ok:
		return 1
	case t.Kind.IsLarge():
		return o.bulkRelativeTime
	}
	return o.relativeTime
}

// RecordFailure records a request that the backend server failed.
func (p *Placer) RecordFailure(now time.Time, id string) {
	o := p.observationOf(id)
	o.failureShare += failureSmoothing * (1 - o.failureShare)
	o.lastFailure = now
}

// isFailing reports whether a backend server has lately failed more than maximumFailureShare of the requests from here.
func (p *Placer) isFailing(now time.Time, id string) bool {
	o, ok := p.observed[id]
	return ok && o.failureShare > maximumFailureShare && now.Sub(o.lastFailure) < failureLifetime
}

// PickFree returns the backend server with a free slot that is expected to answer first, or false if there is none. The
// IDs of tried backend servers are left out, and for a large answer other instances with more than maximumBacklog.
func (p *Placer) PickFree(now time.Time, candidates []member.Candidate, tried []string, t Transfer) (member.Candidate, bool) {
	var best member.Candidate
	var bestTime time.Duration
	found := false
	usable := p.Usable(now, candidates, tried)
	p.Random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	for _, c := range usable {
		if !c.Load.IsFree() || t.isDownload() && c.Address != p.Address && c.Load.Backlog > maximumBacklog {
			continue
		}
		expected := p.expectedTime(c, t)
		if !found || expected < bestTime {
			best, bestTime, found = c, expected, true
		}
	}
	return best, found
}

// ByDataCentre divides the candidates into those in the data centre of this daemon and the others.
func (p *Placer) ByDataCentre(candidates []member.Candidate) (own, others []member.Candidate) {
	for _, c := range candidates {
		if c.DataCentre == p.DataCentre {
			own = append(own, c)
		} else {
			others = append(others, c)
		}
	}
	return own, others
}

// PickQueues returns up to count backend servers in whose queues a request should wait, the shortest expected wait
// first. If there are no more than count, their order is random.
func (p *Placer) PickQueues(now time.Time, candidates []member.Candidate, tried []string, count int, t Transfer) []member.Candidate {
	usable := p.Usable(now, candidates, tried)
	p.Random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	if len(usable) <= count {
		return usable
	}
	slices.SortStableFunc(usable, func(a, b member.Candidate) int {
		return cmp.Compare(p.expectedWait(a, t), p.expectedWait(b, t))
	})
	return usable[:count]
}

// expectedWait estimates the wait for a slot at a backend server from its load per slot and its relative time, and adds
// the wait for its rate limit and the delay of the transfer. It only serves to compare backend servers.
func (p *Placer) expectedWait(c member.Candidate, t Transfer) time.Duration {
	return time.Duration(float64(t.answerTime())*loadPerSlot(c)*p.relativeTimeOf(c.Server.ID, t)) + c.Load.StartWait + t.delay(p, c)
}

// loadPerSlot returns the running and waiting requests of a backend server for each slot. An old load is replaced by
// staleLoadPerSlot: daemons that all relied on it would send their requests to the same backend server.
func loadPerSlot(c member.Candidate) float64 {
	if c.LoadAge > loadLifetime {
		return staleLoadPerSlot
	}
	return float64(c.Load.Running+c.Load.Waiting) / float64(max(1, c.Load.Slots))
}

// Usable returns the candidates without those that were tried. Candidates that are unreachable or fail many requests
// are returned only if no others are left, and those whose daemon is stopping only if there are none of these either:
// when all daemons of a service are stopped at once, they serve the requests that were read.
func (p *Placer) Usable(now time.Time, candidates []member.Candidate, tried []string) []member.Candidate {
	var healthy, unhealthy, stopping []member.Candidate
	for _, c := range candidates {
		switch {
		case slices.Contains(tried, c.Server.ID):
		case c.IsStopping:
			stopping = append(stopping, c)
		case c.IsUnreachable || c.Load.Failing > maximumFailureShare || p.isFailing(now, c.Server.ID):
			unhealthy = append(unhealthy, c)
		default:
			healthy = append(healthy, c)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(unhealthy) > 0:
		return unhealthy
	}
	return stopping
}

// expectedTime estimates the time until an answer arrives here; it only serves to compare backend servers of one
// service.
func (p *Placer) expectedTime(c member.Candidate, t Transfer) time.Duration {
	relativeTime := p.relativeTimeOf(c.Server.ID, t)
	return time.Duration(float64(t.answerTime())*relativeTime*(1+fullLoadSlowdown*loadPerSlot(c))) + t.delay(p, c)
}
