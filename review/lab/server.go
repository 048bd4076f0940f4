package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to run.
type run struct {
	id, service, server, caller string
	method, target              string
	at                          time.Time
}

// server is a stand-in of an application server, as PROTOCOL describes it.
type server struct {
	id      string
	machine *machine
	record  *record
	slots   int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// body returns the body of an answer.
	body func(r *http.Request) []byte
	// crashes reports whether the server crashes when it begins to run the request.
	crashes func(r *http.Request) bool
	// onRun is called when a request begins to run.
	onRun func(x run)
	// onEnd is called when a request was run to its end, or was given up.
	onEnd func(id string, isWhole bool)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	// turns holds one entry for each request that runs.
	turns     chan struct{}
	sequence  int
	born      int64
	isLeaving bool
	stopBeats context.CancelFunc
	isDown    bool
}

// queueLength is the number of requests that a server queues beyond its slots.
const queueLength = 36

// heartbeatPeriod is heartbeatS of the settings.
const heartbeatPeriod = 1500 * time.Millisecond

// start starts a new incarnation of the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.machine.address(portApp))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = l
	s.conns = map[net.Conn]bool{}
	s.running = 0
	s.turns = make(chan struct{}, s.slots)
	s.sequence = 0
	s.isLeaving = false
	s.isDown = false
	s.born = time.Now().UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeats = cancel
	s.mu.Unlock()
	s.record.add("server %s: started, born %d", s.id, s.born)
	go s.accept(l)
	go s.beats(ctx)
	return nil
}

// crash ends the server: its listener and connections close.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return
	}
	s.isDown = true
	s.stopBeats()
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.record.add("server %s: down", s.id)
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.serve(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// serve serves the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		if !s.answer(c, reader, r) {
			return
		}
	}
}

// readRequest reads a request with its body, and takes whatever stands between the method and the protocol for its
// target. The daemon sends bodies with their length.
func readRequest(reader *bufio.Reader) (*http.Request, error) {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, _, _ := strings.Cut(rest, " ")
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	// Without a length there is no body.
	length, _ := strconv.Atoi(header.Get("Content-Length"))
	_, err = io.CopyN(io.Discard, reader, int64(length))
	return &http.Request{Method: method, RequestURI: target, Header: http.Header(header)}, err
}

// answer runs a request and writes the answer; it reports whether the connection goes on.
func (s *server) answer(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	header := http.Header{"Request-Id": {id}, "Keep-Alive": {"timeout=10"}}
	s.mu.Lock()
	isLeaving := s.isLeaving
	isFull := s.running >= s.slots+queueLength
	if !isFull {
		s.running++
	}
	turns := s.turns
	s.mu.Unlock()
	if isLeaving {
		header.Set("Server-Leaving", "1")
	}
	if isFull {
		header.Set("Not-Executed", "1")
		return write(c, http.StatusServiceUnavailable, header, nil)
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		header.Set("Instance-Id", s.id)
		return write(c, http.StatusMisdirectedRequest, header, nil)
	}
	turns <- struct{}{}
	defer func() { <-turns }()
	x := run{id: id, service: s.machine.service, server: s.id, caller: r.Header.Get("Caller-Service"), method: r.Method, target: r.RequestURI, at: time.Now()}
	s.record.addAt(x.at, "server %s: runs %s %s %s", s.id, id, r.Method, r.RequestURI)
	if s.onRun != nil {
		s.onRun(x)
	}
	if s.crashes != nil && s.crashes(r) {
		s.record.add("server %s: crashes on %s", s.id, id)
		s.crash()
		return false
	}
	isInTime, isOpen := s.pass(c, reader, r)
	if !isOpen {
		s.record.add("server %s: gave up %s, its connection has closed", s.id, id)
		if s.onEnd != nil {
			s.onEnd(id, false)
		}
		return false
	}
	if s.onEnd != nil {
		s.onEnd(id, isInTime)
	}
	if !isInTime {
		s.record.add("server %s: the deadline of %s has passed", s.id, id)
		header.Set("Server-Stamp", s.id+"."+id)
		return write(c, http.StatusGatewayTimeout, header, nil)
	}
	header.Set("Server-Stamp", s.id+"."+id)
	var content []byte
	if s.body != nil {
		content = s.body(r)
	} else {
		content = []byte("answer to " + id)
	}
	return write(c, http.StatusOK, header, content)
}

// pass lets the time of a request pass. It reports whether the request was done before its deadline, and whether its
// connection is still open.
func (s *server) pass(c net.Conn, reader *bufio.Reader, r *http.Request) (isInTime, isOpen bool) {
	d := 20 * time.Millisecond
	if s.work != nil {
		d = s.work(r)
	}
	isInTime = true
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && time.Duration(left)*time.Millisecond < d {
		d, isInTime = time.Duration(left)*time.Millisecond, false
	}
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return isInTime, false
	}
	_, err := reader.Peek(1)
	if resetError := c.SetReadDeadline(time.Time{}); resetError != nil {
		return isInTime, false
	}
	if err == nil {
		// The caller sends one request at a time, so nothing is expected here; it is read once the answer is written.
		time.Sleep(d)
		return isInTime, true
	}
	return isInTime, isTimeout(err)
}

// write writes a whole answer with its length.
func write(c net.Conn, status int, header http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// beats sends a heartbeat every heartbeatPeriod until the context ends.
func (s *server) beats(ctx context.Context) {
	for ctx.Err() == nil {
		_ = s.send(s.beat("ready"))
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

// beat returns the body of the next heartbeat.
func (s *server) beat(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	// The fields can all be encoded.
	content, _ := json.Marshal(map[string]any{
		"address": s.machine.address(portApp), "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "coldRemainingS": 0},
	})
	return content
}

// send sends a heartbeat to the daemon of the machine.
func (s *server) send(content []byte) error {
	return s.call("instances.heartbeat", content)
}

// leave sends the deregistration of a server that goes on serving for a while, and returns when it was acknowledged.
func (s *server) leave() (time.Time, error) {
	s.mu.Lock()
	s.isLeaving = true
	s.mu.Unlock()
	s.stopBeats()
	err := s.call("instances.deregister", []byte("{}"))
	return time.Now(), err
}

func (s *server) call(name string, content []byte) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+s.machine.address(portControl)+"/rpc?call="+name+"&of="+s.id, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	if r.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", name, r.StatusCode)
	}
	return nil
}
