package owner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
)

func TestACallThatDoesNotFitBeforeTheEndOfTheDaemonDoesNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    time.Duration
		outcome message.Outcome
		runs    int32
	}{
		{"time is left", time.Minute, message.Ran, 1},
		{"no time is left", 0, message.NotRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			o := newOwner(t)
			o.Announce(announcement(s, "a", 10, 5, member.Ready))
			o.StopBy(time.Now().Add(c.left))
			assert.Equal(t, o.Call(call("one", "/", "a", route.Unrepeatable, 1)).Outcome, c.outcome)
			assert.Equal(t, o.Reserve(call("two", "/", "a", route.Unrepeatable, 2).Job).Ticket != 0, c.outcome == message.Ran)
			assert.Equal(t, s.runs.Load(), c.runs)
		})
	}
}
