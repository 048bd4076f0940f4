package owner

import (
	"time"

	"siskinspar.example/sidecar/upstream"
)

// crashCheckLifetime is how long the result of a check is reused, so that many broken connections cost one check.
const crashCheckLifetime = 500 * time.Millisecond

// crashCheck is the result of the latest check whether a backend server still listens; server is its ID.
type crashCheck struct {
	server     string
	at         time.Time
	hasCrashed bool
}

// hasCrashed reports whether the backend server with an ID no longer listens, after a connection to it broke. It reuses
// a recent result, and returns false for a backend server that has been replaced. One that has crashed gets no requests
// for unreachableTime.
func (o *Owner) hasCrashed(id string) bool {
	o.mu.Lock()
	last, address := o.lastCheck, o.server.Address
	isCurrent := o.server.ID == id
	o.mu.Unlock()
	if last.server == id && time.Since(last.at) < crashCheckLifetime {
		return last.hasCrashed
	}
	if !isCurrent {
		return false
	}
	crashed := upstream.IsNotListening(address)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastCheck = crashCheck{server: id, at: time.Now(), hasCrashed: crashed}
	if crashed && o.server.ID == id {
		o.unreachableUntil = time.Now().Add(unreachableTime)
	}
	return crashed
}
