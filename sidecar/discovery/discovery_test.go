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
)

// scripted is a store whose calls take the next step; the last one is repeated.
type scripted struct {
	mu    sync.Mutex
	lists []step
	feeds []step
	after []uint64
	calls int
}

type step struct {
	page discovery.Page
	err  error
}

func next(steps *[]step) step {
	s := (*steps)[0]
	if len(*steps) > 1 {
		*steps = (*steps)[1:]
	}
	return s
}

func (s *scripted) List(context.Context, string) (discovery.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	found := next(&s.lists)
	return found.page, found.err
}

func (s *scripted) Feed(ctx context.Context, _ string, after uint64, wait time.Duration) (discovery.Page, error) {
	s.mu.Lock()
	s.calls++
	s.after = append(s.after, after)
	isLast := len(s.feeds) == 1
	found := next(&s.feeds)
	s.mu.Unlock()
	if isLast && found.err == nil {
		select {
		case <-ctx.Done():
			return discovery.Page{}, ctx.Err()
		case <-time.After(wait):
		}
	}
	return found.page, found.err
}

func (s *scripted) Put(context.Context, string, string, []byte) error { return nil }

func page(version uint64, keys ...string) discovery.Page {
	p := discovery.Page{Version: version}
	for _, k := range keys {
		p.Rows = append(p.Rows, discovery.Row{Key: k})
	}
	return p
}

var errDown = errors.New("down")

// follow runs a follower for a span of virtual time and returns the keys that it brought.
func follow(t *testing.T, s *scripted, span time.Duration) []string {
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

func TestChangesAreFollowedFromTheListOn(t *testing.T) {
	s := &scripted{
		lists: []step{{page: page(5, "a")}},
		feeds: []step{{page: page(7, "b")}, {page: page(9, "c")}, {page: page(9)}},
	}
	assert.DeepEqual(t, follow(t, s, 3*time.Second), []string{"a", "b", "c"})
	assert.DeepEqual(t, s.after, []uint64{5, 7, 9})
}

func TestAHistoryThatIsGoneIsMadeUpForByAList(t *testing.T) {
	s := &scripted{
		lists: []step{{page: page(5, "a")}, {page: page(20, "a", "z")}},
		feeds: []step{{err: discovery.ErrHistoryGone}, {page: page(20)}},
	}
	assert.DeepEqual(t, follow(t, s, 3*time.Second), []string{"a", "a", "z"})
	assert.DeepEqual(t, s.after, []uint64{5, 20})
}

func TestAStoreThatComesBackIsReadWithinTwoSeconds(t *testing.T) {
	for _, down := range []int{1, 3, 10, 40} {
		failures := make([]step, down)
		for i := range failures {
			failures[i] = step{err: errDown}
		}
		s := &scripted{lists: []step{{page: page(5, "a")}}, feeds: append(failures, step{page: page(6, "b")}, step{page: page(6)})}
		// The store is down for as many calls; each pause in between is at most 1.5 s.
		keys := follow(t, s, time.Duration(down)*1500*time.Millisecond+time.Second)
		assert.DeepEqual(t, keys, []string{"a", "b"})
	}
}

// silent is a store that takes calls without answering them until it returns.
type silent struct {
	began, returns time.Time
	calls          int
}

func (s *silent) answer(ctx context.Context, p discovery.Page) (discovery.Page, error) {
	s.calls++
	if time.Now().Before(s.returns) {
		<-ctx.Done()
		return discovery.Page{}, ctx.Err()
	}
	return p, nil
}

func (s *silent) List(ctx context.Context, _ string) (discovery.Page, error) {
	if time.Now().Equal(s.began) {
		return page(5, "a"), nil
	}
	return s.answer(ctx, page(6, "b"))
}

func (s *silent) Feed(ctx context.Context, _ string, after uint64, _ time.Duration) (discovery.Page, error) {
	if s.calls == 0 {
		// The connection of the call that was under way ends while the store is away.
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

func (s *silent) Put(context.Context, string, string, []byte) error { return nil }

func TestAStoreThatWasSilentIsReadWithinThreeSeconds(t *testing.T) {
	for phase := range 40 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &silent{began: time.Now(), returns: time.Now().Add(8*time.Second + time.Duration(phase)*100*time.Millisecond)}
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
			assert.Assert(t, !read.IsZero(), "phase %d: never read", phase)
			assert.Assert(t, read.Sub(s.returns) <= 3*time.Second, "phase %d: read after %v", phase, read.Sub(s.returns))
		})
	}
}

func TestAStormOfChangesCostsFewCalls(t *testing.T) {
	feeds := make([]step, 1000)
	for i := range feeds {
		feeds[i] = step{page: page(uint64(i+6), "a")}
	}
	s := &scripted{lists: []step{{page: page(5)}}, feeds: feeds}
	follow(t, s, 10*time.Second)
	// Two calls a second of one daemon keep 300 daemons well within 2,000 reads a second.
	assert.Assert(t, s.calls <= 20, "%d calls", s.calls)
}
