package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"siskinspar.example/sidecar/member"
)

const (
	// neutralTime stands in for the service time of a backend server without samples.
	neutralTime = 100 * time.Millisecond
	// smoothing is the weight of a new time.
	smoothing = 0.15
	// maximumPace bounds the weight of a single slow answer.
	maximumPace = 5
	// failureShare is the share of failures above which a backend server is passed over while others are left.
	failureShare = 0.3
	// failureSmoothing is the weight of a new success or failure.
	failureSmoothing = 0.15
	// failureMemory is how long the failures of a backend server count without new ones.
	failureMemory = 3 * time.Second
	// distance is what another data centre adds to the expected time of a request.
	distance = 12 * time.Millisecond
	// bulkDistance is what another data centre adds for large answers, whose bytes between data centres are dear.
	bulkDistance = 150 * time.Millisecond
	// nearby is what another instance of the own data centre adds.
	nearby = 2 * time.Millisecond
	// maximumBacklog is the wait for the link of an instance above which a large answer is not sent there without a
	// reservation. It is longer than the bound of the owner, which knows how far the link empties meanwhile.
	maximumBacklog = 400 * time.Millisecond
	// loadLifetime is how long a load that an owner stated counts.
	loadLifetime = 500 * time.Millisecond
	// unknownFill stands in for the load of a backend server that has not stated one lately.
	unknownFill = 0.6
	// crowding is the share by which a full backend server takes longer than an empty one.
	crowding = 0.5
)

// Placer picks backend servers for one entry daemon; the shell serialises its calls.
type Placer struct {
	// Address, DataCentre and Random are set before use.
	Address    string
	DataCentre string
	Random     *rand.Rand

	observed map[string]*observation
}

// observation is what the requests sent to one backend server showed.
type observation struct {
	pace float64
	// bulkPace is that of large answers, which takes in the links on their way.
	bulkPace float64
	failures float64
	failed   time.Time
}

func (p *Placer) of(id string) *observation {
	if p.observed == nil {
		p.observed = map[string]*observation{}
	}
	o, ok := p.observed[id]
	if !ok {
		o = &observation{pace: 1, bulkPace: 1}
		p.observed[id] = o
	}
	return o
}

// NoteAnswer takes in the time of an answer, as its sender saw it, relative to the usual time of its route.
func (p *Placer) NoteAnswer(id string, took, usual time.Duration, isBulk bool) {
	o := p.of(id)
	o.failures -= failureSmoothing * o.failures
	if usual <= 0 {
		return
	}
	sample := min(float64(took)/float64(usual), maximumPace)
	if isBulk {
		o.bulkPace += smoothing * (sample - o.bulkPace)
		return
	}
	o.pace += smoothing * (sample - o.pace)
}

// paceOf returns how long a backend server takes, relative to the others.
func (p *Placer) paceOf(id string, isBulk bool) float64 {
	o, ok := p.observed[id]
	switch {
	case !ok:
		return 1
	case isBulk:
		return o.bulkPace
	}
	return o.pace
}

// NoteFailure takes in a request that the backend server failed.
func (p *Placer) NoteFailure(now time.Time, id string) {
	o := p.of(id)
	o.failures += failureSmoothing * (1 - o.failures)
	o.failed = now
}

// isFailing reports whether a backend server fails many of its requests.
func (p *Placer) isFailing(now time.Time, id string) bool {
	o, ok := p.observed[id]
	return ok && o.failures > failureShare && now.Sub(o.failed) < failureMemory
}

// Free returns the backend server with a free slot that is expected to answer first.
func (p *Placer) Free(now time.Time, from []member.Candidate, tried []string, isBulk bool) (member.Candidate, bool) {
	var best member.Candidate
	var bestTime time.Duration
	found := false
	usable := p.usable(now, from, tried)
	p.Random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	for _, c := range usable {
		if !c.Load.IsFree() || isBulk && c.Address != p.Address && c.Load.Backlog > maximumBacklog {
			continue
		}
		t := p.expected(c, isBulk)
		if !found || t < bestTime {
			best, bestTime, found = c, t, true
		}
	}
	return best, found
}

// Near returns the candidates of the own data centre.
func (p *Placer) Near(from []member.Candidate) []member.Candidate {
	var near []member.Candidate
	for _, c := range from {
		if c.DataCentre == p.DataCentre {
			near = append(near, c)
		}
	}
	return near
}

// Queues returns up to count backend servers at which a request should wait, the most promising first.
func (p *Placer) Queues(now time.Time, from []member.Candidate, tried []string, count int, isBulk bool) []member.Candidate {
	usable := p.usable(now, from, tried)
	p.Random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	if len(usable) <= count {
		return usable
	}
	slices.SortStableFunc(usable, func(a, b member.Candidate) int {
		return cmp.Compare(p.queueing(a, isBulk), p.queueing(b, isBulk))
	})
	return usable[:count]
}

// queueing compares the waits at backend servers: the work ahead for each slot, by their pace, and for large answers the
// way to this instance.
func (p *Placer) queueing(c member.Candidate, isBulk bool) time.Duration {
	t := time.Duration(float64(neutralTime) * fillOf(c) * p.paceOf(c.Server.ID, isBulk))
	if isBulk {
		t += p.away(c, isBulk)
	}
	return t
}

// fillOf returns the work at a backend server for each slot; where the load is old, daemons that all believe it would
// send their requests to the same place.
func fillOf(c member.Candidate) float64 {
	if c.LoadAge > loadLifetime {
		return unknownFill
	}
	return float64(c.Load.Running+c.Load.Waiting) / float64(max(1, c.Load.Slots))
}

// usable leaves out tried backend servers, and silent and failing ones unless no others are left.
func (p *Placer) usable(now time.Time, from []member.Candidate, tried []string) []member.Candidate {
	var sound, doubtful []member.Candidate
	for _, c := range from {
		switch {
		case slices.Contains(tried, c.Server.ID):
		case c.IsSilent || c.Load.Failing > failureShare || p.isFailing(now, c.Server.ID):
			doubtful = append(doubtful, c)
		default:
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return doubtful
	}
	return sound
}

// expected estimates when an answer would be here; it only compares backend servers of one service.
func (p *Placer) expected(c member.Candidate, isBulk bool) time.Duration {
	pace := p.paceOf(c.Server.ID, isBulk)
	t := time.Duration(float64(neutralTime) * pace * (1 + crowding*fillOf(c)))
	return t + p.away(c, isBulk)
}

// away returns what the way to a backend server and back adds to the time of a request.
func (p *Placer) away(c member.Candidate, isBulk bool) time.Duration {
	switch {
	case c.Address == p.Address:
		return 0
	case c.DataCentre == p.DataCentre && isBulk:
		return nearby + c.Load.Backlog
	case c.DataCentre == p.DataCentre:
		return nearby
	case isBulk:
		return bulkDistance + c.Load.Backlog
	}
	return distance
}
