package owner_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/route"
)

// TestAServerThatSaysInAnAnswerThatItLeavesGetsNoFurtherRequest guards against requests to a backend server that leaves
// without having announced its drain.
func TestAServerThatSaysInAnAnswerThatItLeavesGetsNoFurtherRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		state  member.State
	}{
		{"a success", func(w http.ResponseWriter) { w.Header().Set("Server-Leaving", "1") }, member.Draining},
		{"a failure", func(w http.ResponseWriter) {
			w.Header().Set("Server-Leaving", "1")
			w.WriteHeader(http.StatusInternalServerError)
		}, member.Draining},
		{"not run", func(w http.ResponseWriter) {
			w.Header().Set("Server-Leaving", "1")
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, member.Draining},
		{"another server at the address", func(w http.ResponseWriter) {
			w.Header().Set("Server-Leaving", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, member.Ready},
		{"another value", func(w http.ResponseWriter) { w.Header().Set("Server-Leaving", "0") }, member.Ready},
		{"no statement", func(http.ResponseWriter) {}, member.Ready},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			defer s.Close()
			s.answer = func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }
			o := newOwner(t)
			o.Announce(announcement(s, "a", 10, 5, member.Ready))
			o.Call(call("one", "/", "a", route.Idempotent, 1))
			found, _ := o.Server()
			assert.Equal(t, found.State, c.state)
			assert.Equal(t, o.Announce(announcement(s, "a", 10, 6, member.Ready)), false, "a late announcement changes nothing")
			s.answer = func(http.ResponseWriter, *http.Request) {}
			reply := o.Call(call("two", "/", "a", route.Idempotent, 2))
			assert.Equal(t, reply.Outcome == message.NotRun, c.state == member.Draining)
			assert.Assert(t, o.Announce(announcement(s, "a", 11, 1, member.Ready)), "the same ID after a restart is used")
		})
	}
}

// TestALimitInAnswersHoldsUntilTheServerStatesNone guards against more requests than a backend server in need takes.
func TestALimitInAnswersHoldsUntilTheServerStatesNone(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	var stated atomic.Value
	stated.Store("10")
	s.answer = func(w http.ResponseWriter, _ *http.Request) {
		s.runs.Add(1)
		if text := stated.Load().(string); text != "" {
			w.Header().Set("Server-Limit", text)
		}
	}
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	number := uint64(0)
	send := func() message.Reply {
		number++
		return o.Call(call("one", "/", "a", route.Idempotent, number))
	}
	isFree := func() bool {
		_, l := o.Server()
		return l.IsFree()
	}
	assert.Assert(t, isFree())
	assert.Equal(t, send().Outcome, message.Ran)
	assert.Assert(t, !isFree(), "others are told that it takes none now")
	const offered = 300
	ran, began := 0, time.Now()
	for range offered {
		time.Sleep(time.Millisecond)
		if send().Outcome == message.Ran {
			ran++
		}
	}
	assert.Assert(t, float64(ran) <= 1.5*10*time.Since(began).Seconds()+5, "%d ran in %v at a limit of 10", ran, time.Since(began))
	// A value that can't be read leaves the limit as it is.
	for _, text := range []string{"many", "-1", "NaN", "+Inf"} {
		stated.Store(text)
		for send().Outcome != message.Ran {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, !isFree(), text)
	}
	stated.Store("")
	for send().Outcome != message.Ran {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, isFree(), "the limit has ended")
}

// TestALimitHoldsOverARestartOfTheDaemon guards against a burst of requests to a backend server in need from a daemon
// that has restarted and not had an answer yet.
func TestALimitHoldsOverARestartOfTheDaemon(t *testing.T) {
	limited := func(s *server, born int64) member.Server {
		a := announcement(s, "a", born, 5, member.Ready)
		a.RateLimit = 1
		return a
	}
	for _, c := range []struct {
		name  string
		then  func(o *owner.Owner, s *server)
		limit float64
	}{
		{"told before the announcement", func(o *owner.Owner, s *server) {
			o.RecordLimit(limited(s, 10))
			o.Announce(announcement(s, "a", 10, 6, member.Ready))
		}, 1},
		{"told after the announcement", func(o *owner.Owner, s *server) {
			o.Announce(announcement(s, "a", 10, 6, member.Ready))
			o.RecordLimit(limited(s, 10))
		}, 1},
		{"told after an answer without a limit", func(o *owner.Owner, s *server) {
			o.Announce(announcement(s, "a", 10, 6, member.Ready))
			o.Call(call("one", "/", "a", route.Idempotent, 1))
			o.RecordLimit(limited(s, 10))
		}, 0},
		{"another incarnation", func(o *owner.Owner, s *server) {
			o.RecordLimit(limited(s, 10))
			o.Announce(announcement(s, "a", 11, 1, member.Ready))
		}, 0},
		{"an answer without a limit", func(o *owner.Owner, s *server) {
			o.RecordLimit(limited(s, 10))
			o.Announce(announcement(s, "a", 10, 6, member.Ready))
			for number := uint64(1); o.Call(call("one", "/", "a", route.Idempotent, number)).Outcome != message.Ran; number++ {
				time.Sleep(time.Millisecond)
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			defer s.Close()
			o := newOwner(t)
			c.then(o, s)
			found, load := o.Server()
			assert.Equal(t, found.RateLimit, c.limit)
			assert.Equal(t, load.StartWait > 0, c.limit > 0)
		})
	}
}
