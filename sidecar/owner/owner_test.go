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

// server is a backend server that counts its requests and holds those to /wait.
type server struct {
	*httptest.Server
	runs    atomic.Int32
	started chan string
	release chan struct{}
	left    chan struct{}
	answer  http.HandlerFunc
}

func newServer(t *testing.T) *server {
	t.Helper()
	s := &server{started: make(chan string, 16), release: make(chan struct{}), left: make(chan struct{}, 16)}
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
				s.left <- struct{}{}
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
		Connections: func(string) int { return 10 }, OnChange: func() {}, OnDial: func() {},
	}
	o.Run()
	t.Cleanup(o.Stop)
	return o
}

func announcement(s *server, id string, born int64, sequence uint64, state member.State) member.Server {
	return member.Server{ID: id, Service: "desk", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 1, State: state, Born: born, Sequence: sequence}
}

func call(id, path, serverID string, kind route.Kind, number uint64) message.Call {
	return message.Call{
		Job:     message.Job{Number: number, Entry: "e", Server: serverID, Route: "r", Kind: kind, Target: time.Minute, Deadline: time.Minute, Share: 1},
		Request: message.Request{ID: id, Method: http.MethodGet, Target: path, Host: "a", Header: http.Header{"Request-Id": {id}}, Caller: "desk"},
	}
}

func TestAnnouncementsAreTakenInTheirOrder(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	for _, c := range []struct {
		name     string
		then     member.Server
		id       string
		state    member.State
		isChange bool
	}{
		{"the next one", announcement(s, "a", 10, 6, member.Draining), "a", member.Draining, true},
		{"a late one", announcement(s, "a", 10, 4, member.Draining), "a", member.Ready, false},
		{"the same again", announcement(s, "a", 10, 5, member.Ready), "a", member.Ready, false},
		{"an earlier incarnation", announcement(s, "z", 9, 900, member.Ready), "a", member.Ready, false},
		{"the same ID started anew", announcement(s, "a", 11, 1, member.Ready), "a", member.Ready, true},
		{"another server", announcement(s, "b", 12, 1, member.Ready), "b", member.Ready, true},
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

func TestAServerThatSaidItLeavesGetsNothingMore(t *testing.T) {
	for _, leave := range []func(o *owner.Owner, s *server){
		func(o *owner.Owner, s *server) { o.Announce(announcement(s, "a", 10, 6, member.Draining)) },
		func(o *owner.Owner, _ *server) { o.Leave("a") },
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
		leave(o, s)
		assert.Equal(t, (<-waiting).Reason, string(slot.ReasonDraining))
		reply := o.Call(call("three", "/", "a", route.Idempotent, 3))
		assert.Equal(t, reply.Outcome, message.NotRun)
		assert.Assert(t, !o.Announce(announcement(s, "a", 10, 7, member.Ready)), "a server that has left does not come back as the same incarnation")
		close(s.release)
		assert.Equal(t, (<-running).Outcome, message.Ran, "what runs is finished")
		assert.Equal(t, s.runs.Load(), int32(1))
		s.Close()
	}
}

func TestWhatOthersKnowOfALeaveBindsAfterARestart(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	left := announcement(s, "a", 10, 6, member.Draining)
	for _, c := range []struct {
		name  string
		then  []func(o *owner.Owner)
		state member.State
	}{
		{"known before a late announcement", []func(o *owner.Owner){
			func(o *owner.Owner) { o.NoteLeft(left) },
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 10, 5, member.Ready)) },
		}, member.Draining},
		{"known after it", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 10, 5, member.Ready)) },
			func(o *owner.Owner) { o.NoteLeft(left) },
		}, member.Draining},
		{"the same ID started anew", []func(o *owner.Owner){
			func(o *owner.Owner) { o.NoteLeft(left) },
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 11, 1, member.Ready)) },
		}, member.Ready},
		{"it left before it announced itself here", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Leave("a") },
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 10, 5, member.Ready)) },
		}, member.Draining},
		{"the same ID started after that", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Leave("a") },
			func(o *owner.Owner) {
				o.Announce(announcement(s, "a", time.Now().Add(time.Second).UnixMilli(), 1, member.Ready))
			},
		}, member.Ready},
		{"old knowledge of an earlier incarnation", []func(o *owner.Owner){
			func(o *owner.Owner) { o.Announce(announcement(s, "a", 11, 1, member.Ready)) },
			func(o *owner.Owner) { o.NoteLeft(left) },
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

func TestWhatIsKnownOfACall(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  http.HandlerFunc
		outcome message.Outcome
		status  int
	}{
		{"success", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) }, message.Ran, http.StatusCreated},
		{"its own failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, message.Ran, http.StatusInternalServerError},
		{"its own 503 without a promise", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, message.Ran, http.StatusServiceUnavailable},
		{"turned away", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, message.NotRun, http.StatusServiceUnavailable},
		{"another server at the address", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, message.NotRun, http.StatusMisdirectedRequest},
		{"connection ended", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, message.Unknown, 0},
		{"body cut", func(w http.ResponseWriter, _ *http.Request) {
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

func TestOnlyARepeatableCallIsGivenUp(t *testing.T) {
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
			<-s.left
		} else {
			close(s.release)
			assert.Equal(t, (<-done).Outcome, message.Ran)
		}
		s.Close()
	}
}

func TestASlotIsGrantedHeldAndGivenBack(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 1, member.Ready))
	first := call("one", "/", "a", route.Idempotent, 1)
	grant := o.Reserve(first.Job)
	assert.Assert(t, grant.Ticket != 0)
	assert.Equal(t, o.Call(call("two", "/", "a", route.Idempotent, 2)).Outcome, message.NotRun, "the slot is held")
	first.Ticket = grant.Ticket
	assert.Equal(t, o.Call(first).Outcome, message.Ran)
	assert.Equal(t, o.Call(first).Outcome, message.NotRun, "a ticket is good for one call")
	grant = o.Reserve(call("three", "/", "a", route.Idempotent, 3).Job)
	o.Withdraw(message.Withdrawal{Entry: "e", Number: 3})
	assert.Equal(t, o.Call(call("four", "/", "a", route.Idempotent, 4)).Outcome, message.Ran, "a slot that was given back is free")
	assert.Assert(t, grant.Ticket != 0)
}

func TestACrashIsToldFromABrokenConnection(t *testing.T) {
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
	o.Queued = 1
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

func TestFailuresTellNothingOfTheTimeOfASuccess(t *testing.T) {
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
	// With the time of the failures the wait and the run would not fit into the time left.
	j := call("z", "/", "a", route.Idempotent, 11).Job
	j.Target, j.Deadline = 250*time.Millisecond, 260*time.Millisecond
	waiting := make(chan message.Grant, 1)
	go func() { waiting <- o.Reserve(j) }()
	assert.Assert(t, (<-waiting).Reason != string(slot.ReasonHopeless))
	release()
	assert.Equal(t, (<-running).Outcome, message.Ran)
}
