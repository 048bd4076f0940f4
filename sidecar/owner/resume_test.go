package owner_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
)

// resumption asks for the reply to the call with a number that call returns.
func resumption(number uint64) message.Resumption {
	return message.Resumption{Entry: "e", Number: number}
}

func TestTheReplyToACallIsKeptForItsEntryDaemon(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	reply := o.Call(call("one", "/", "a", route.Unrepeatable, 1))
	assert.Equal(t, reply.Outcome, message.Ran)
	kept := o.Resume(resumption(1))
	assert.Equal(t, kept.Outcome, message.Ran)
	assert.Equal(t, kept.Answer.Header.Get("Request-Id"), "one")
	assert.Equal(t, s.runs.Load(), int32(1), "the request runs once")
}

func TestResumeWaitsForACallThatRuns(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	go o.Call(call("one", "/wait", "a", route.Unrepeatable, 1))
	<-s.started
	kept := make(chan message.Reply, 1)
	go func() { kept <- o.Resume(resumption(1)) }()
	close(s.release)
	reply := <-kept
	assert.Equal(t, reply.Outcome, message.Ran)
	assert.Equal(t, s.runs.Load(), int32(1))
}

// A call that is still on its way when its entry daemon asks for it must not run afterwards: the entry daemon may have
// sent the request elsewhere.
func TestACallThatHasNotComeIsKeptFromRunning(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	grant := o.Reserve(call("one", "/", "a", route.Unrepeatable, 1).Job)
	assert.Assert(t, grant.Ticket != 0)
	assert.Equal(t, o.Resume(resumption(1)).Outcome, message.NotRun)
	late := call("one", "/", "a", route.Unrepeatable, 1)
	late.Ticket = grant.Ticket
	assert.Equal(t, o.Call(late).Outcome, message.NotRun)
	late.Ticket = 0
	assert.Equal(t, o.Call(late).Outcome, message.NotRun)
	assert.Equal(t, s.runs.Load(), int32(0))
	_, load := o.Server()
	assert.Equal(t, load.Running, 0, "the granted slot is free again")
}

func TestAnotherIncarnationKnowsNothingOfACall(t *testing.T) {
	o := newOwner(t)
	r := resumption(1)
	r.Incarnation = 7
	assert.Equal(t, o.Resume(r).Outcome, message.Unknown)
	r = resumption(2)
	r.Age = time.Hour
	assert.Equal(t, o.Resume(r).Outcome, message.Unknown, "what became of so old a call is not known any more")
}

// Replies that don't fit are dropped, but it stays known that the calls have come: they must not pass for not run.
func TestAReplyThatIsNotKeptIsUnknown(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	s.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 3<<20)) }
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	for number := range uint64(3) {
		assert.Equal(t, o.Call(call("one", "/", "a", route.Unrepeatable, number)).Outcome, message.Ran)
	}
	assert.Equal(t, o.Resume(resumption(0)).Outcome, message.Unknown)
	assert.Equal(t, o.Resume(resumption(2)).Outcome, message.Ran)
}
