package discovery

import (
	"context"
	"errors"
	"time"
)

// result is the result of a call of Feed.
type result struct {
	page Page
	err  error
}

// checkTimeout limits a check beside a call that waits.
const checkTimeout = 400 * time.Millisecond

// errUnanswered ends a call that waits when a check beside it got no answer in time.
var errUnanswered = errors.New("a check beside a call that waits got no answer")

// errNewerEra ends a call that waits once a newer era of the store is known.
var errNewerEra = errors.New("the store has another history")

// await waits at the store for changes after the position, or until a newer era is known.
//
// The response to a call that waits may be lost, and a connection on which that happened stays silent. While no daemon has
// shown for CheckAfter that the configuration is the newest, and none does so on Confirm, the store is asked beside the call
// that waits. If that fails, or tells of changes, the call that waits is given up.
func (f *Follower) await(ctx context.Context) (reading, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	waiting := f.feed(ctx, feedWait, feedWait+feedGrace)
	for {
		select {
		case r := <-waiting:
			return reading{page: r.page}, r.err
		case <-f.Era.After(f.position.era):
			return reading{}, errNewerEra
		case <-f.check:
		case <-time.After(f.untilCheck()):
			if f.isConfirmed(ctx) {
				continue
			}
		}
		asked := time.Now()
		select {
		case r := <-waiting:
			return reading{page: r.page}, r.err
		case r := <-f.feed(ctx, 0, checkTimeout):
			if isOver, err := f.judge(r); err != nil {
				return reading{}, err
			} else if isOver {
				f.Logger.Warn("discovery: store told of changes beside a call that waits", "table", f.Table, "position", f.position.version, "version", r.page.Version, "waited", time.Since(began))
				return reading{page: r.page, asked: asked, isMissed: true}, nil
			}
			f.Freshness.Record(asked)
		}
	}
}

// isConfirmed reports whether another daemon shows that the configuration is the newest, or has done so meanwhile.
func (f *Follower) isConfirmed(ctx context.Context) bool {
	if f.untilCheck() == 0 && f.Confirm != nil {
		f.Confirm(ctx)
	}
	return f.untilCheck() > 0
}

// judge reports whether the result of a check tells of changes, so that the wait is over. A single check may be slow, so an
// outage shows only if the call after errUnanswered fails.
func (f *Follower) judge(checked result) (isOver bool, err error) {
	if errors.Is(checked.err, context.DeadlineExceeded) {
		return false, errUnanswered
	}
	if checked.err != nil {
		return false, checked.err
	}
	return len(checked.page.Rows) > 0 || f.hasGoneBack(checked.page), nil
}

// feed starts a call of Feed and returns the channel for its result.
func (f *Follower) feed(ctx context.Context, wait, timeout time.Duration) <-chan result {
	done := make(chan result, 1)
	after := f.position.version
	go func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		p, err := f.Store.Feed(limited, f.Table, after, wait)
		done <- result{p, err}
	}()
	return done
}

// untilCheck returns the time until the store has to be asked beside a call that waits, which is at most feedWait.
func (f *Follower) untilCheck() time.Duration {
	if f.CheckAfter == nil {
		return feedWait + feedGrace
	}
	return max(0, f.CheckAfter()-f.Freshness.Age(time.Now()))
}

// clearCheck forgets a call of Check, which the next call answers.
func (f *Follower) clearCheck() {
	select {
	case <-f.check:
	default:
	}
}
