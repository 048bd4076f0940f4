package departure

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/store"
)

const (
	// Table is the table of the store with a row for each departure.
	Table = "departures"
	// lifetime is how long a row counts after the departure; a late announcement comes within seconds.
	lifetime = 10 * time.Minute
	// callTimeout limits one call of the store.
	callTimeout = time.Second
	// retryPause is the mean pause after a failed call, which is spread from half to one and a half of it.
	retryPause = 500 * time.Millisecond
	// maximumWait is how long Record waits for the store. A backend server waits for 1 s for the acknowledgement.
	maximumWait = 400 * time.Millisecond
)

// Store is the part of the platform's store that keeps the departures.
type Store interface {
	// ListPrefix returns the rows of a table whose keys begin with a prefix.
	ListPrefix(ctx context.Context, table, prefix string) (discovery.Page, error)
	// Replace writes a row and deletes others of the table, all or nothing, and returns the era in which it did so. After
	// an error it may have done so, or may still do so.
	Replace(ctx context.Context, table, key string, value []byte, obsolete []string) (era uint64, err error)
}

// Book keeps the departures of the backend servers beside one daemon. The exported fields are set before Run.
type Book struct {
	// Daemon is the address of the daemon, which begins the keys of its rows.
	Daemon string
	Store  Store
	// Era is the newest era of the store that the daemon knows of; what was written in an earlier one is written again.
	Era    *store.Era
	Logger *slog.Logger
	// IsNew is true if the store holds no rows of the daemon yet, so that none are read.
	IsNew bool
	// OnRead is called without a lock for each departure that was read.
	OnRead func(d Departure)

	mu      sync.Mutex
	entries []*entry
	isAway  bool
	// changed has an element once there is a new entry.
	changed chan struct{}
	done    chan struct{}
}

// entry is a departure with its place on the store. Its departure and channel are not changed.
type entry struct {
	departure Departure
	// era is the era of the store in which the row was written or read; it is 0 while it was not.
	era uint64
	// kept is closed once the row was written for the first time.
	kept chan struct{}
}

// Run starts the goroutine that reads and writes the rows until the context ends.
func (b *Book) Run(ctx context.Context) {
	b.changed = make(chan struct{}, 1)
	b.done = make(chan struct{})
	go func() {
		defer close(b.done)
		b.loop(ctx)
	}()
}

// Done returns a channel that is closed once the goroutine of Run has ended.
func (b *Book) Done() <-chan struct{} { return b.done }

// Record keeps a departure and waits until it is on the store. It does not wait for a store that did not answer the call
// before, and for maximumWait at most; the departure is then written later.
func (b *Book) Record(d Departure) {
	kept, isAway := b.add(d)
	if isAway {
		return
	}
	timer := time.NewTimer(maximumWait)
	defer timer.Stop()
	select {
	case <-kept:
	case <-timer.C:
		b.Logger.Warn("departure: not on the store in time, written later", "server", d.server)
	}
}

// Learn keeps a departure of which another daemon has told, without waiting for the store.
func (b *Book) Learn(d Departure) { b.add(d) }

// add adds a departure unless it is known, and returns the channel that is closed once it is on the store, and whether the
// store did not answer the call before.
func (b *Book) add(d Departure) (kept <-chan struct{}, isAway bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.find(d); known != nil {
		return known.kept, b.isAway
	}
	e := &entry{departure: d, kept: make(chan struct{})}
	b.entries = append(b.entries, e)
	b.notify()
	return e.kept, b.isAway
}

// find returns the entry with a departure of the same incarnation or a later one, or nil; the caller holds the lock.
func (b *Book) find(d Departure) *entry {
	for _, e := range b.entries {
		if e.departure.server == d.server && e.departure.born >= d.born {
			return e
		}
	}
	return nil
}

// notify wakes the loop.
func (b *Book) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// loop reads the rows of the daemon, then writes what is owed whenever there is something.
func (b *Book) loop(ctx context.Context) {
	isRead := b.IsNew
	for ctx.Err() == nil {
		err := b.writeOwed(ctx)
		if !isRead && err == nil {
			err = b.read(ctx)
			isRead = err == nil
		}
		b.setAway(err != nil)
		if err != nil {
			b.Logger.Warn("departure: store call failed", "error", err)
			b.pause(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-b.changed:
		case <-b.Era.After(b.oldestEra()):
		}
	}
}

func (b *Book) setAway(isAway bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isAway = isAway
}

// pause waits before the next call.
func (b *Book) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause/2 + rand.N(retryPause)):
	}
}

// read reads the rows of the daemon.
func (b *Book) read(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := b.Store.ListPrefix(limited, Table, prefix(b.Daemon))
	if err != nil {
		return err
	}
	b.Era.Record(page.Era)
	for _, odd := range page.Odd {
		b.Logger.Warn("departure: row left out", "error", odd)
	}
	for _, r := range page.Rows {
		d, err := decode(r.Value)
		if err != nil || r.Key != key(b.Daemon, d) {
			b.Logger.Warn("departure: row left out", "key", r.Key, "error", err)
			continue
		}
		b.addRead(d, page.Era)
		b.OnRead(d)
	}
	return nil
}

// addRead adds a departure that was read, unless the daemon knows it already.
func (b *Book) addRead(d Departure, era uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.find(d) != nil {
		return
	}
	kept := make(chan struct{})
	close(kept)
	b.entries = append(b.entries, &entry{departure: d, era: max(era, 1), kept: kept})
}

// writeOwed writes the departures that are not on the store, one after the other. With each it deletes those that do not
// count any more.
func (b *Book) writeOwed(ctx context.Context) error {
	for {
		owed, obsolete := b.next(time.Now())
		if owed == nil {
			return nil
		}
		era, err := b.write(ctx, owed.departure, obsolete)
		if err != nil {
			return err
		}
		b.Era.Record(era)
		b.settle(owed, era, obsolete)
	}
}

// write writes the row of a departure and deletes obsolete ones.
func (b *Book) write(ctx context.Context, d Departure, obsolete []string) (era uint64, err error) {
	value, err := d.encode()
	if err != nil {
		return 0, err
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.Store.Replace(limited, Table, key(b.Daemon, d), value, obsolete)
}

// next returns an entry that is owed, or nil if none is, and the keys of the rows that do not count any more.
func (b *Book) next(now time.Time) (owed *entry, obsolete []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := b.Era.Newest()
	for _, e := range b.entries {
		switch isOld := now.Sub(e.departure.at) > lifetime; {
		case isOld && e.era > 0 && len(obsolete) < maximumObsolete:
			obsolete = append(obsolete, key(b.Daemon, e.departure))
		case !isOld && owed == nil && (e.era == 0 || e.era < newest):
			owed = e
		}
	}
	return owed, obsolete
}

// maximumObsolete bounds the rows that are deleted with one write.
const maximumObsolete = 50

// settle records that a departure is on the store in an era and that obsolete rows are gone.
func (b *Book) settle(owed *entry, era uint64, obsolete []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = slices.DeleteFunc(b.entries, func(e *entry) bool { return slices.Contains(obsolete, key(b.Daemon, e.departure)) })
	if owed.era == 0 {
		close(owed.kept)
	}
	owed.era = max(era, 1)
}

// oldestEra returns the oldest era in which a departure that still counts was written, or the newest era if there is none.
func (b *Book) oldestEra() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.Era.Newest()
	for _, e := range b.entries {
		if time.Since(e.departure.at) <= lifetime {
			oldest = min(oldest, e.era)
		}
	}
	return oldest
}
