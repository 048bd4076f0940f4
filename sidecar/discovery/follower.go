package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"siskinspar.example/store"
)

const (
	// readTimeout limits a List, or a Feed without wait, which the store answers at once. A call that was in flight when
	// the store recovered may never be answered. This timeout plus the longest backoff still bring an answer within 3 s
	// of the recovery.
	readTimeout = 1200 * time.Millisecond
	// initialBackoff and maximumBackoff are the shortest and longest delay before a failed call is retried, before jitter.
	initialBackoff = 100 * time.Millisecond
	maximumBackoff = 800 * time.Millisecond
	// batchDelay is the delay after a page with changes, so that changes in quick succession need only one call.
	batchDelay = 800 * time.Millisecond
	// feedWait is how long a Feed waits in the store for a change.
	feedWait = 20 * time.Second
	// feedGrace is added to feedWait for the timeout of a Feed, so that the store answers first.
	feedGrace = 2 * time.Second
)

// Follower reads one table of the store and then its changes. The exported fields are set before Run.
type Follower struct {
	Table  string
	Store  Store
	Logger *slog.Logger
	// Era is the newest era of the store that the daemon knows of, which the follower raises, and which others may raise;
	// it is set before Run, or nil.
	Era *store.Era
	// OnRows is called with all rows after each List, and with the changed rows after a Feed. It is called by one
	// goroutine.
	OnRows func(rows []Row)
	// OnResult is called after each call of the store with its error, or nil; it is set before Run, or nil.
	OnResult func(err error)
	// OnMissed is called after OnRows for rows of which a waiting call was not told; it is set before Run, or nil.
	OnMissed func()
	// Freshness is raised by each call that the store answers at once; it is set before Run, or nil.
	Freshness *Freshness
	// CheckAfter returns the age of Freshness from which the follower asks the store beside a call that waits; it is set
	// before Run, or nil for never.
	CheckAfter func() time.Duration
	// Confirm asks another daemon how old its configuration is, which may raise Freshness, before the follower asks the
	// store beside a call that waits; it is set before Run, or nil.
	Confirm func(ctx context.Context)

	isDown  bool
	backoff time.Duration
	// position is that of the latest page, from which Feed goes on; isListed is false while there is none.
	position position
	isListed bool
	// isQuiet is true if the latest page is of a Feed and has no rows.
	isQuiet bool
	// isListedAgain is true from a List because of the history of the store until a Feed succeeds.
	isListedAgain bool
	// check holds an element once Check was called.
	check chan struct{}
	done  chan struct{}
}

// position is a place in the history of the store. Only places of one era can be compared.
type position struct{ era, version uint64 }

// Run starts a goroutine that follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.done = make(chan struct{})
	f.check = make(chan struct{}, 1)
	if f.Era == nil {
		f.Era = &store.Era{}
	}
	if f.Freshness == nil {
		f.Freshness = &Freshness{}
	}
	go func() {
		defer close(f.done)
		f.follow(ctx)
	}()
}

// Done returns a channel that is closed once the goroutine of Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Check makes the follower ask the store beside a call that waits, since another daemon has shown that there are changes.
func (f *Follower) Check() {
	select {
	case f.check <- struct{}{}:
	default:
	}
}

// follow lists the table, then passes on its changes. It lists the table again when the store no longer has the history
// after its position, or has another history.
func (f *Follower) follow(ctx context.Context) {
	f.backoff = initialBackoff
	for ctx.Err() == nil {
		started := time.Now()
		found, err := f.fetch(ctx)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.Logger.Info("discovery: store lacks the history", "table", f.Table, "position", f.position.version, "era", f.position.era)
			f.listAgain(ctx)
		case errors.Is(err, errUnanswered):
			f.Logger.Info("discovery: store does not answer beside a call that waits", "table", f.Table, "position", f.position.version, "waited", time.Since(started))
			f.isQuiet = false
			f.report(err)
		case err != nil && f.isListed && f.Era.Newest() > f.position.era:
			f.Logger.Info("discovery: store has another history", "table", f.Table, "position", f.position.version, "era", f.position.era, "newest-era", f.Era.Newest())
			f.listAgain(ctx)
		case err != nil:
			f.markDown(ctx, err, time.Since(started))
			if ctx.Err() == nil {
				f.report(err)
			}
			f.pause(ctx)
		default:
			f.report(nil)
			f.receive(ctx, found)
		}
	}
}

// reading is a page as one call of the store returned it.
type reading struct {
	page Page
	// asked is when the call was made that the store answered at once, or zero for a call that waited.
	asked time.Time
	// isMissed is true if the page was read beside a call that waited for its changes in vain.
	isMissed bool
}

// receive passes on the rows of a page and goes on after it, unless the store went back since the page before.
func (f *Follower) receive(ctx context.Context, r reading) {
	p := r.page
	f.logPage(p)
	f.markUp()
	f.Era.Record(p.Era)
	if f.isListed && f.hasGoneBack(p) {
		f.listAgain(ctx)
		return
	}
	if f.isListed {
		f.backoff = initialBackoff
		f.isListedAgain = false
	}
	f.isQuiet = f.isListed && len(p.Rows) == 0
	f.isListed = true
	f.position = position{era: p.Era, version: p.Version}
	if len(p.Rows) > 0 {
		f.OnRows(p.Rows)
	}
	f.Freshness.Record(r.asked)
	if r.isMissed && f.OnMissed != nil {
		f.OnMissed()
	}
	if len(p.Rows) > 0 {
		sleep(ctx, batchDelay)
	}
}

// hasGoneBack reports whether a page is of another history than the page before: it has another era, or an older version
// where the store names no era.
func (f *Follower) hasGoneBack(p Page) bool {
	return p.Era != f.position.era || p.Version < f.position.version
}

// listAgain makes List the next call, at once unless the one before was followed by no page of changes.
func (f *Follower) listAgain(ctx context.Context) {
	f.isListed = false
	if f.isListedAgain {
		f.pause(ctx)
	}
	f.isListedAgain = true
}

// fetch lists the table if that is due, and otherwise reads the changes after the position. It waits for changes only if
// the call before was answered and told of none: a store that went back during batchDelay would not answer a call that
// waits before it has passed the position.
func (f *Follower) fetch(ctx context.Context) (reading, error) {
	if f.isListed && f.isQuiet && !f.isDown {
		return f.await(ctx)
	}
	f.clearCheck()
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	var p Page
	var err error
	if f.isListed {
		p, err = f.Store.Feed(callCtx, f.Table, f.position.version, 0)
	} else {
		p, err = f.Store.List(callCtx, f.Table)
	}
	return reading{page: p, asked: asked}, err
}

// pause waits before the next call, each time longer until a Feed succeeds.
func (f *Follower) pause(ctx context.Context) {
	sleep(ctx, jitter(f.backoff))
	f.backoff = min(2*f.backoff, maximumBackoff)
}

// logPage logs the rows that can't be read, and the page of a store that comes back after an outage, or that has another
// era than the one before.
func (f *Follower) logPage(p Page) {
	for _, err := range p.Odd {
		f.Logger.Warn("discovery: row left out", "table", f.Table, "error", err)
	}
	if f.isDown || p.Era != f.position.era {
		f.Logger.Info("discovery: read after a change of the store", "table", f.Table, "position", f.position.version, "version", p.Version, "era", p.Era, "previous-era", f.position.era, "rows", len(p.Rows))
	}
}

func (f *Follower) report(err error) {
	if f.OnResult != nil {
		f.OnResult(err)
	}
}

// markDown logs the first failure of an outage, and how long the failed call took; failures because the context ended
// don't count.
func (f *Follower) markDown(ctx context.Context, err error, took time.Duration) {
	if f.isDown || ctx.Err() != nil {
		return
	}
	f.isDown = true
	f.Logger.Warn("discovery: store unreachable", "table", f.Table, "position", f.position.version, "quiet", f.isQuiet, "took", took, "error", err)
}

func (f *Follower) markUp() {
	if !f.isDown {
		return
	}
	f.isDown = false
	f.Logger.Info("discovery: store reachable again", "table", f.Table)
}

// jitter returns a random duration from half to one and a half times the given one.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
