package sidecar

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/platform/dialect"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/route"
)

// newLocalOwners returns the owners of a daemon whose backend server listens at an address.
func newLocalOwners(t *testing.T, server string) *owners {
	t.Helper()
	o := &owner.Owner{
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Headers: dialect.Headers{},
		MaximumConnections: func(string) int { return 0 }, OnChange: func() {}, OnDial: func() {},
	}
	o.Run()
	t.Cleanup(o.Stop)
	o.Announce(member.Server{ID: "a", Service: "desk", Address: server, Slots: 1, State: member.Ready, Born: 1, Sequence: 1})
	return &owners{address: "here", local: o}
}

// localCall returns an unsafe call with a deadline.
func localCall(number uint64, deadline time.Duration) *message.Call {
	return &message.Call{
		Job:     message.Job{Number: number, Entry: "here", Server: "a", Route: "r", Kind: route.Unrepeatable, Target: time.Minute, Deadline: deadline, Share: 1},
		Request: message.Request{ID: "one", Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{"Request-Id": {"one"}}, Caller: "desk"},
	}
}

// acceptRequest accepts a connection and reads a request.
func acceptRequest(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = http.ReadRequest(bufio.NewReader(c))
	assert.NilError(t, err)
	return c
}

// A process with little processor time may find that the deadline of a request has passed at the entry before the owner
// in the same process has read an answer that came in time; its client must not get 504 in place of the answer.
func TestAnAnswerThatLiesUnreadAtTheDeadlineOfALocalCallIsReturned(t *testing.T) {
	const deadline = 60 * time.Millisecond
	const attempts = 20
	// With one processor the owner does not run between the write and the deadline.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	checked := 0
	for attempt := range attempts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		o := newLocalOwners(t, l.Addr().String())
		began := time.Now()
		// The deadline of the entry passes after that of the owner, but is noticed at the same time.
		ctx, cancel := context.WithDeadline(t.Context(), began.Add(deadline+time.Millisecond))
		var reply message.Reply
		var callErr error
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			reply, _, callErr = o.Call(ctx, "here", localCall(uint64(attempt+1), deadline))
		}()
		c := acceptRequest(t, l)
		_ = l.Close()
		time.Sleep(time.Until(began.Add(deadline - 5*time.Millisecond)))
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		isInTime := time.Since(began) < deadline
		for time.Since(began) < deadline+2*time.Millisecond {
			// The processor is not given back, as if the process did not run.
			continue
		}
		<-ended
		cancel()
		if !isInTime {
			continue
		}
		checked++
		assert.NilError(t, callErr)
		assert.Equal(t, reply.Outcome, message.Ran)
	}
	assert.Assert(t, checked > 0, "no answer was written in time in %d attempts", attempts)
}
