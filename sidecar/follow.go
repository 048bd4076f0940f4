package sidecar

import (
	"context"
	"time"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/relay"
)

const (
	// followPeriod is the time between two decisions whether this daemon follows the store.
	followPeriod = 250 * time.Millisecond
	// registrationTimeout is how long the first decision waits for the list of the other daemons.
	registrationTimeout = 1500 * time.Millisecond
	// storeDownMemory is how long a daemon counts as unable to read the store after a failed read. After that it may be
	// a relay again, which shows whether it still can't.
	storeDownMemory = 5 * time.Second
)

// storeFollower follows the configuration at the store while this daemon has to.
type storeFollower struct {
	sidecar *Sidecar
	// stop ends the follower; it is nil while there is none.
	stop context.CancelFunc
}

// run decides again and again whether to follow the store, until the context ends.
func (f *storeFollower) run(ctx context.Context, registered <-chan struct{}) {
	select {
	case <-registered:
	case <-time.After(registrationTimeout):
	case <-ctx.Done():
	}
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.decide(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// decide starts or stops the follower.
func (f *storeFollower) decide(ctx context.Context, now time.Time) {
	s := f.sidecar
	mustFollow := s.mustFollow(now)
	switch {
	case mustFollow && f.stop == nil:
		following, stop := context.WithCancel(ctx)
		f.stop = stop
		follower := &discovery.Follower{
			Table: s.Platform.ConfigurationTable, Store: s.Platform.Store, Era: &s.storeEra, Logger: s.Logger, OnRows: s.installRows, OnResult: s.recordFollowerResult,
			OnMissed: s.announceMissed, Freshness: &s.freshness, CheckAfter: s.checkAfter, Confirm: s.confirmAge,
		}
		follower.Run(following)
		s.follower.Store(follower)
		s.Logger.Info("daemon: follows the store", "relays", s.relays(now))
	case !mustFollow && f.stop != nil:
		s.follower.Store(nil)
		f.stop()
		f.stop = nil
		s.Logger.Info("daemon: leaves the store to the relays", "relays", s.relays(now))
	}
}

// mustFollow reports whether this daemon follows the store.
func (s *Sidecar) mustFollow(now time.Time) bool {
	s.selectorLock.Lock()
	defer s.selectorLock.Unlock()
	return s.selector.MustFollow(now, s.neighbours(), s.isStoreDown(now), now.Add(-s.freshness.Age(now)))
}

// checkAfter returns the age of the configuration from which this daemon checks it beside a call that waits at the store.
func (s *Sidecar) checkAfter() time.Duration {
	return s.selector.CheckAfter(s.Settings.ConfigurationBound, s.firstRelay(time.Now()))
}

// confirmAge asks the first relay of the mesh how old its configuration is, unless this daemon is that relay.
func (s *Sidecar) confirmAge(ctx context.Context) {
	if first := s.firstRelay(time.Now()); first != "" && first != s.Settings.Daemons {
		s.prober.Ask(ctx, first)
	}
}

// firstRelay returns the address of the first relay of the mesh, which asks the store for all: the first relay of the first
// data centre that has a daemon which can read the store. It is empty if there is none.
func (s *Sidecar) firstRelay(now time.Time) string {
	own := s.Settings.DataCentre
	centre, readers := s.members.FirstReaders()
	switch {
	case s.isStoreDown(now) || len(readers) > 0 && centre < own:
		return relay.FirstRelay(centre, readers)
	case centre == own:
		return relay.FirstRelay(own, append(readers, s.Settings.Daemons))
	}
	return relay.FirstRelay(own, []string{s.Settings.Daemons})
}

// rolloutController returns the address of the daemon that acts as roll-out controller: the first relay of the mesh or, if
// no daemon can read the store, the daemon that would be if all could. A roll-out can still be rolled back there.
func (s *Sidecar) rolloutController(now time.Time) string {
	if first := s.firstRelay(now); first != "" {
		return first
	}
	centre, running := s.members.FirstRunning()
	if own := s.Settings.DataCentre; len(running) == 0 || own < centre {
		centre, running = own, []string{s.Settings.Daemons}
	} else if own == centre {
		running = append(running, s.Settings.Daemons)
	}
	return relay.FirstRelay(centre, running)
}

// relays returns the addresses of the relays of this data centre.
func (s *Sidecar) relays(now time.Time) []string {
	return s.selector.Relays(s.neighbours(), s.isStoreDown(now))
}

// neighbours returns the daemons of this data centre that are alive.
func (s *Sidecar) neighbours() []relay.Member {
	known := s.members.Neighbours(s.Settings.DataCentre)
	members := make([]relay.Member, len(known))
	for i, n := range known {
		members[i] = relay.Member{Address: n.Address, IsStoreDown: n.IsStoreDown, LastContact: n.LastReport}
	}
	return members
}

// recordFollowerResult records whether a read of the follower succeeded. All other daemons learn at once of the first
// failure, since they may have relied on this one.
func (s *Sidecar) recordFollowerResult(err error) {
	wasDown := s.isStoreDown(time.Now())
	s.recordStoreResult(err)
	if err != nil && !wasDown {
		s.sendRecord()
	}
}

// recordStoreResult records whether a read of the store succeeded. The other daemons learn of it with the next probes.
func (s *Sidecar) recordStoreResult(err error) {
	if err == nil {
		s.storeFailedAt.Store(nil)
		return
	}
	now := time.Now()
	s.storeFailedAt.Store(&now)
}

// isStoreDown reports whether this daemon can't read the store, as far as it knows.
func (s *Sidecar) isStoreDown(now time.Time) bool {
	failedAt := s.storeFailedAt.Load()
	return failedAt != nil && now.Sub(*failedAt) < storeDownMemory
}
