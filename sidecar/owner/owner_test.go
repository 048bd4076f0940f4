package owner_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/platform/dialect"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/route"
	"siskinspar.example/sidecar/slot"
)

// server is a backend server that counts its requests. It answers those to /wait once release is closed, and reports on
// disconnected when their connection ends before. The answer function replaces all this if it is set.
type server struct {
	*httptest.Server
	runs         atomic.Int32
	started      chan string
	release      chan struct{}
	disconnected chan struct{}
	answer       http.HandlerFunc
}

func newServer(t *testing.T) *server {
	t.Helper()
	s := &server{started: make(chan string, 16), release: make(chan struct{}), disconnected: make(chan struct{}, 16)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if s.answer != nil {
			s.answer(w, r)
			return
		}
		s.runs.Add(1)
		s.started <- r.Header.Get("Request-Id")
		if r.URL.Path == "/wait" {
			select {
			case <-s.release:
			case <-r.Context().Done():
				s.disconnected <- struct{}{}
			}
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return s
}

func newOwner(t *testing.T) *owner.Owner {
	t.Helper()
	o := &owner.Owner{
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Headers: dialect.Headers{},
		MaximumConnections: func(string) int { return 10 }, OnChange: func() {}, OnDial: func() {},
	}
	o.Run()
	t.Cleanup(o.Stop)
	return o
}

// announcement returns an announcement of an incarnation that started at born, in milliseconds, of a server with one
// slot.
func announcement(s *server, id string, born int64, sequence uint64, state member.State) member.Server {
	return member.Server{ID: id, Service: "desk", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 1, State: state, Born: born, Sequence: sequence}
}

// call returns a call without a granted slot, as the entry daemon e would send it.
func call(id, path, serverID string, kind route.Kind, number uint64) message.Call {
	return message.Call{
		Job:     message.Job{Number: number, Entry: "e", Server: serverID, Route: "r", Kind: kind, Target: time.Minute, Deadline: time.Minute, Share: 1},
		Request: message.Request{ID: id, Method: http.MethodGet, Target: path, Host: "a", Header: http.Header{"Request-Id": {id}}, Caller: "desk"},
	}
}

func TestAnnouncementsApplyInOrder(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	for _, c := range []struct {
		name     string
		then     member.Server
		id       string
		state    member.State
		isChange bool
	}{
		{"the next sequence number", announcement(s, "a", 10, 6, member.Draining), "a", member.Draining, true},
		{"an earlier sequence number", announcement(s, "a", 10, 4, member.Ready), "a", member.Ready, false},
		{"a drain with an earlier sequence number", announcement(s, "a", 10, 4, member.Draining), "a", member.Draining, true},
		{"the same sequence number", announcement(s, "a", 10, 5, member.Ready), "a", member.Ready, false},
		{"an earlier incarnation", announcement(s, "z", 9, 900, member.Ready), "a", member.Ready, false},
		{"the same ID after a restart", announcement(s, "a", 11, 1, member.Ready), "a", member.Ready, true},
		{"another backend server", announcement(s, "b", 12, 1, member.Ready), "b", member.Ready, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t)
			assert.Assert(t, o.Announce(announcement(s, "a", 10, 5, member.Ready)))
			assert.Equal(t, o.Announce(c.then), c.isChange)
			found, _ := o.Server()
			assert.Equal(t, found.ID, c.id)
			assert.Equal(t, found.State, c.state)
		})
	}
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, drain := range []func(o *owner.Owner, s *server){
		func(o *owner.Owner, s *server) { o.Announce(announcement(s, "a", 10, 6, member.Draining)) },
		func(o *owner.Owner, _ *server) { o.Drain("a") },
	} {
		s := newServer(t)
		o := newOwner(t)
		o.Announce(announcement(s, "a", 10, 5, member.Ready))
		running := make(chan message.Reply, 1)
		go func() { running <- o.Call(call("one", "/wait", "a", route.Idempotent, 1)) }()
		<-s.started
		waiting := make(chan message.Grant, 1)
		go func() { waiting <- o.Reserve(call("two", "/", "a", route.Idempotent, 2).Job) }()
		for _, l := o.Server(); l.Waiting == 0; _, l = o.Server() {
			time.Sleep(time.Millisecond)
		}
		drain(o, s)
		assert.Equal(t, (<-waiting).Reason, string(slot.ReasonDraining))
		reply := o.Call(call("three", "/", "a", route.Idempotent, 3))
		assert.Equal(t, reply.Outcome, message.NotRun)
		assert.Assert(t, !o.Announce(announcement(s, "a", 10, 7, member.Ready)), "a draining incarnation does not become ready again")
		close(s.release)
		assert.Equal(t, (<-running).Outcome, message.Ran, "a running request is completed")
		assert.Equal(t, s.runs.Load(), int32(1))
		s.Close()
	}
}

func TestReportedDrainAppliesAfterRestart(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	draining := announcement(s, "a", 10, 6, member.Draining)
	for _, c := range []struct {
		name  string
		then  []func(o *owner.Owner)
		state member.State
	}{
		{"drain reported before a late announcement", []func(o *owner.Owner){
			func(o *owner.Owner) { o.RecordDrain(draining) },
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 10, 5, member.Ready)) },
		}, member.Draining},
		{"drain reported after the announcement", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 10, 5, member.Ready)) },
			func(o *owner.Owner) { o.RecordDrain(draining) },
		}, member.Draining},
		{"the same ID after a restart", []func(o *owner.Owner){
			func(o *owner.Owner) { o.RecordDrain(draining) },
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 11, 1, member.Ready)) },
		}, member.Ready},
		{"drain before its announcement arrived", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Drain("a") },
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 10, 5, member.Ready)) },
		}, member.Draining},
		{"the same ID started after it drained", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Drain("a") },
			func(o *owner.Owner) {
				o.Announce(announcement(s, "a", time.Now().Add(time.Second).UnixMilli(), 1, member.Ready))
			},
		}, member.Ready},
		{"drain of an earlier incarnation reported", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 11, 1, member.Ready)) },
			func(o *owner.Owner) { o.RecordDrain(draining) },
		}, member.Ready},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t)
			for _, step := range c.then {
				step(o)
			}
			found, _ := o.Server()
			assert.Equal(t, found.State, c.state)
			reply := o.Call(call("one", "/", "a", route.Idempotent, 1))
			assert.Equal(t, reply.Outcome == message.Ran, c.state == member.Ready)
		})
	}
}

func TestARequestForAnotherServerDoesNotRun(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	reply := o.Call(call("one", "/", "a", route.Idempotent, 1))
	assert.Equal(t, reply.Outcome, message.NotRun, "no server yet")
	o.Announce(announcement(s, "b", 10, 1, member.Ready))
	reply = o.Call(call("one", "/", "a", route.Idempotent, 1))
	assert.Equal(t, reply.Outcome, message.NotRun)
	assert.Equal(t, o.Reserve(call("one", "/", "a", route.Idempotent, 1).Job).Ticket, uint64(0))
	assert.Equal(t, s.runs.Load(), int32(0))
}

func TestOutcomeOfACall(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  http.HandlerFunc
		outcome message.Outcome
		status  int
	}{
		{"success", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) }, message.Ran, http.StatusCreated},
		{"status 500", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, message.Ran, http.StatusInternalServerError},
		{"status 503 without Not-Executed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, message.Ran, http.StatusServiceUnavailable},
		{"status 503 with Not-Executed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, message.NotRun, http.StatusServiceUnavailable},
		{"status 421, another server at the address", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, message.NotRun, http.StatusMisdirectedRequest},
		{"connection ended", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, message.Unknown, 0},
		{"body cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		}, message.Unknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			defer s.Close()
			s.answer = c.answer
			o := newOwner(t)
			o.Announce(announcement(s, "a", 10, 1, member.Ready))
			reply := o.Call(call("one", "/", "a", route.Unrepeatable, 1))
			assert.Equal(t, reply.Outcome, c.outcome, reply.Reason)
			assert.Equal(t, reply.Answer.Status, c.status)
			assert.Equal(t, reply.Load.Running, 0, "the slot is free again")
		})
	}
}

func TestWithdrawCancelsOnlyRepeatableCalls(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.Unrepeatable} {
		s := newServer(t)
		o := newOwner(t)
		o.Announce(announcement(s, "a", 10, 1, member.Ready))
		done := make(chan message.Reply, 1)
		go func() { done <- o.Call(call("one", "/wait", "a", kind, 1)) }()
		<-s.started
		o.Withdraw(message.Withdrawal{Entry: "e", Number: 1})
		if kind.IsRepeatable() {
			assert.Equal(t, (<-done).Outcome, message.Unknown)
			<-s.disconnected
		} else {
			close(s.release)
			assert.Equal(t, (<-done).Outcome, message.Ran)
		}
		s.Close()
	}
}

func TestGrantedSlotIsClaimedOnceOrReleased(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 1, member.Ready))
	first := call("one", "/", "a", route.Idempotent, 1)
	grant := o.Reserve(first.Job)
	assert.Assert(t, grant.Ticket != 0)
	assert.Equal(t, o.Call(call("two", "/", "a", route.Idempotent, 2)).Outcome, message.NotRun, "the slot is granted to another call")
	first.Ticket = grant.Ticket
	assert.Equal(t, o.Call(first).Outcome, message.Ran)
	assert.Equal(t, o.Call(first).Outcome, message.NotRun, "a ticket is valid for one call")
	grant = o.Reserve(call("three", "/", "a", route.Idempotent, 3).Job)
	o.Withdraw(message.Withdrawal{Entry: "e", Number: 3})
	assert.Equal(t, o.Call(call("four", "/", "a", route.Idempotent, 4)).Outcome, message.Ran, "a withdrawn reservation frees its slot")
	assert.Assert(t, grant.Ticket != 0)
}

func TestCrashIsDistinguishedFromBrokenConnection(t *testing.T) {
	for _, isCrash := range []bool{true, false} {
		s := newServer(t)
		o := newOwner(t)
		o.Announce(announcement(s, "a", 10, 1, member.Ready))
		done := make(chan message.Reply, 1)
		go func() { done <- o.Call(call("one", "/wait", "a", route.Unrepeatable, 1)) }()
		<-s.started
		if isCrash {
			assert.NilError(t, s.Listener.Close())
		}
		s.CloseClientConnections()
		reply := <-done
		assert.Equal(t, reply.Outcome, message.Unknown)
		assert.Equal(t, reply.IsCrash, isCrash)
		close(s.release)
		s.Close()
	}
}

func TestRequestsBeyondTheSlotsWaitAtTheServer(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.ExtraRequests = 1
	o.Announce(announcement(s, "a", 10, 1, member.Ready))
	ended := make(chan message.Reply, 2)
	for i := range uint64(2) {
		go func() { ended <- o.Call(call("x", "/wait", "a", route.Idempotent, i)) }()
		<-s.started
	}
	reply := o.Call(call("y", "/wait", "a", route.Idempotent, 2))
	assert.Equal(t, reply.Outcome, message.NotRun)
	assert.Equal(t, reply.Reason, string(slot.ReasonBusy))
	close(s.release)
	for range 2 {
		assert.Equal(t, (<-ended).Outcome, message.Ran)
	}
}

func TestFailedCallsDontChangeTheServiceTime(t *testing.T) {
	const failureTime = 200 * time.Millisecond
	s := newServer(t)
	defer s.Close()
	release := sync.OnceFunc(func() { close(s.release) })
	defer release()
	s.answer = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.started <- ""
			<-s.release
			return
		}
		time.Sleep(failureTime)
		w.WriteHeader(http.StatusInternalServerError)
	}
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 1, member.Ready))
	for i := range uint64(3) {
		reply := o.Call(call("x", "/", "a", route.Idempotent, i))
		assert.Equal(t, reply.Answer.Status, http.StatusInternalServerError)
	}
	running := make(chan message.Reply, 1)
	go func() { running <- o.Call(call("y", "/wait", "a", route.Idempotent, 10)) }()
	<-s.started
	// If the failures had raised the mean service time, the queue would be expected to take longer than the time left.
	j := call("z", "/", "a", route.Idempotent, 11).Job
	j.Target, j.Deadline = 250*time.Millisecond, 260*time.Millisecond
	waiting := make(chan message.Grant, 1)
	go func() { waiting <- o.Reserve(j) }()
	assert.Assert(t, (<-waiting).Reason != string(slot.ReasonWaitTooLong))
	release()
	assert.Equal(t, (<-running).Outcome, message.Ran)
}
