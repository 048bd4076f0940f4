package owner_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
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
