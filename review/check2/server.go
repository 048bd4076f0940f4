package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a server began to run.
type run struct {
	server, id, method, target, caller string
	body                               int
	at                                 time.Time
}

// server is a backend server beside a daemon, as the page PROTOCOL describes it. Its first fields are set before start.
type server struct {
	id    string
	slots int
	// work is how long a request runs, by its target.
	work func(target string) time.Duration
	// answer returns the body of an answer.
	answer func(id, target string) []byte
	// losesAnswer reports whether the answer of a run is lost, and crashes whether the run crashes the server.
	losesAnswer func(target string) bool
	crashes     func(target string) bool
	// isQuiet leaves the runs out of the record.
	isQuiet bool

	machine *machine
	service string

	mu       sync.Mutex
	running  int
	runs     []run
	born     int64
	sequence int
	state    string
	http     *http.Server
	isUp     bool
	stopBeat chan struct{}
}

// heartbeatPeriod is heartbeatS of the settings.
const heartbeatPeriod = 1500 * time.Millisecond

// start starts the server and its heartbeats.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.machine.address(portServer))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born = time.Now().UnixMilli()
	s.state = "ready"
	s.sequence = 0
	s.isUp = true
	s.http = &http.Server{Handler: s}
	s.stopBeat = make(chan struct{})
	stop, h := s.stopBeat, s.http
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	go s.beat(stop)
	s.machine.fleet.record.line("server %s of %s on %s started", s.id, s.service, s.machine.name)
	return nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.mu.Lock()
	if !s.isUp {
		s.mu.Unlock()
		return
	}
	s.isUp = false
	close(s.stopBeat)
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	s.machine.fleet.record.line("server %s ended", s.id)
}

func (s *server) beat(stop <-chan struct{}) {
	for {
		_ = s.announce()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// announce sends a heartbeat.
func (s *server) announce() error {
	s.mu.Lock()
	s.sequence++
	body := map[string]any{
		"address": s.machine.address(portServer), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.machine.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "coldRemainingS": 0},
	}
	s.mu.Unlock()
	return call(s.machine.address(portControl), "instances.heartbeat", s.id, body)
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", s.id)
	s.mu.Lock()
	if s.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !s.acquire() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	q := run{server: s.id, id: id, method: r.Method, target: r.RequestURI, caller: r.Header.Get("Caller-Service"), body: int(body), at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, q)
	s.mu.Unlock()
	record := s.machine.fleet.record
	if !s.isQuiet {
		record.line("server %s runs %s: %s %s, body of %d bytes", s.id, id, r.Method, r.RequestURI, body)
	}
	if s.crashes != nil && s.crashes(r.RequestURI) {
		go s.crash()
		time.Sleep(time.Second)
		return
	}
	if s.work != nil && !s.simulate(r, s.work(r.RequestURI)) {
		return
	}
	if s.losesAnswer != nil && s.losesAnswer(r.RequestURI) {
		record.line("server %s loses the answer to %s", s.id, id)
		panic(http.ErrAbortHandler)
	}
	content := []byte("answer to " + id)
	if s.answer != nil {
		content = s.answer(id, r.RequestURI)
	}
	w.Header().Set("Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

// simulate works for a time, at most until the deadline, and reports false if the connection closes meanwhile.
func (s *server) simulate(r *http.Request, work time.Duration) bool {
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		work = min(work, time.Duration(left)*time.Millisecond)
	}
	select {
	case <-time.After(work):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots+2 {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// allRuns returns the runs of all servers.
func (f *fleet) allRuns() []run {
	var all []run
	for _, m := range f.machines {
		m.server.mu.Lock()
		all = append(all, m.server.runs...)
		m.server.mu.Unlock()
	}
	return all
}

// newServer returns a server with an ID that no other has.
func newServer(slots int, work time.Duration) *server {
	serverCount++
	return &server{id: fmt.Sprintf("i-%04d", serverCount), slots: slots, work: func(string) time.Duration { return work }}
}

var serverCount int
