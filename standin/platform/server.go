package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// MaximumRequestSize bounds one request in bytes.
const MaximumRequestSize = 16 << 20

// Server is the stand-in for the platform's store; its exported fields are set before it serves.
type Server struct {
	// WritesPerSecond and ReadsPerSecond are the limits of the store; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// PartWritesPerSecond is the limit of one part; 0 means no limit.
	PartWritesPerSecond float64

	once    sync.Once
	mu      sync.Mutex
	rows    rows
	objects objects
	faults  faults
	writes  *rate.Limiter
	reads   *rate.Limiter
	parts   map[string]*rate.Limiter
	written atomic.Int64
	read    atomic.Int64
}

// Counts are the calls served since the start.
type Counts struct {
	Writes int64 `json:"writes"`
	Reads  int64 `json:"reads"`
}

// Counts returns the number of write and read calls.
func (s *Server) Counts() Counts {
	return Counts{Writes: s.written.Load(), Reads: s.read.Load()}
}

// Compact drops the history, so that followers have to read the tables again.
func (s *Server) Compact() {
	s.once.Do(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.compact()
}

// PutAsOperator writes a row of a table that only the operator and the servers write.
func (s *Server) PutAsOperator(table, key string, value []byte) {
	s.once.Do(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

func (s *Server) start() {
	s.rows = newRows()
	s.objects = objects{}
	s.writes = newLimiter(s.WritesPerSecond)
	s.reads = newLimiter(s.ReadsPerSecond)
	s.parts = map[string]*rate.Limiter{}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// ServeHTTP answers the calls of the store, and the control calls below /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.start)
	switch {
	case r.URL.Path == "/standin/fault" && r.Method == http.MethodPost:
		s.serveFault(w, r)
	case r.URL.Path == "/standin/counts":
		newAnswer(s.Counts()).write(w)
	default:
		s.serveCall(w, r)
	}
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaximumRequestSize))
	if err != nil {
		answer{status: http.StatusRequestEntityTooLarge}.write(w)
		return
	}
	isWrite := r.Method != http.MethodGet
	fault := s.faults.take(callerOf(r), isWrite, strings.HasPrefix(r.URL.Path, "/blob-get/"))
	if status := fault.status(); status != 0 {
		answer{status: status}.write(w)
		return
	}
	if !s.count(isWrite) {
		answer{status: http.StatusTooManyRequests}.write(w)
		return
	}
	switch fault.Mode {
	case ModeSlow:
		time.Sleep(fault.Delay)
	case ModeReset:
		panic(http.ErrAbortHandler)
	case ModeLate:
		time.AfterFunc(fault.Delay, func() { s.perform(r, body) })
		panic(http.ErrAbortHandler)
	}
	answer := s.perform(r, body)
	if fault.Mode == ModeLostAnswer {
		panic(http.ErrAbortHandler)
	}
	if fault.Mode == ModeTorn {
		answer.body = answer.body[:len(answer.body)/2]
	}
	answer.write(w)
}

func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (s *Server) count(isWrite bool) bool {
	if isWrite {
		s.written.Add(1)
		return s.writes.Allow()
	}
	s.read.Add(1)
	return s.reads.Allow()
}

// perform answers one call.
func (s *Server) perform(r *http.Request, body []byte) answer {
	query := r.URL.Query()
	call, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if call == "rows-feed" && r.Method == http.MethodGet {
		return s.feed(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method + " " + call {
	case "POST rows-tx":
		return s.transact(body)
	case "GET rows-get":
		return newAnswer(s.rows.list(query))
	case "GET rows-parts":
		return newAnswer(s.rows.parts(query))
	case "PUT blob-put":
		return s.objects.put(name, body, r.Header.Get("If-None-Match") == "*")
	case "GET blob-get":
		return s.objects.get(name)
	case "DELETE blob-drop":
		return s.objects.drop(name)
	case "GET blob-list":
		return newAnswer(s.objects.list(query))
	}
	return answer{status: http.StatusNotFound}
}

// transact performs a transaction; the lock is held.
func (s *Server) transact(body []byte) answer {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return answer{status: http.StatusBadRequest, body: []byte(err.Error())}
	}
	if status := t.check(false); status != 0 {
		return answer{status: status}
	}
	if !s.allowPart(t) || s.hasTooManyTables(t) {
		return answer{status: http.StatusTooManyRequests}
	}
	met, ok := s.rows.apply(t)
	if !ok {
		a := newAnswer(conflict{Rows: met})
		a.status = http.StatusPreconditionFailed
		return a
	}
	return newAnswer(s.rows.page(nil))
}

func (s *Server) allowPart(t transaction) bool {
	if len(t.Writes)+len(t.Deletes) == 0 {
		return true
	}
	var part string
	if len(t.Writes) > 0 {
		part = t.Writes[0].Part
	} else {
		part = t.Deletes[0].Part
	}
	l, ok := s.parts[part]
	if !ok {
		l = newLimiter(s.PartWritesPerSecond)
		s.parts[part] = l
	}
	return l.Allow()
}

func (s *Server) hasTooManyTables(t transaction) bool {
	tables := map[string]bool{}
	for p := range s.rows.stored {
		tables[p.table] = true
	}
	for _, w := range t.Writes {
		tables[w.Table] = true
	}
	return len(tables) > maximumTables
}

// feed waits for changes of a table.
func (s *Server) feed(r *http.Request) answer {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return answer{status: http.StatusBadRequest}
	}
	wait := time.Duration(count(query.Get("waitMs"), int(longestWait.Milliseconds()))) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, ok := s.rows.changes(query.Get("table"), after)
		changed := s.rows.changed
		s.mu.Unlock()
		if !ok {
			return answer{status: http.StatusGone}
		}
		if len(p.Rows) > 0 {
			return newAnswer(p)
		}
		select {
		case <-changed:
		case <-timer.C:
			return newAnswer(p)
		case <-r.Context().Done():
			return newAnswer(p)
		}
	}
}

type answer struct {
	status      int
	body        []byte
	contentType string
}

func newAnswer(content any) answer {
	body, err := json.Marshal(content)
	if err != nil {
		return answer{status: http.StatusInternalServerError}
	}
	return answer{status: http.StatusOK, body: body, contentType: "application/json"}
}

func (a answer) write(w http.ResponseWriter) {
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	w.WriteHeader(a.status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(a.body)
}
