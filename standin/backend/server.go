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
	// HeaderID holds the id of a request, which the answer repeats.
	HeaderID = "X-Request-Id"
	// HeaderChecksum holds the SHA-256 of the answer's body in hexadecimal.
	HeaderChecksum = "X-Checksum"
	// HeaderReceived holds the SHA-256 of the request's body, as received, in hexadecimal.
	HeaderReceived = "X-Received-Checksum"
	// HeaderServer holds the name of the backend server that answered.
	HeaderServer = "X-Server"
	// HeaderCrash, if not empty, makes the backend server crash when it gets the request.
	HeaderCrash = "X-Crash"
	// ParameterWork is the query parameter with the processing time, such as 20ms.
	ParameterWork = "work"
	// ParameterSize is the query parameter with the size of the answer's body in bytes.
	ParameterSize = "size"
)

// MaximumSize is the largest size in bytes that ParameterSize may ask for; a larger one is ignored.
const MaximumSize = 256 << 20

// Behaviour sets how the server handles requests; it can be changed while the server runs.
type Behaviour struct {
	// Slow multiplies every processing time; 0 counts as 1.
	Slow float64 `json:"slow"`
	// Stall delays all answers until this time has passed since the behaviour was set; in JSON it is in nanoseconds.
	Stall time.Duration `json:"stall"`
	// IsShedding makes the server answer all requests with status 503.
	IsShedding bool `json:"isShedding"`
	// ReportedLoad is the load that the load endpoint reports, whatever the actual load.
	ReportedLoad float64 `json:"reportedLoad"`
	// IsQueueing makes requests beyond the slots wait in order of arrival instead of being shed.
	IsQueueing bool `json:"isQueueing"`
	// CutAfter closes the connection after so many bytes of a longer answer body; 0 disables it.
	CutAfter int `json:"cutAfter"`
}

// Server is the HTTP handler of the stand-in; its exported fields are set before it serves.
type Server struct {
	// Name is sent in HeaderServer and in the body of each answer.
	Name string
	// Slots is the number of requests that run at once; further ones are shed, or wait if Behaviour.IsQueueing is set.
	Slots int
	// ColdStart is added to the processing time of the first request; the addition falls linearly to zero over ten times
	// this duration.
	ColdStart time.Duration
	// Crash is called when a request with HeaderCrash arrives, to end the process. When it is nil or returns, only the
	// connection is aborted.
	Crash func()

	mu sync.Mutex
	// started is the time of the first request, from which the cold start counts.
	started   time.Time
	behaviour Behaviour
	stallEnd  time.Time
	running   int
	// waiting holds a channel for each queued request, oldest first; a value on it says that a slot is free.
	waiting    []chan struct{}
	maxRunning int
	// executions holds the number of executions by request id.
	executions map[string]int
}

// ServeHTTP answers the paths below /standin/ that inspect and control the stand-in, and runs a request on any other
// path.
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

// SetBehaviour sets the behaviour for the requests that start from now on. A stall also delays the running requests
// that have not yet begun their processing time.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
	s.stallEnd = time.Now().Add(b.Stall)
}

// Executions returns how often each request was run, by request id.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
		counts[id] = n
	}
	return counts
}

// MaxRunning returns the largest number of requests that ran at once so far.
func (s *Server) MaxRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRunning
}

// serve runs one request, or sheds it with status 503.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	b, ok := s.acquireSlot(r.Context(), r.Header.Get(HeaderID))
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
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
	if !s.simulateProcessing(r, b) {
		return
	}
	s.answer(w, r, received, b)
}

// acquireSlot takes a slot and counts an execution; it reports false when the request is shed.
func (s *Server) acquireSlot(ctx context.Context, id string) (Behaviour, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		s.started = time.Now()
		s.executions = map[string]int{}
	}
	if s.running >= s.Slots && s.behaviour.IsQueueing && !s.awaitSlot(ctx) {
		return s.behaviour, false
	}
	if s.behaviour.IsShedding || s.running >= s.Slots {
		return s.behaviour, false
	}
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	if id != "" {
		s.executions[id]++
	}
	return s.behaviour, true
}

// awaitSlot queues the request and reports whether a slot became free for it before it was cancelled. The calling
// method holds s.mu, which awaitSlot releases during the wait.
func (s *Server) awaitSlot(ctx context.Context) bool {
	slotFree := make(chan struct{}, 1)
	s.waiting = append(s.waiting, slotFree)
	s.mu.Unlock()
	select {
	case <-slotFree:
		s.mu.Lock()
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	// A cancelled request that is no longer queued has already been given a slot, which goes to the next one.
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(c chan struct{}) bool { return c == slotFree })
	if len(s.waiting) == before {
		s.wakeNext()
	}
	return false
}

// wakeNext tells the request that has waited longest that a slot is free.
func (s *Server) wakeNext() {
	if len(s.waiting) > 0 {
		s.waiting[0] <- struct{}{}
		s.waiting = s.waiting[1:]
	}
}

// releaseSlot frees the slot of a request and tells the request that has waited longest that it is free.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.wakeNext()
}

// simulateProcessing waits for the processing time, but not beyond the timeout in the header of the request. It
// reports false when the request is cancelled.
func (s *Server) simulateProcessing(r *http.Request, b Behaviour) bool {
	processingTime, _ := time.ParseDuration(r.URL.Query().Get(ParameterWork))
	if b.Slow > 0 {
		processingTime = time.Duration(float64(processingTime) * b.Slow)
	}
	s.mu.Lock()
	processingTime += s.coldStart() + max(0, time.Until(s.stallEnd))
	s.mu.Unlock()
	if ms, err := strconv.Atoi(r.Header.Get(outcome.HeaderTimeout)); err == nil && processingTime > time.Duration(ms)*time.Millisecond {
		processingTime = time.Duration(ms) * time.Millisecond
	}
	if processingTime <= 0 {
		return true
	}
	timer := time.NewTimer(processingTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// coldStartSpan is the time until a cold start has no effect any more, as a multiple of ColdStart.
const coldStartSpan = 10

// coldStart returns the present addition to the processing time.
func (s *Server) coldStart() time.Duration {
	if s.ColdStart <= 0 {
		return 0
	}
	age := time.Since(s.started)
	return max(0, s.ColdStart-age/coldStartSpan)
}

// answer sends the body with its checksums, cut short if the behaviour says so.
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

// body returns one line with the request id and the name of the server, repeated up to the size that the request asks
// for.
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
