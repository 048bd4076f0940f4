package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskinspar.example/sidecar/discovery"
)

const (
	// doubtReaders is the mean number of daemons beside the relays that read the store when a daemon finds that it can't.
	// The store may serve some machines only, so one would not do.
	doubtReaders = 8
	// doubtAge is the age of the configuration from which a doubt is a reason to read the store.
	doubtAge = 500 * time.Millisecond
	// doubtPause is the shortest time between two such reads of one daemon.
	doubtPause = 2 * time.Second
	// doubtSpread is the longest delay before such a read, which spreads those of all daemons.
	doubtSpread = 100 * time.Millisecond
	// doubtTimeout limits such a read, which the store answers at once.
	doubtTimeout = 1200 * time.Millisecond
	// doubtMemory is how long after a doubt configurations of other data centres are fetched without delay.
	doubtMemory = 3 * time.Second
)

// storeDoubt keeps when this daemon last heard that another one can't read the store, and when it last read it itself
// because of that.
type storeDoubt struct {
	mu            sync.Mutex
	heard, readAt time.Time
}

// hear records a doubt.
func (d *storeDoubt) hear(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = now
}

// isRecent reports whether a doubt was heard within doubtMemory.
func (d *storeDoubt) isRecent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.heard.IsZero() && now.Sub(d.heard) < doubtMemory
}

// beginRead reports whether a read may begin, and notes it.
func (d *storeDoubt) beginRead(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.readAt.IsZero() && now.Sub(d.readAt) < doubtPause {
		return false
	}
	d.readAt = now
	return true
}

// doubtStore makes this daemon read the configuration at the store itself, since another daemon has found that it can't,
// and this one may have relied on it: each relay does, and a few of the other daemons, unless the configuration has just
// been known to be the newest.
func (s *Sidecar) doubtStore(now time.Time) {
	s.doubt.hear(now)
	if s.freshness.Age(now) < doubtAge {
		return
	}
	if f := s.follower.Load(); f != nil {
		f.Check()
		return
	}
	isDrawn := rand.Float64()*float64(s.members.Len()+1) < doubtReaders
	if isDrawn && !s.isStoreDown(now) && s.doubt.beginRead(now) {
		go s.readConfiguration(s.following)
	}
}

// readConfiguration reads the configuration at the store once, and tells all daemons if it is newer.
func (s *Sidecar) readConfiguration(ctx context.Context) {
	pause(ctx, rand.N(doubtSpread))
	limited, cancel := context.WithTimeout(ctx, doubtTimeout)
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
		s.announceLost()
	}
}

// announceLost tells all daemons of a configuration of which the store has not told the relays.
func (s *Sidecar) announceLost() {
	s.doubt.hear(time.Now())
	s.prober.ProbeAll()
}

// installRows passes the configuration among the changed rows of the store to the holder.
func (s *Sidecar) installRows(rows []discovery.Row) {
	for _, r := range rows {
		if r.Key == s.Platform.ConfigurationKey && !r.IsRemoved {
			s.configuration.Install(r.Value, storeSource)
		}
	}
}
