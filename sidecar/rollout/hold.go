package rollout

import (
	"time"

	"siskinspar.example/sidecar/member"
)

// holdTime is how long a daemon sends nothing to a newer version of which it knows no order. The order, or the step of a
// roll-out that a restarted daemon has not heard of, is known by then.
const holdTime = 4 * time.Second

// Holds keeps since when this daemon has seen newer versions of services beside others. The zero value is ready for use;
// it is not safe for concurrent use.
type Holds struct {
	// seen holds the first moment by service and version.
	seen map[[2]string]time.Time
}

// Divide returns the candidates of a service, of which no order is known, that requests may use: those of the newest
// version are left out for holdTime from the first call that finds it, while others are left. The newest version is the
// one whose first backend server started last.
func (h *Holds) Divide(now time.Time, service string, all []member.Candidate) []member.Candidate {
	newest := newestVersion(all)
	if h.seen == nil {
		h.seen = map[[2]string]time.Time{}
	}
	key := [2]string{service, newest}
	first, ok := h.seen[key]
	if !ok {
		first = now
		h.seen[key] = now
	}
	if now.Sub(first) >= holdTime {
		return all
	}
	if _, others := split(all, newest); isLeft(others, nil) {
		return others
	}
	return all
}

// newestVersion returns the version whose first backend server started last.
func newestVersion(all []member.Candidate) string {
	first := map[string]int64{}
	for _, c := range all {
		born, ok := first[c.Server.Version]
		if !ok || c.Server.Born < born {
			first[c.Server.Version] = c.Server.Born
		}
	}
	var newest string
	var latest int64 = -1
	for version, born := range first {
		if born > latest || born == latest && version > newest {
			newest, latest = version, born
		}
	}
	return newest
}
