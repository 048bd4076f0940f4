package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

const (
	// readTimeout bounds a call that the store answers at once. With the longest pause it keeps the first answer after an
	// outage within three seconds: a call that was under way when the store came back may never be answered.
	readTimeout = 1200 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// gatherTime joins changes in quick succession to one call.
	gatherTime = 800 * time.Millisecond
	// longestFeed is how long the store may hold a call for changes.
	longestFeed = 20 * time.Second
	// feedGrace is how much longer than longestFeed the answer is waited for.
	feedGrace = 2 * time.Second
)

// Follower keeps up with one table of the store; its exported fields are set before Run.
type Follower struct {
	Table  string
	Store  Store
	Logger *slog.Logger
	// OnRows is called with the rows of a list or a change.
	OnRows func(rows []Row)

	isDown bool
	done   chan struct{}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.done = make(chan struct{})
	go func() {
		defer close(f.done)
		f.follow(ctx)
	}()
}

// Done returns a channel that is closed once the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

func (f *Follower) follow(ctx context.Context) {
	pause := firstPause
	var version uint64
	isListed := false
	for ctx.Err() == nil {
		page, err := f.next(ctx, version, isListed)
		if errors.Is(err, ErrHistoryGone) {
			isListed = false
			continue
		}
		if err != nil {
			f.lose(ctx, err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, longestPause)
			continue
		}
		f.regain()
		pause = firstPause
		isListed = true
		version = max(version, page.Version)
		if len(page.Rows) > 0 {
			f.OnRows(page.Rows)
			sleep(ctx, gatherTime)
		}
	}
}

func (f *Follower) next(ctx context.Context, version uint64, isListed bool) (Page, error) {
	if !isListed {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f.Store.List(limited, f.Table)
	}
	wait, limit := longestFeed, longestFeed+feedGrace
	if f.isDown {
		// A store that takes calls without answering them would hold a long call far beyond its return.
		wait, limit = 0, readTimeout
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.Store.Feed(limited, f.Table, version, wait)
}

func (f *Follower) lose(ctx context.Context, err error) {
	if f.isDown || ctx.Err() != nil {
		return
	}
	f.isDown = true
	f.Logger.Warn("discovery: store lost", "table", f.Table, "error", err)
}

func (f *Follower) regain() {
	if !f.isDown {
		return
	}
	f.isDown = false
	f.Logger.Info("discovery: store regained", "table", f.Table)
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
