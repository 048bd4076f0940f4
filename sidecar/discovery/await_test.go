package discovery_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/discovery"
)

// checkAfter is the age of the configuration from which the followers of these tests ask the store beside a call that
// waits.
const checkAfter = 1500 * time.Millisecond

// outcome is what a follower told of a scripted store.
type outcome struct {
	keys     []string
	missed   int
	failures []error
}

// followWithChecks runs a follower for a span of virtual time. During is called once it runs.
func followWithChecks(t *testing.T, s *scriptedStore, span time.Duration, during func(*discovery.Follower)) outcome {
	t.Helper()
	return followConfirmed(t, s, span, nil, during)
}

// followConfirmed is followWithChecks with another daemon that confirms the configuration.
func followConfirmed(t *testing.T, s *scriptedStore, span time.Duration, confirm func(*discovery.Freshness), during func(*discovery.Follower)) outcome {
	t.Helper()
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &discovery.Follower{
			Table: "t", Store: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Freshness: &discovery.Freshness{}, CheckAfter: func() time.Duration { return checkAfter },
			OnRows:   func(rows []discovery.Row) { o.keys = append(o.keys, rows[0].Key) },
			OnMissed: func() { o.missed++ },
			OnResult: func(err error) {
				if err != nil {
					o.failures = append(o.failures, err)
				}
			},
		}
		if confirm != nil {
			f.Confirm = func(context.Context) { confirm(f.Freshness) }
		}
		f.Run(ctx)
		during(f)
		time.Sleep(span)
		cancel()
		<-f.Done()
	})
	return o
}

func TestFollowerFindsAChangeWhoseAnswerWasLost(t *testing.T) {
	s := &scriptedStore{
		lists: []step{{page: page(5, "a")}},
		feeds: []step{{page: page(5)}, {isSilent: true}, {page: page(6, "b")}, {page: page(6)}},
	}
	o := followWithChecks(t, s, 3*time.Second, func(*discovery.Follower) {})
	assert.DeepEqual(t, o.keys, []string{"a", "b"})
	assert.Equal(t, o.missed, 1, "the other daemons have to learn that the store does not tell of changes")
	assert.Equal(t, len(o.failures), 0)
}

func TestFollowerNoticesThatTheStoreIsSilentWhileItWaits(t *testing.T) {
	s := &scriptedStore{lists: []step{{page: page(5, "a")}}, feeds: []step{{page: page(5)}, {isSilent: true}}}
	o := followWithChecks(t, s, 4*time.Second, func(*discovery.Follower) {})
	// The first failure is that of the check, the next that of the call which shows that the store is silent.
	assert.Assert(t, len(o.failures) > 1, "%d failures within 4 s", len(o.failures))
	assert.Assert(t, errors.Is(o.failures[1], context.DeadlineExceeded))
}

func TestFollowerAsksNothingBesideAWaitWhileOthersShowThatTheConfigurationIsCurrent(t *testing.T) {
	s := &scriptedStore{lists: []step{{page: page(5, "a")}}, feeds: []step{{page: page(5)}}}
	followWithChecks(t, s, time.Second, func(f *discovery.Follower) {
		for range 10 {
			time.Sleep(time.Second)
			f.Freshness.Record(time.Now())
		}
	})
	assert.Equal(t, s.calls, 3, "a list, a call that does not wait, and one that waits")
}

func TestFollowerAsksAboutOncePerAgeWhileNobodyElseDoes(t *testing.T) {
	s := &scriptedStore{lists: []step{{page: page(5, "a")}}, feeds: []step{{page: page(5)}}}
	followWithChecks(t, s, 15*time.Second, func(*discovery.Follower) {})
	assert.Assert(t, s.calls >= 10 && s.calls <= 13, "%d calls in 15 s", s.calls)
}

func TestFollowerChecksAWaitWhenAnotherDaemonShowsAChange(t *testing.T) {
	s := &scriptedStore{
		lists: []step{{page: page(5, "a")}},
		feeds: []step{{page: page(5)}, {isSilent: true}, {page: page(6, "b")}, {page: page(6)}},
	}
	o := followWithChecks(t, s, 100*time.Millisecond, func(f *discovery.Follower) {
		time.Sleep(time.Second)
		f.Check()
	})
	assert.DeepEqual(t, o.keys, []string{"a", "b"})
}

func TestFollowerAsksNothingBesideAWaitWhileAnotherDaemonConfirmsTheConfiguration(t *testing.T) {
	s := &scriptedStore{lists: []step{{page: page(5, "a")}}, feeds: []step{{page: page(5)}}}
	asked := 0
	confirm := func(f *discovery.Freshness) {
		asked++
		f.Record(time.Now())
	}
	followConfirmed(t, s, 10*time.Second, confirm, func(*discovery.Follower) {})
	assert.Equal(t, s.calls, 3, "a list, a call that does not wait, and one that waits")
	assert.Assert(t, asked >= 5 && asked <= 7, "asked %d times in 10 s", asked)
}

// It guards against a wait for the word of another daemon that has just been frozen.
func TestFollowerFindsALostChangeInTimeOnceTheDaemonThatConfirmsFallsSilent(t *testing.T) {
	s := &scriptedStore{
		lists: []step{{page: page(5, "a")}},
		feeds: []step{{page: page(5)}, {isSilent: true}, {page: page(6, "b")}, {page: page(6)}},
	}
	const askTime = 150 * time.Millisecond
	var isFrozen atomic.Bool
	confirm := func(f *discovery.Freshness) {
		if isFrozen.Load() {
			time.Sleep(askTime)
			return
		}
		f.Record(time.Now())
	}
	o := followConfirmed(t, s, checkAfter+askTime+100*time.Millisecond, confirm, func(*discovery.Follower) {
		time.Sleep(4 * checkAfter)
		isFrozen.Store(true)
	})
	assert.DeepEqual(t, o.keys, []string{"a", "b"})
}
