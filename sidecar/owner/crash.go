package owner

import (
	"time"

	"siskinspar.example/sidecar/upstream"
)

// lookPeriod is how long the result of a look counts, so that many broken connections cost one.
const lookPeriod = 500 * time.Millisecond

// look is the latest look at a backend server whose connections broke.
type look struct {
	server     string
	at         time.Time
	hasCrashed bool
}

// hasCrashed reports whether the backend server no longer listens, after a connection to it broke.
func (o *Owner) hasCrashed(id string) bool {
	o.mu.Lock()
	last, address := o.look, o.server.Address
	isCurrent := o.server.ID == id
	o.mu.Unlock()
	if last.server == id && time.Since(last.at) < lookPeriod {
		return last.hasCrashed
	}
	if !isCurrent {
		return false
	}
	crashed := upstream.HasEnded(address)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.look = look{server: id, at: time.Now(), hasCrashed: crashed}
	if crashed && o.server.ID == id {
		o.downUntil = time.Now().Add(downTime)
	}
	return crashed
}
