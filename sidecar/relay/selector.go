package relay

import (
	"time"

	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

const (
	// contactTimeout is how long a daemon does without a relay that follows the store before it follows the store itself.
	contactTimeout = 2 * time.Second
	// contactJitter is the largest addition to contactTimeout; it spreads the calls of daemons that lose the same relays.
	contactJitter = time.Second
	// checkDelay is the time that the first relay has for its call of the store before the other relays ask it for the
	// result.
	checkDelay = 100 * time.Millisecond
	// minimumCheckAge is the least age of the configuration from which a relay asks the store.
	minimumCheckAge = 500 * time.Millisecond
	// holdTime is how long a daemon goes on following the store once it need not any more.
	holdTime = 3 * time.Second
)

// Member is a daemon of the own data centre.
type Member struct {
	// Address identifies the daemon.
	Address string
	// IsStoreDown is true while the daemon can't read the store.
	IsStoreDown bool
	// LastContact is when the daemon was last heard of; it is zero for one that has not been heard of yet.
	LastContact time.Time
}

// Selector decides for one daemon whether it follows the store. It reads no clock and is not safe for concurrent use.
type Selector struct {
	// Address is that of the daemon, DataCentre its data centre; both are set before use.
	Address    string
	DataCentre string
	// Jitter is the share of contactJitter that this daemon adds, from 0 to 1; it is set before use.
	Jitter float64

	started time.Time
	// neededAt is when the daemon last had to follow the store.
	neededAt time.Time
}

// Relays returns the addresses of the relays among the daemons of the data centre that are alive. Daemons that can't
// read the store are left out, unless none can. The own daemon counts as one of them.
func (s *Selector) Relays(alive []Member, isStoreDown bool) []string {
	group := s.group(alive, isStoreDown, false)
	if len(group) == 0 {
		group = s.group(alive, isStoreDown, true)
	}
	return relaysOf(group, s.DataCentre)
}

// relaysOf returns the addresses of the relays among the daemons of a data centre.
func relaysOf(group []membership.Record, dataCentre string) []string {
	relays := distribution.Relays(group, membership.DataCentre(dataCentre))
	addresses := make([]string, len(relays))
	for i, r := range relays {
		addresses[i] = string(r.ID)
	}
	return addresses
}

// group returns the daemons that may be relays, with the own one.
func (s *Selector) group(alive []Member, isStoreDown, mayBeDown bool) []membership.Record {
	var group []membership.Record
	if mayBeDown || !isStoreDown {
		group = append(group, membership.Record{ID: membership.ID(s.Address)})
	}
	for _, m := range alive {
		if mayBeDown || !m.IsStoreDown {
			group = append(group, membership.Record{ID: membership.ID(m.Address)})
		}
	}
	return group
}

// MustFollow reports whether the daemon follows the store at the time now: it is a relay, or has neither heard of a relay
// that can read the store nor known its configuration to be the newest for contactTimeout, or either was so within holdTime.
// IsStoreDown is true while this daemon itself can't read the store, which it then tries only as a relay; currentAt is when
// its configuration was last known to be the newest, or zero.
func (s *Selector) MustFollow(now time.Time, alive []Member, isStoreDown bool, currentAt time.Time) bool {
	if s.started.IsZero() {
		s.started = now
	}
	if s.isNeeded(now, alive, isStoreDown, currentAt) {
		s.neededAt = now
	}
	return !s.neededAt.IsZero() && now.Sub(s.neededAt) < holdTime
}

// CheckAfter returns the age of the configuration from which this daemon, as a relay, checks it beside a call that waits at
// the store for changes. Bound is the time within which all daemons have to notice what the store did not tell them; half
// of it is left to spread a configuration. First is the address of the first relay of the mesh, which asks the store. The
// others ask that relay a moment later, and the store only if it does not answer.
func (s *Selector) CheckAfter(bound time.Duration, first string) time.Duration {
	age := max(minimumCheckAge, bound/2)
	if first == s.Address {
		return age
	}
	return age + checkDelay
}

// FirstRelay returns the address of the first relay among the daemons of a data centre that can read the store, or an empty
// string if there are none.
func FirstRelay(dataCentre string, readers []string) string {
	group := make([]membership.Record, len(readers))
	for i, address := range readers {
		group[i] = membership.Record{ID: membership.ID(address)}
	}
	relays := relaysOf(group, dataCentre)
	if len(relays) == 0 {
		return ""
	}
	return relays[0]
}

func (s *Selector) isNeeded(now time.Time, alive []Member, isStoreDown bool, currentAt time.Time) bool {
	contacts := map[string]time.Time{}
	for _, m := range alive {
		if !m.IsStoreDown {
			contacts[m.Address] = m.LastContact
		}
	}
	last := s.started
	if currentAt.After(last) {
		last = currentAt
	}
	for _, address := range s.Relays(alive, isStoreDown) {
		if address == s.Address {
			return true
		}
		if at := contacts[address]; at.After(last) {
			last = at
		}
	}
	return !isStoreDown && now.Sub(last) > contactTimeout+time.Duration(s.Jitter*float64(contactJitter))
}
