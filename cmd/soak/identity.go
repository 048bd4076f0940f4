package soak

import (
	"slices"
	"strings"
	"time"

	"siskinspar.example/standin/application"
)

const (
	// headerOrganisation gives a backend server the name of the organisation of a request, headerKey gives a daemon its key.
	headerOrganisation = "Tenant-Id"
	headerKey          = "Authorization"
	// configurationBound is the default of bounds.configS.
	configurationBound = 2 * time.Second
	// keyChangeTime is how long after a version was written its keys may be unknown, or those that it withdrew known. It
	// allows for faults as long as the daemons have to recover from the last one.
	keyChangeTime = configurationBound + recoveryTime
	// quotaWindow, quotaOver and quotaSlack are the defaults of the bounds for quotas; quotaSlack is in requests.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// clockFormat is the form of times in violations, as in the logs of the daemons.
	clockFormat = "15:04:05.000"
)

// identity is what a request shows of its client.
type identity struct {
	// key is the API key in the request, organisation the one whose key it is or was; both may be empty.
	key, organisation string
	// claimedName is the name of an organisation that the client sends itself, or empty for none.
	claimedName string
	// isPrivate is true if the route of the request needs a key.
	isPrivate bool
	// isRefusable is true if the request may be refused in calm too.
	isRefusable bool
}

// quota is the limit of an organisation in requests a second and its burst in requests.
type quota struct{ rate, burst float64 }

// keyPeriod says when the versions were written that added a key and withdrew it. The time added is zero for a key of the
// first version, which was written before any daemon started, and withdrawn is zero for a key in force.
type keyPeriod struct{ added, withdrawn time.Time }

// run is an execution of a request.
type run struct {
	id string
	at time.Time
}

// recordKeys records the keys of a version of the configuration before it is written.
func (c *Checker) recordKeys(keys []string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := at
	if len(c.keys) == 0 {
		added = time.Time{}
	}
	for k, p := range c.keys {
		if p.withdrawn.IsZero() && !slices.Contains(keys, k) {
			c.keys[k] = keyPeriod{p.added, at}
		}
	}
	for _, k := range keys {
		if _, ok := c.keys[k]; !ok {
			c.keys[k] = keyPeriod{added: added}
		}
	}
}

// checkIdentity checks that a request runs only with the name of its organisation and without its key, and that its key
// was in force when it was sent. The caller holds mu.
func (c *Checker) checkIdentity(s sentRequest, e application.Execution) {
	var expected []string
	if s.organisation != "" {
		expected = []string{s.organisation}
	}
	if names := e.Header.Values(headerOrganisation); !slices.Equal(names, expected) {
		c.addViolation("request %s ran for the organisations %q instead of %q", e.ID, names, expected)
	}
	for name, values := range e.Header {
		if name == headerKey || s.key != "" && strings.Contains(strings.Join(values, "\n"), s.key) {
			c.addViolation("request %s reached server %s with a key in %s", e.ID, e.Server, name)
		}
	}
	p, isKnown := c.keys[s.key]
	switch {
	case !s.isPrivate:
	case !isKnown:
		c.addViolation("request %s ran with the key %q, which no version held", e.ID, s.key)
	case !p.withdrawn.IsZero() && s.at.Sub(p.withdrawn) > keyChangeTime:
		c.addViolation("request %s ran with the key %s, sent %v after it was withdrawn", e.ID, s.key, s.at.Sub(p.withdrawn))
	}
	if s.organisation != "" {
		c.runs[s.organisation] = append(c.runs[s.organisation], run{e.ID, e.At})
	}
}

// checkDenial checks a request that was answered with 401: it is not public, and its key was not in force for
// keyChangeTime when it was sent. The caller holds mu.
func (c *Checker) checkDenial(s sentRequest) {
	p, isKnown := c.keys[s.key]
	switch {
	case !s.isPrivate:
		c.addViolation("public request %s got 401", s.id)
	case isKnown && p.withdrawn.IsZero() && s.at.Sub(p.added) > keyChangeTime:
		c.addViolation("request %s got 401 although its key %s is in force, sent at %v", s.id, s.key, s.at)
	}
}

// checkQuota checks that no more requests of an organisation ran within any quotaWindow than its quota allows. It returns
// the most that ran and the limit.
func (c *Checker) checkQuota(organisation string, q quota) (int, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, ended := mostWithin(quotaWindow, c.runs[organisation])
	limit := (q.rate*quotaWindow.Seconds()+q.burst)*(1+quotaOver) + quotaSlack
	if float64(most) > limit {
		began := ended.Add(-quotaWindow)
		earlier := map[string]bool{}
		for _, r := range c.runs[organisation] {
			if !r.at.Before(began) && !r.at.After(ended) && c.sent[r.id].at.Before(began) {
				earlier[r.id] = true
			}
		}
		c.addViolation("%d requests of %s ran from %s to %s, more than %.1f; %d of them were sent earlier",
			most, organisation, began.Format(clockFormat), ended.Format(clockFormat), limit, len(earlier))
	}
	return most, limit
}

// mostWithin returns the largest number of requests that ran within any span of this length; further executions of a
// request in the same span do not count. It returns the end of the first such span too.
func mostWithin(span time.Duration, runs []run) (most int, ended time.Time) {
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	executions := map[string]int{}
	first := 0
	for _, r := range runs {
		executions[r.id]++
		for ; r.at.Sub(runs[first].at) > span; first++ {
			id := runs[first].id
			if executions[id]--; executions[id] == 0 {
				delete(executions, id)
			}
		}
		if len(executions) > most {
			most, ended = len(executions), r.at
		}
	}
	return most, ended
}
