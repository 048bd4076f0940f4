package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"siskinspar.example/sidecar/slot"
)

// refusalPeriod is the shortest time between two lines of the log on refused requests.
const refusalPeriod = time.Second

// refusalKey is what refusals are counted by: the priority of the requests and the reason.
type refusalKey struct {
	priority int
	reason   slot.Reason
}

// refusals counts the refused requests since the last line of the log on them.
type refusals struct {
	counts map[refusalKey]int
	logged time.Time
}

// count adds one refused request.
func (r *refusals) count(priority int, reason slot.Reason) {
	if r.counts == nil {
		r.counts = map[refusalKey]int{}
	}
	r.counts[refusalKey{priority, reason}]++
}

// String lists the counts in order of priority, for logs.
func (r *refusals) String() string {
	var parts []string
	for k, n := range r.counts {
		parts = append(parts, fmt.Sprintf("%d %s: %d", k.priority, k.reason, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// logRefusals writes a line on the requests refused since the last one, with the load; the caller holds the lock.
func (o *Owner) logRefusals(now time.Time) {
	if len(o.refusals.counts) == 0 || now.Sub(o.refusals.logged) < refusalPeriod {
		return
	}
	l := o.load()
	o.Logger.Info("owner: requests refused", "server", o.server.ID, "service", o.server.Service, "by-priority", o.refusals.String(),
		"running", l.Running, "waiting", l.Waiting, "slots", l.Slots, "backlog", l.Backlog)
	o.refusals = refusals{logged: now}
}
