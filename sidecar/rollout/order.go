package rollout

import (
	"time"

	"github.com/rotisserie/eris"
)

// maximumDuration bounds the duration of an order; a longer one is taken for a mistake in its unit.
const maximumDuration = 30 * 24 * time.Hour

// Order asks for the requests of a service to be moved to the backend servers of a version. It is immutable.
type Order struct {
	service, target string
	duration        time.Duration
	version, era    uint64
}

// NewOrder returns the order in a row of the store with the given version, read in the given era. It returns an error if
// the service or the target is empty or the duration is not above 0 and below 30 days.
func NewOrder(service, target string, duration time.Duration, version, era uint64) (Order, error) {
	if service == "" || target == "" {
		return Order{}, eris.Errorf("service %q or target %q is empty", service, target)
	}
	if duration <= 0 || duration > maximumDuration {
		return Order{}, eris.Errorf("the duration %v is not above 0 and at most %v", duration, maximumDuration)
	}
	return Order{service: service, target: target, duration: duration, version: version, era: era}, nil
}

// Service returns the name of the service.
func (o Order) Service() string { return o.service }

// Target returns the version that the requests are to move to.
func (o Order) Target() string { return o.target }

// Duration returns the time from the order within which it is to be completed.
func (o Order) Duration() time.Duration { return o.duration }

// Version returns the version of the row at the store.
func (o Order) Version() uint64 { return o.version }

// Era returns the latest era of the store in which the row was read.
func (o Order) Era() uint64 { return o.era }

// IsSame reports whether both are the same order, in whatever era they were read.
func (o Order) IsSame(p Order) bool {
	p.era = o.era
	return o == p
}

// IsNewer reports whether this is another order that was written after the given one.
func (o Order) IsNewer(than Order) bool {
	switch {
	case o.IsSame(than):
		return false
	case o.era != than.era:
		return o.era > than.era
	}
	return o.version > than.version
}
