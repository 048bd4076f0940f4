package exchange

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// refusalPeriod is the shortest time between two lines of the log on refused requests.
	refusalPeriod = time.Second
	// namedOrganisations is the largest number of organisations in one such line, those with most refusals.
	namedOrganisations = 5
)

// refusals counts the refused requests of each organisation since the last line of the log on them.
type refusals struct {
	counts map[string]int
	logged time.Time
}

// countRefusal counts a refused request, and logs the counts once in a while.
func (e *Entry) countRefusal(now time.Time, organisation string) {
	e.Meter.Add(CounterRefused)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusals.counts == nil {
		e.refusals.counts = map[string]int{}
	}
	e.refusals.counts[organisation]++
	if now.Sub(e.refusals.logged) < refusalPeriod {
		return
	}
	e.Logger.Info("quota: organisations over their quota", "refused", e.refusals.String(), "organisations", len(e.refusals.counts))
	e.refusals = refusals{logged: now}
}

// String lists the organisations with most refusals, for logs.
func (r refusals) String() string {
	names := slices.SortedFunc(maps.Keys(r.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.counts[b], r.counts[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), namedOrganisations)] {
		parts = append(parts, fmt.Sprintf("%s: %d", name, r.counts[name]))
	}
	return strings.Join(parts, ", ")
}
