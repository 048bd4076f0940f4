package rollout

import "time"

const (
	// rateSpan is the time over which the rate of requests is measured.
	rateSpan = 4 * time.Second
	// reportLifetime is how long a report counts for Load.IsComplete.
	reportLifetime = 2 * time.Second
	// stepSpan is the time from a step to a report that shows what the step does: it takes a moment to spread.
	stepSpan = 300 * time.Millisecond
)

// Meter adds up the requests that the daemons report. The zero value is ready for use; it is not safe for concurrent use.
type Meter struct {
	// entries holds the latest report of each start of an entry daemon.
	entries map[Entry]report
	// totals are the sums of the last rateSpan, the oldest first.
	totals []total
}

// Entry is one start of an entry daemon.
type Entry struct {
	Address     string
	Incarnation int64
}

type report struct {
	requests, exposed int
	at                time.Time
}

type total struct {
	at       time.Time
	requests int
}

// Record records the numbers of requests since the order that an entry daemon reports.
func (m *Meter) Record(now time.Time, e Entry, requests, exposed int) {
	if m.entries == nil {
		m.entries = map[Entry]report{}
	}
	m.entries[e] = report{requests: requests, exposed: exposed, at: now}
}

// Load returns the load at the time now, of a step that is in force since a time. Known is the number of daemons that
// should report; what those that don't report would add is estimated from the others.
func (m *Meter) Load(now, since time.Time, known int) Load {
	sum, exposed := 0, 0
	reporting, seen := map[string]bool{}, map[string]bool{}
	for e, r := range m.entries {
		sum += r.requests
		exposed += r.exposed
		if now.Sub(r.at) < reportLifetime {
			reporting[e.Address] = true
		}
		if r.at.Sub(since) >= stepSpan {
			seen[e.Address] = true
		}
	}
	if last := len(m.totals) - 1; last < 0 || now.Sub(m.totals[last].at) >= judgingPeriod {
		m.totals = append(m.totals, total{at: now, requests: sum})
	}
	for len(m.totals) > 2 && now.Sub(m.totals[1].at) >= rateSpan {
		m.totals = m.totals[1:]
	}
	factor := max(1, float64(known)/float64(max(1, len(reporting))))
	l := Load{Requests: factor * float64(sum), Exposed: factor * float64(exposed), IsComplete: 2*len(reporting) > known, IsSeen: 2*len(seen) > known}
	if span := now.Sub(m.totals[0].at); span > 0 {
		l.Rate = factor * float64(sum-m.totals[0].requests) / span.Seconds()
	}
	return l
}
