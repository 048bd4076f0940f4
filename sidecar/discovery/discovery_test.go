package discovery_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/store"
)

// scriptedStore is a store that answers each call with the next scripted step and repeats the last one.
type scriptedStore struct {
	mu    sync.Mutex
	lists []step
	feeds []step
	after []uint64
	calls int
}

type step struct {
	page discovery.Page
	err  error
	// isSilent makes a call of Feed wait until it is cancelled.
	isSilent bool
}

// takeStep returns the first step and removes it, unless it is the last.
func takeStep(steps *[]step) step {
	s := (*steps)[0]
	if len(*steps) > 1 {
		*steps = (*steps)[1:]
	}
	return s
}

func (s *scriptedStore) List(context.Context, string) (discovery.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	found := takeStep(&s.lists)
	return found.page, found.err
}

func (s *scriptedStore) Feed(ctx context.Context, _ string, after uint64, wait time.Duration) (discovery.Page, error) {
	s.mu.Lock()
	s.calls++
	s.after = append(s.after, after)
	isLast := len(s.feeds) == 1
	found := takeStep(&s.feeds)
	s.mu.Unlock()
	if found.isSilent {
		<-ctx.Done()
		return discovery.Page{}, ctx.Err()
	}
	if isLast && found.err == nil {
		select {
		case <-ctx.Done():
			return discovery.Page{}, ctx.Err()
		case <-time.After(wait):
		}
	}
	return found.page, found.err
}

func (s *scriptedStore) Put(context.Context, string, string, []byte) (uint64, error) { return 0, nil }

func page(version uint64, keys ...string) discovery.Page {
	p := discovery.Page{Version: version}
	for _, k := range keys {
		p.Rows = append(p.Rows, discovery.Row{Key: k})
	}
	return p
}

var errDown = errors.New("down")

// follow runs a follower for a span of virtual time and returns the keys of the rows that it passed on.
func follow(t *testing.T, s *scriptedStore, span time.Duration) []string {
	t.Helper()
	var keys []string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &discovery.Follower{Table: "t", Store: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnRows: func(rows []discovery.Row) {
			for _, r := range rows {
				keys = append(keys, r.Key)
			}
		}}
		f.Run(ctx)
		time.Sleep(span)
		cancel()
		<-f.Done()
	})
	return keys
}

func TestFollowerListsThenFeedsChanges(t *testing.T) {
	s := &scriptedStore{
		lists: []step{{page: page(5, "a")}},
		feeds: []step{{page: page(7, "b")}, {page: page(9, "c")}, {page: page(9)}},
	}
	assert.DeepEqual(t, follow(t, s, 3*time.Second), []string{"a", "b", "c"})
	assert.DeepEqual(t, s.after, []uint64{5, 7, 9, 9})
}

func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	s := &scriptedStore{
		lists: []step{{page: page(5, "a")}, {page: page(20, "a", "z")}},
		feeds: []step{{err: discovery.ErrHistoryGone}, {page: page(20)}},
	}
	assert.DeepEqual(t, follow(t, s, 3*time.Second), []string{"a", "a", "z"})
	assert.DeepEqual(t, s.after, []uint64{5, 20, 20})
}

// restored returns a page of a store that came back from an older copy.
func restored(version uint64, keys ...string) discovery.Page {
	p := page(version, keys...)
	p.Era = 1
	return p
}

func TestFollowerReadsTheHistoryOfAStoreThatCameBackFromAnOlderCopy(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists []step
		feeds []step
		keys  []string
		after []uint64
	}{
		{
			"the store lacks the position", []step{{page: page(5, "a")}, {page: restored(3, "a")}},
			[]step{{err: discovery.ErrHistoryGone}, {page: restored(4, "b")}, {page: restored(4)}}, []string{"a", "a", "b"}, []uint64{5, 3, 4, 4},
		},
		{
			"the store has reached the position again", []step{{page: page(5, "a")}, {page: restored(7, "b", "c")}},
			[]step{{page: restored(7, "c")}, {page: restored(7)}}, []string{"a", "b", "c"}, []uint64{5, 7, 7},
		},
		{
			"the store does not tell its era", []step{{page: page(5, "a")}, {page: page(3, "b")}},
			[]step{{page: page(3)}, {page: page(3)}}, []string{"a", "b"}, []uint64{5, 3, 3},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedStore{lists: c.lists, feeds: c.feeds}
			assert.DeepEqual(t, follow(t, s, 4*time.Second), c.keys)
			assert.DeepEqual(t, s.after, c.after)
		})
	}
}

func TestFollowerIsToldOfAnotherHistoryWhileTheStoreLeavesItsCallUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &scriptedStore{lists: []step{{page: page(5, "a")}, {page: restored(5, "b")}}, feeds: []step{{page: page(5)}, {isSilent: true}, {page: restored(5)}}}
		var keys []string
		f := &discovery.Follower{
			Table: "t", Store: s, Era: &store.Era{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			OnRows: func(rows []discovery.Row) { keys = append(keys, rows[0].Key) },
		}
		f.Run(ctx)
		time.Sleep(2 * time.Second)
		f.Era.Record(1)
		time.Sleep(time.Second)
		cancel()
		<-f.Done()
		assert.DeepEqual(t, keys, []string{"a", "b"})
	})
}

func TestFollowerDoesNotListWithoutPauseWhenTheHistoryIsGoneAgainAndAgain(t *testing.T) {
	s := &scriptedStore{}
	for range 1000 {
		s.lists = append(s.lists, step{page: page(5)})
		s.feeds = append(s.feeds, step{err: discovery.ErrHistoryGone})
	}
	s.feeds = append(s.feeds, step{page: page(5)})
	follow(t, s, 10*time.Second)
	// Two calls a round, at most 0.8 s and on average half a second apart.
	assert.Assert(t, s.calls <= 60, "%d calls", s.calls)
}

func TestFollowerReadsChangeAfterFailedCalls(t *testing.T) {
	for _, failed := range []int{1, 3, 10, 40} {
		failures := make([]step, failed)
		for i := range failures {
			failures[i] = step{err: errDown}
		}
		s := &scriptedStore{lists: []step{{page: page(5, "a")}}, feeds: append(failures, step{page: page(6, "b")}, step{page: page(6)})}
		// Each backoff between the failed calls is at most 1.5 s.
		keys := follow(t, s, time.Duration(failed)*1500*time.Millisecond+time.Second)
		assert.DeepEqual(t, keys, []string{"a", "b"})
	}
}

// silentStore is a store that accepts calls without answering them until it recovers; its first List is answered.
type silentStore struct {
	began, recovers time.Time
	calls           int
}

func (s *silentStore) answer(ctx context.Context, p discovery.Page) (discovery.Page, error) {
	s.calls++
	if time.Now().Before(s.recovers) {
		<-ctx.Done()
		return discovery.Page{}, ctx.Err()
	}
	return p, nil
}

func (s *silentStore) List(ctx context.Context, _ string) (discovery.Page, error) {
	if time.Now().Equal(s.began) {
		return page(5, "a"), nil
	}
	return s.answer(ctx, page(6, "b"))
}

func (s *silentStore) Feed(ctx context.Context, _ string, after uint64, _ time.Duration) (discovery.Page, error) {
	if s.calls == 0 {
		// The connection of the call in flight breaks while the store is down.
		s.calls++
		time.Sleep(4 * time.Second)
		return discovery.Page{}, errDown
	}
	if after < 6 {
		return s.answer(ctx, page(6, "b"))
	}
	<-ctx.Done()
	return discovery.Page{}, ctx.Err()
}

func (s *silentStore) Put(context.Context, string, string, []byte) (uint64, error) { return 0, nil }

func TestFollowerReadsSilentStoreWithinThreeSecondsOfRecovery(t *testing.T) {
	for phase := range 40 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &silentStore{began: time.Now(), recovers: time.Now().Add(8*time.Second + time.Duration(phase)*100*time.Millisecond)}
			var read time.Time
			f := &discovery.Follower{Table: "t", Store: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnRows: func(rows []discovery.Row) {
				if rows[0].Key == "b" {
					read = time.Now()
				}
			}}
			f.Run(ctx)
			time.Sleep(20 * time.Second)
			cancel()
			<-f.Done()
			assert.Assert(t, !read.IsZero(), "phase %d: change never read", phase)
			assert.Assert(t, read.Sub(s.recovers) <= 3*time.Second, "phase %d: change read %v after the recovery", phase, read.Sub(s.recovers))
		})
	}
}

func TestFollowerBatchesFrequentChanges(t *testing.T) {
	feeds := make([]step, 1000)
	for i := range feeds {
		feeds[i] = step{page: page(uint64(i+6), "a")}
	}
	s := &scriptedStore{lists: []step{{page: page(5)}}, feeds: feeds}
	follow(t, s, 10*time.Second)
	// At two calls a second, 300 daemons stay well within 2,000 reads a second of the store.
	assert.Assert(t, s.calls <= 20, "%d calls", s.calls)
}
