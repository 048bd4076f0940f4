package exchange

import (
	"slices"
	"sync"
	"time"

	"siskinspar.example/sidecar/quota"
)

const (
	// viewPeriod is the time between two looks at which daemons live.
	viewPeriod = 250 * time.Millisecond
	// pauseTime is the time between two looks from which the process counts as having been paused.
	pauseTime = time.Second
)

// view is the set of living daemons as of a moment, this one included. It is safe for concurrent use.
type view struct {
	address string
	mesh    Mesh

	mu     sync.Mutex
	living []string
	known  int
	looked time.Time
	// isStopping is true once this daemon has announced its end: the others no longer count it as living.
	isStopping bool
	// minoritySince is when this daemon began to reach fewer than half of the known ones, or zero if it reaches more.
	minoritySince time.Time
}

// look takes a new look if the last one is old, and reports whether the living daemons have changed since, and whether the
// process was paused.
func (v *view) look(now time.Time) (hasChanged, wasPaused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	isStopping := v.mesh.IsStopping()
	if now.Sub(v.looked) < viewPeriod && v.living != nil && isStopping == v.isStopping {
		return false, false
	}
	living, known := v.mesh.Living(now)
	if !isStopping || len(living) == 0 {
		living = append(living, v.address)
	}
	slices.Sort(living)
	v.isStopping = isStopping
	hasChanged, wasPaused = !slices.Equal(living, v.living), v.wasPaused(now)
	v.living, v.known, v.looked = living, known+1, now
	switch {
	case !quota.IsMinority(len(living), known+1):
		v.minoritySince = time.Time{}
	case v.minoritySince.IsZero():
		v.minoritySince = now
	}
	return hasChanged, wasPaused
}

// share returns the share of a quota that this daemon may lease as its coordinator.
func (v *view) share(now time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	share := quota.ReachedShare(len(v.living), v.known)
	if !v.minoritySince.IsZero() {
		share *= quota.MinorityShare(now.Sub(v.minoritySince))
	}
	return share
}

// wasPaused reports whether the process was paused since the last look. The time of day counts too: the steady clock
// stands still while an instance is suspended.
func (v *view) wasPaused(now time.Time) bool {
	return !v.looked.IsZero() && max(now.Sub(v.looked), now.Round(0).Sub(v.looked.Round(0))) > pauseTime
}

// all returns the living daemons, this one included, and the number of known ones.
func (v *view) all() (living []string, known int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.living, v.known
}
