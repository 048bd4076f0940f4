package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"siskinspar.example/request/outcome"
)

// The headers and query parameters of the stand-in.
const (
	// HeaderID identifies a request; the answer repeats it.
	HeaderID = "X-Request-Id"
	// HeaderChecksum holds the SHA-256 of the answer's body.
	HeaderChecksum = "X-Checksum"
	// HeaderReceived holds the SHA-256 of the request's body.
	HeaderReceived = "X-Received-Checksum"
	// HeaderServer names the backend server that answered.
	HeaderServer = "X-Server"
	// HeaderCrash makes the backend server crash when it gets the request.
	HeaderCrash = "X-Crash"
	// ParameterWork is the service time, such as 20ms.
	ParameterWork = "work"
	// ParameterSize is the size of the answer's body in bytes.
	ParameterSize = "size"
)

// MaximumSize bounds the body of an answer in bytes.
const MaximumSize = 256 << 20

// Behaviour can be changed while the server runs.
type Behaviour struct {
	// Slow multiplies every service time; 0 counts as 1.
	Slow float64 `json:"slow"`
	// Stall holds every answer back until it ends.
	Stall time.Duration `json:"stall"`
	// IsShedding refuses every request with status 503.
	IsShedding bool `json:"isShedding"`
	// ReportedLoad is what the load endpoint says, whatever the load.
	ReportedLoad float64 `json:"reportedLoad"`
	// IsQueueing makes requests beyond the slots wait in order of arrival instead of being shed.
	IsQueueing bool `json:"isQueueing"`
	// CutAfter ends the connection after so many bytes of an answer; 0 never does.
	CutAfter int `json:"cutAfter"`
}

// Server is the stand-in; its exported fields are set before it serves.
type Server struct {
	Name string
	// Slots is the number of requests that run at once; further ones are shed.
	Slots int
	// ColdStart is added to the service time at the start and shrinks to nothing over ten times its length.
	ColdStart time.Duration
	// Crash ends the server when a marked request arrives; nil aborts only the connection.
	Crash func()

	mu         sync.Mutex
	started    time.Time
	behaviour  Behaviour
	stalled    time.Time
	running    int
	waiting    []chan struct{}
	highest    int
	executions map[string]int
}

// ServeHTTP answers every path with the request's id and checksum; paths below /standin/ control the stand-in.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/health":
		w.WriteHeader(http.StatusOK)
	case "/standin/load":
		s.serveLoad(w)
	case "/standin/executions":
		_ = json.NewEncoder(w).Encode(s.Executions())
	case "/standin/behaviour":
		s.serveBehaviour(w, r)
	default:
		s.serve(w, r)
	}
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(w, strconv.FormatFloat(s.behaviour.ReportedLoad, 'f', 2, 64))
}

func (s *Server) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<12)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehaviour(b)
}

// SetBehaviour changes how the following requests are served.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
	s.stalled = time.Now().Add(b.Stall)
}

// Executions returns how often each request id was run.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
		counts[id] = n
	}
	return counts
}

// Highest returns the largest number of requests that ran at once.
func (s *Server) Highest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	b, ok := s.begin(r.Context(), r.Header.Get(HeaderID))
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if r.Header.Get(HeaderCrash) != "" {
		if s.Crash != nil {
			s.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	received := sha256.New()
	if _, err := io.Copy(received, r.Body); err != nil {
		return
	}
	if !s.work(r, b) {
		return
	}
	s.answer(w, r, received, b)
}

// begin counts an execution unless the request is shed.
func (s *Server) begin(ctx context.Context, id string) (Behaviour, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		s.started = time.Now()
		s.executions = map[string]int{}
	}
	if s.running >= s.Slots && s.behaviour.IsQueueing && !s.wait(ctx) {
		return s.behaviour, false
	}
	if s.behaviour.IsShedding || s.running >= s.Slots {
		return s.behaviour, false
	}
	s.running++
	s.highest = max(s.highest, s.running)
	if id != "" {
		s.executions[id]++
	}
	return s.behaviour, true
}

// wait gives up the lock until a slot is free for this request, or the request is cancelled.
func (s *Server) wait(ctx context.Context) bool {
	turn := make(chan struct{}, 1)
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		s.mu.Lock()
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(c chan struct{}) bool { return c == turn })
	if len(s.waiting) == before {
		s.wakeNext()
	}
	return false
}

func (s *Server) wakeNext() {
	if len(s.waiting) > 0 {
		s.waiting[0] <- struct{}{}
		s.waiting = s.waiting[1:]
	}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.wakeNext()
}

// work takes the service time; it ends early when the request is cancelled or its deadline passes.
func (s *Server) work(r *http.Request, b Behaviour) bool {
	took, _ := time.ParseDuration(r.URL.Query().Get(ParameterWork))
	if b.Slow > 0 {
		took = time.Duration(float64(took) * b.Slow)
	}
	s.mu.Lock()
	took += s.coldStart() + max(0, time.Until(s.stalled))
	s.mu.Unlock()
	if ms, err := strconv.Atoi(r.Header.Get(outcome.HeaderTimeout)); err == nil && took > time.Duration(ms)*time.Millisecond {
		took = time.Duration(ms) * time.Millisecond
	}
	if took <= 0 {
		return true
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// coldStartSpan is how many times its length a cold start takes to wear off.
const coldStartSpan = 10

func (s *Server) coldStart() time.Duration {
	if s.ColdStart <= 0 {
		return 0
	}
	age := time.Since(s.started)
	return max(0, s.ColdStart-age/coldStartSpan)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, received hash.Hash, b Behaviour) {
	body := s.body(r)
	sum := sha256.Sum256(body)
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	w.Header().Set(HeaderServer, s.Name)
	w.Header().Set(HeaderChecksum, hex.EncodeToString(sum[:]))
	w.Header().Set(HeaderReceived, hex.EncodeToString(received.Sum(nil)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.CutAfter > 0 && b.CutAfter < len(body) {
		_, _ = w.Write(body[:b.CutAfter])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// body is the request's id, repeated up to the size that the request asks for.
func (s *Server) body(r *http.Request) []byte {
	line := r.Header.Get(HeaderID) + " " + s.Name + "\n"
	size, err := strconv.Atoi(r.URL.Query().Get(ParameterSize))
	if err != nil || size <= 0 || size > MaximumSize {
		return []byte(line)
	}
	body := make([]byte, 0, size+len(line))
	for len(body) < size {
		body = append(body, line...)
	}
	return body[:size]
}
