package owner_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/platform/dialect"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
)

// panickingHeaders ends in a panic for requests to the path /panic.
type panickingHeaders struct{ dialect.Headers }

func (h panickingHeaders) ForServer(q message.Request, server string, timeLeft time.Duration) http.Header {
	if q.Target == "/panic" {
		panic("injected")
	}
	return h.Headers.ForServer(q, server, timeLeft)
}

func TestAPanicEndsOnlyItsCall(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Headers = panickingHeaders{}
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	assert.Equal(t, o.Call(call("one", "/panic", "a", route.Unrepeatable, 1)).Outcome, message.Unknown)
	assert.Equal(t, o.Call(call("two", "/", "a", route.Unrepeatable, 2)).Outcome, message.Ran, "the only slot is free again")
}
