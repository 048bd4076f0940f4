package upstream

import "time"

// recentLifetime is how long an ID is kept after its answer; it is far longer than any request lasts.
const recentLifetime = 2 * time.Minute

// recentIDs is a set of IDs that forgets each one after recentLifetime. The zero value is empty.
type recentIDs struct {
	added map[string]time.Time
	// order holds the IDs in the order in which they were added, once for each time.
	order []recentID
}

type recentID struct {
	id string
	at time.Time
}

// add adds an ID, or keeps one that is in the set for longer.
func (r *recentIDs) add(now time.Time, id string) {
	if r.added == nil {
		r.added = map[string]time.Time{}
	}
	for len(r.order) > 0 && now.Sub(r.order[0].at) > recentLifetime {
		if oldest := r.order[0]; r.added[oldest.id].Equal(oldest.at) {
			delete(r.added, oldest.id)
		}
		r.order = r.order[1:]
	}
	r.added[id] = now
	r.order = append(r.order, recentID{id: id, at: now})
}

// has reports whether an ID was added within recentLifetime, and possibly one that was added before.
func (r *recentIDs) has(id string) bool {
	_, ok := r.added[id]
	return ok
}
