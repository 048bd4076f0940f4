package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskinspar.example/sidecar/discovery"
)

const (
	// suspicionAge is the age of the configuration from which a suspicion is a reason to read the store.
	suspicionAge = 500 * time.Millisecond
	// suspicionPause is the shortest time between two such reads of one daemon.
	suspicionPause = 2 * time.Second
	// readSpacing is the mean time between the reads of two daemons because of the same suspicion, and maximumReadSpread the
	// longest delay of one.
	readSpacing       = 4 * time.Millisecond
	maximumReadSpread = 400 * time.Millisecond
	// suspicionTimeout limits such a read, which the store answers at once.
	suspicionTimeout = 1200 * time.Millisecond
	// suspicionMemory is how long after a suspicion configurations of other data centres are fetched without delay.
	suspicionMemory = 3 * time.Second
)

// storeSuspicion keeps when this daemon last heard that another one can't read the store, and when it last read it itself
// because of that.
type storeSuspicion struct {
	mu            sync.Mutex
	heard, readAt time.Time
}

// hear records a suspicion.
func (u *storeSuspicion) hear(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heard = now
}

// isRecent reports whether a suspicion was heard within suspicionMemory.
func (u *storeSuspicion) isRecent(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.heard.IsZero() && now.Sub(u.heard) < suspicionMemory
}

// beginRead reports whether a read may begin, and notes it.
func (u *storeSuspicion) beginRead(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.readAt.IsZero() && now.Sub(u.readAt) < suspicionPause {
		return false
	}
	u.readAt = now
	return true
}

// suspectStore makes this daemon read the configuration at the store itself, since another daemon has found that it can't,
// and this one may have relied on it, unless the configuration has just been known to be the newest. Every daemon does so:
// the store may serve any few of them only.
func (s *Sidecar) suspectStore(now time.Time) {
	s.suspicion.hear(now)
	if s.freshness.Age(now) < suspicionAge {
		return
	}
	if f := s.follower.Load(); f != nil {
		f.Check()
		return
	}
	if !s.isStoreDown(now) && s.suspicion.beginRead(now) {
		go s.readConfiguration(s.following)
	}
}

// readSpread is the time over which the reads of all daemons are spread that one suspicion causes.
func (s *Sidecar) readSpread() time.Duration {
	return min(readSpacing*time.Duration(s.members.Len()+1), maximumReadSpread)
}

// readConfiguration reads the configuration at the store once, and tells all daemons if it is newer. It does not if another
// daemon shows meanwhile that the configuration is the newest.
func (s *Sidecar) readConfiguration(ctx context.Context) {
	pause(ctx, rand.N(s.readSpread()))
	if s.freshness.Age(time.Now()) < suspicionAge {
		return
	}
	limited, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	asked := time.Now()
	page, err := s.Platform.Store.List(limited, s.Platform.ConfigurationTable)
	if ctx.Err() != nil {
		return
	}
	s.recordStoreResult(err)
	if err != nil {
		s.Logger.Info("daemon: store does not answer this daemon either", "error", err)
		return
	}
	s.storeEra.Record(page.Era)
	s.logOddRows(s.Platform.ConfigurationTable, page)
	before := s.configuration.Version()
	s.installRows(page.Rows)
	s.freshness.Record(asked)
	if s.configuration.Version() > before {
		s.announceMissed()
	}
}

// announceMissed tells all daemons of a configuration of which the store has not told the relays.
func (s *Sidecar) announceMissed() {
	s.suspicion.hear(time.Now())
	s.prober.ProbeAll()
}

// installRows passes the configuration among the changed rows of the store to the holder, and records the orders of
// roll-outs.
func (s *Sidecar) installRows(rows []discovery.Row) {
	s.rollouts.readOrders(time.Now(), rows)
	for _, r := range rows {
		if r.Key == s.Platform.ConfigurationKey && !r.IsRemoved {
			s.configuration.Install(r.Value, storeSource)
		}
	}
}
