package rollout

import (
	"fmt"
	"time"
)

const (
	// judgingPeriod is the least time between two looks at the counts. The reports of all daemons of the same moment are
	// looked at together.
	judgingPeriod = 250 * time.Millisecond
	// toleratedFactor is the multiple of the share of bad responses at the other versions that is normal.
	toleratedFactor = 1.5
	// toleratedFailures is the share of failures that is normal for any version, and excessFailures the additional share of
	// a bad version. While many fail everywhere, their share differs more by chance: excessFactor is the multiple of the
	// share at the other versions that is added.
	toleratedFailures = 0.01
	excessFailures    = 0.06
	excessFactor      = 0.5
	// toleratedSlow and excessSlow are those shares of responses that are slow compared with the other versions. The backend
	// servers of one version differ in speed, so that many responses of a good one may be slow.
	toleratedSlow = 0.14
	excessSlow    = 0.24
	// toleratedOutliers and excessOutliers are those shares of responses that are slow compared with others of the same
	// backend server, whose speed does not matter there.
	toleratedOutliers = 0.03
	excessOutliers    = 0.12
	// failureThreshold and slowThreshold are the sums from which a version is bad.
	failureThreshold = 7
	slowThreshold    = 10
)

// Verdict says whether the target version is bad.
type Verdict struct {
	IsBad bool
	// Reason says which responses are bad and on which route; it is empty for a version that is not known to be bad.
	Reason string
	// Bad is the number of bad responses that led to the verdict.
	Bad int
}

// Judge compares the responses of the target version with those of the others. Its exported fields are set before use,
// and the zero value is ready for use. It is not safe for concurrent use.
type Judge struct {
	// Caution is the factor on the thresholds; 0 counts as 1.
	Caution float64

	routes map[string]*routeEvidence
	// baseline is that of all routes; its times are relative to the median of their route.
	baseline baseline
	// total is that of all routes together.
	total evidences
	// servers holds the times at the servers of the target version, relative to the median of their route.
	servers  map[string]*sample
	pending  []Count
	judgedAt time.Time
	verdict  Verdict
}

// evidences are the sums of failures, of responses that are slow compared with the other versions, and of those that are
// slow compared with others of their backend server.
type evidences struct{ failures, slow, outliers evidence }

// routeEvidence is what is known of one route.
type routeEvidence struct {
	baseline baseline
	evidences
	// median is the bucket of the median time of the other versions, if isTimed is true.
	median  int
	isTimed bool
}

// Add adds counts that were reported.
func (j *Judge) Add(counts []Count) { j.pending = append(j.pending, counts...) }

// Verdict returns the verdict by all counts up to the time now, at most judgingPeriod late. Once the version is bad, it
// stays so.
func (j *Judge) Verdict(now time.Time) Verdict {
	if now.Sub(j.judgedAt) < judgingPeriod {
		return j.verdict
	}
	return j.Settle(now)
}

// Settle is Verdict without delay.
func (j *Judge) Settle(now time.Time) Verdict {
	after := now.Sub(j.judgedAt)
	if j.verdict.IsBad || len(j.pending) == 0 {
		return j.verdict
	}
	if j.judgedAt.IsZero() {
		after = 0
	}
	j.judgedAt = now
	counts := j.pending
	j.pending = nil
	j.addOthers(after, counts)
	for _, c := range counts {
		if c.Server != "" {
			j.addTarget(c)
		}
	}
	j.judge()
	return j.verdict
}

// addOthers adds the counts of the other versions, before those of the target version are compared with them. A route
// keeps the median of before these counts, if it has one.
func (j *Judge) addOthers(after time.Duration, counts []Count) {
	for _, r := range j.routes {
		r.baseline.begin(after)
		r.median, r.isTimed = r.baseline.median()
	}
	j.baseline.begin(after)
	for _, c := range counts {
		if c.Server == "" {
			j.route(c.Route).baseline.add(c, 0)
		}
	}
	for _, r := range j.routes {
		if !r.isTimed {
			r.median, r.isTimed = r.baseline.median()
		}
	}
	for _, c := range counts {
		r := j.route(c.Route)
		if c.Server != "" {
			continue
		}
		if !r.isTimed {
			c.Times = nil
		}
		j.baseline.add(c, centre-r.median)
	}
}

// route returns what is known of a route.
func (j *Judge) route(name string) *routeEvidence {
	if j.routes == nil {
		j.routes = map[string]*routeEvidence{}
	}
	r, ok := j.routes[name]
	if !ok {
		r = &routeEvidence{}
		j.routes[name] = r
	}
	return r
}

// addTarget compares a count of the target version with the others.
func (j *Judge) addTarget(c Count) {
	r := j.route(c.Route)
	usual := r.baseline.failureShare()
	if j.baseline.latest.responses >= minimumSample {
		usual = max(usual, j.baseline.latest.failureShare())
	}
	failed := newRatio(toleratedFailures+toleratedFactor*usual, toleratedFailures+excessFailures+(toleratedFactor+excessFactor)*usual)
	r.failures.add(c.Server, c.Responses, c.Failures, failed)
	j.total.failures.add(c.Server, c.Responses, c.Failures, failed)
	if !r.isTimed {
		return
	}
	distance, usual := j.baseline.slow()
	j.addTimes(c, r.median+distance, toleratedSlow+toleratedFactor*usual, excessSlow, &r.slow, &j.total.slow)
	if median, ok := j.server(c.Server).median(minimumMedian); ok {
		j.addTimes(c, r.median+median-centre+distance, toleratedOutliers+usual, excessOutliers, &r.outliers, &j.total.outliers)
	}
	j.server(c.Server).add(c, centre-r.median)
}

// server returns the times at a backend server.
func (j *Judge) server(id string) *sample {
	if j.servers == nil {
		j.servers = map[string]*sample{}
	}
	s, ok := j.servers[id]
	if !ok {
		s = &sample{}
		j.servers[id] = s
	}
	return s
}

// addTimes adds the times of a count to two sums. Those from a bucket on are slow, of which the share normal is usual.
func (j *Judge) addTimes(c Count, bucket int, normal, excess float64, one, other *evidence) {
	responses, slow := 0, 0
	for _, b := range c.Times {
		responses += b.Count
		if int(b.Index) >= bucket {
			slow += b.Count
		}
	}
	r := newRatio(normal, normal+excess)
	one.add(c.Server, responses, slow, r)
	other.add(c.Server, responses, slow, r)
}

// judge sets the verdict.
func (j *Judge) judge() {
	caution := j.Caution
	if caution == 0 {
		caution = 1
	}
	check := func(e *evidences, where string) {
		for _, k := range []struct {
			evidence  *evidence
			threshold float64
			kind      string
		}{{&e.failures, failureThreshold, "failed"}, {&e.slow, slowThreshold, "slow"}, {&e.outliers, slowThreshold, "unusually slow"}} {
			if !j.verdict.IsBad && k.evidence.reaches(caution*k.threshold) {
				j.verdict = Verdict{IsBad: true, Bad: k.evidence.bad, Reason: fmt.Sprintf("%d %s responses on %s", k.evidence.bad, k.kind, where)}
			}
		}
	}
	for name, r := range j.routes {
		check(&r.evidences, "route "+name)
	}
	check(&j.total, "all routes")
}
