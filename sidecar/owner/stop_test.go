package owner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
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

// A process with little processor time may pass a request on after its deadline. It is refused as not run, since an unsafe
// one that was sent would have to get 504, and its client could not retry it.
func TestACallWhoseDeadlineHasPassedIsNotSent(t *testing.T) {
	s := newServer(t)
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	granted := call("granted", "/", "a", route.Unrepeatable, 1)
	granted.Ticket = o.Reserve(granted.Job).Ticket
	for _, c := range []message.Call{granted, call("direct", "/", "a", route.Unrepeatable, 2)} {
		c.Job.Deadline = 0
		reply := o.Call(c)
		assert.Equal(t, reply.Outcome, message.NotRun)
		assert.Equal(t, reply.Reason, owner.ReasonDeadlinePassed)
		assert.Equal(t, reply.Load.Running, 0, "the slot is free again")
	}
	assert.Equal(t, s.runs.Load(), int32(0))
}

// A daemon that ends must not drop an answer that it had no processor time to read: the request has run, and its client
// would get a failure in place of the answer.
func TestCallsThatExpireReturnTheAnswersThatHaveArrived(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string
		outcome message.Outcome
	}{
		{"whole", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 4\r\n\r\nbody", message.Ran},
		{"a part", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 4\r\n\r\nbod", message.Unknown},
		{"none", "", message.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			o := newOwner(t)
			o.Announce(member.Server{ID: "a", Service: "desk", Address: l.Addr().String(), Slots: 1, State: member.Ready, Born: 10, Sequence: 5})
			replies := make(chan message.Reply, 1)
			go func() { replies <- o.Call(call("one", "/", "a", route.Unrepeatable, 1)) }()
			server, err := l.Accept()
			assert.NilError(t, err)
			defer server.Close()
			_, err = http.ReadRequest(bufio.NewReader(server))
			assert.NilError(t, err)
			// With one processor the owner does not run between the write and the end of the call.
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			_, err = io.WriteString(server, c.answer)
			assert.NilError(t, err)
			o.Expire()
			reply := <-replies
			assert.Equal(t, reply.Outcome, c.outcome)
			assert.Equal(t, reply.IsExpired, c.outcome == message.Unknown)
		})
	}
}
