package application

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Execution is one request that a server began to run.
type Execution struct {
	// ID is the ID of the request, from the header Request-Id.
	ID string
	// Server is the ID of the server that runs the request.
	Server string
	Method string
	// Target is the request target as received: the path with the query.
	Target string
	Body   string
	// Caller is the service from which the request came, from the header Caller-Service.
	Caller string
	// Header holds the headers of the request; it is shared and must not be changed.
	Header http.Header
	// At is the time at which the server began to run the request.
	At time.Time
}

// Observer is told of each request that a server runs.
type Observer interface {
	// RecordExecution is called when a server begins to run a request; calls may be concurrent.
	RecordExecution(e Execution)
}

// Server is the stand-in; its exported fields are set before Start.
type Server struct {
	// ID identifies the server in heartbeats and answers.
	ID string
	// Service is the name of the service that the server belongs to.
	Service string
	// Address is the IP address and port on which the server listens.
	Address string
	// AdvertisedAddress is the address in the heartbeats, such as that of a proxy; if it is empty, they hold Address.
	AdvertisedAddress string
	// DaemonAddress is the IP address and port at which the daemon receives heartbeats.
	DaemonAddress string
	DataCentre    string
	// Version is the version in the heartbeats; it is v1 if it is empty.
	Version string
	// Slots is the number of requests that run at a time; the server refuses further ones with status 503.
	Slots int
	// ProcessingTime is the time that a request runs; the deadline of the request may end it earlier.
	ProcessingTime time.Duration
	// IgnoresDeadline makes the server run a request for its whole processing time, whatever its deadline.
	IgnoresDeadline bool
	// Heartbeat is the time between two heartbeats.
	Heartbeat time.Duration
	// Observer gets each request that the server begins to run.
	Observer Observer
	// FailEvery makes the server close the connection of each n-th request after its processing time, without an
	// answer; 0 means never.
	FailEvery int
	// OnBreakOff is called with the ID of each request that the server ends without an answer, because of FailEvery or
	// Crash; nil if nobody needs to know.
	OnBreakOff func(id string)

	mu sync.Mutex
	// running is the number of requests that run now.
	running int
	// begun is the number of requests that began to run since the start.
	begun          int
	sequence       uint64
	born           int64
	isCrashed      atomic.Bool
	http           *http.Server
	stopHeartbeats context.CancelFunc
	heartbeatsDone chan struct{}
}

// Start listens on Address and sends heartbeats until Drain or Crash. The error says why Address is not available.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.Address)
	}
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopHeartbeats = cancel
	s.heartbeatsDone = make(chan struct{})
	go func() {
		// The error is ignored, since Crash closes the server on purpose.
		_ = s.http.Serve(l)
	}()
	go s.sendHeartbeats(ctx)
	return nil
}

// Crash stops the heartbeats and closes the listener and all connections without telling the daemon.
func (s *Server) Crash() {
	s.isCrashed.Store(true)
	s.stopHeartbeats()
	// The error is ignored, since the connections are meant to break.
	_ = s.http.Close()
	<-s.heartbeatsDone
}

// Done returns a channel that is closed once the heartbeats have stopped, after Drain or Crash.
func (s *Server) Done() <-chan struct{} { return s.heartbeatsDone }

// ServeHTTP implements http.Handler. It runs a request and answers it, or refuses it before it runs: with status 421 if
// the request expects another server, and with 503 and Not-Executed if all slots are taken.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", s.ID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ordinal, ok := s.acquireSlot()
	if !ok {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.Observer.RecordExecution(Execution{ID: id, Server: s.ID, Method: r.Method, Target: r.RequestURI, Body: string(body), Caller: r.Header.Get("Caller-Service"), Header: r.Header, At: time.Now()})
	isConnected := s.simulateProcessing(r)
	isFailed := s.FailEvery > 0 && ordinal%s.FailEvery == 0
	if (isFailed || s.isCrashed.Load()) && s.OnBreakOff != nil {
		s.OnBreakOff(id)
	}
	if !isConnected {
		return
	}
	if isFailed {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", s.ID+"."+id)
	// The error is ignored: a client that closed the connection needs no answer.
	_, _ = io.WriteString(w, Answer(id, r.RequestURI))
}

// Answer returns the body of a server's answer to the request with an ID and a target.
func Answer(id, target string) string { return "answer to " + id + " for " + target }

// simulateProcessing waits for ProcessingTime, but at most until the deadline of the request, or a minute if the
// request has none. It returns false if the client closed the connection meanwhile.
func (s *Server) simulateProcessing(r *http.Request) bool {
	remaining, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil || remaining <= 0 || s.IgnoresDeadline {
		remaining = int(time.Minute.Milliseconds())
	}
	select {
	case <-time.After(min(s.ProcessingTime, time.Duration(remaining)*time.Millisecond)):
		return true
	case <-r.Context().Done():
		return false
	}
}

// acquireSlot takes a slot and returns the number of the request among those that began to run, from 1. It returns
// false if no slot is free.
func (s *Server) acquireSlot() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		return 0, false
	}
	s.running++
	s.begun++
	return s.begun, true
}

// releaseSlot frees the slot of a request.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
