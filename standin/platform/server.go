package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// eraHeader is the header of each answer with the era of the store.
	eraHeader = "Store-Era"
	// firstEra is the era of a store that was never restored.
	firstEra = 1
)

// MaximumRequestSize is the largest size of the body of a request in bytes.
const MaximumRequestSize = 16 << 20

// Server is the HTTP handler of the stand-in. Its exported fields are set before it serves; the zero value has no
// limits.
type Server struct {
	// WritesPerSecond is the limit of all write calls together; 0 means no limit.
	WritesPerSecond float64
	// ReadsPerSecond is the limit of all read calls together; 0 means no limit.
	ReadsPerSecond float64
	// PartWritesPerSecond is the limit of the transactions that write to one part; 0 means no limit.
	PartWritesPerSecond float64

	// once runs initialise before the first use.
	once sync.Once
	// mu guards rows, objects, era, saved and partLimits.
	mu      sync.Mutex
	rows    rows
	objects objects
	// era is raised by Restore; it is in the head of each answer.
	era uint64
	// saved is the copy that a call has taken, or nil.
	saved       *Copy
	faults      faults
	connections connections
	writeLimit  *rate.Limiter
	readLimit   *rate.Limiter
	// partLimits holds the limiter of each part that was written.
	partLimits map[string]*rate.Limiter
	writeCalls atomic.Int64
	readCalls  atomic.Int64
	waiting    waitingCalls
}

// Counts are the numbers of calls since the start. They include calls that were refused because of a limit of the
// store, but not calls that a fault refused.
type Counts struct {
	// Writes is the number of calls with a method other than GET.
	Writes int64 `json:"writes"`
	// Reads is the number of calls with the method GET.
	Reads int64 `json:"reads"`
}

// Counts returns the numbers of calls until now.
func (s *Server) Counts() Counts {
	return Counts{Writes: s.writeCalls.Load(), Reads: s.readCalls.Load()}
}

// Compact removes the history of changes. A feed from an earlier version then gets status 410, and its client has to
// list the table again.
func (s *Server) Compact() {
	s.once.Do(s.initialise)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.compact()
}

// PutAsOperator writes a row, also in the tables that only the operator and the backend servers may write.
func (s *Server) PutAsOperator(table, key string, value []byte) {
	s.once.Do(s.initialise)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

func (s *Server) initialise() {
	s.rows = newRows()
	s.objects = objects{}
	s.era = firstEra
	s.writeLimit = newLimiter(s.WritesPerSecond)
	s.readLimit = newLimiter(s.ReadsPerSecond)
	s.partLimits = map[string]*rate.Limiter{}
}

// newLimiter returns a limiter whose burst is one more than the calls of one second, or a limiter that permits all
// calls if the rate is not above 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// ServeHTTP implements http.Handler. It serves the calls of the store, and under /standin/ the calls that set a fault,
// take and restore a copy, and return the counts.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.initialise)
	switch {
	case r.URL.Path == "/standin/fault" && r.Method == http.MethodPost:
		s.serveFault(w, r)
	case r.URL.Path == "/standin/copy" && r.Method == http.MethodPost:
		s.serveCopy(w)
	case r.URL.Path == "/standin/restore" && r.Method == http.MethodPost:
		s.serveRestore(w)
	case r.URL.Path == "/standin/counts":
		newAnswer(s.Counts()).write(w)
	default:
		s.serveCall(w, r)
	}
}

// serveCall answers a call of the store, and applies the active fault if it is for this call.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaximumRequestSize))
	if err != nil {
		s.refuse(w, http.StatusRequestEntityTooLarge)
		return
	}
	isWrite := r.Method != http.MethodGet
	fault := s.faults.forCall(callerAddress(r), isWrite, strings.HasPrefix(r.URL.Path, "/blob-get/"))
	if status := fault.refusalStatus(); status != 0 {
		s.refuse(w, status)
		return
	}
	if !s.allowCall(isWrite) {
		s.refuse(w, http.StatusTooManyRequests)
		return
	}
	switch fault.Mode {
	case ModeSlow:
		time.Sleep(fault.Delay)
	case ModeReset:
		panic(http.ErrAbortHandler)
	case ModeSilent, ModeHeadOnly:
		leaveUnanswered(w, r, fault.Mode)
	case ModeDelayedWrite:
		time.AfterFunc(fault.Delay, func() { s.dispatch(r, body) })
		panic(http.ErrAbortHandler)
	}
	a := s.dispatch(r, body)
	if fault.Mode == ModeLostAnswer {
		panic(http.ErrAbortHandler)
	}
	if silence := s.silence(r); silence != ModeNone {
		leaveUnanswered(w, r, silence)
	}
	if fault.Mode == ModeTruncated {
		a.body = a.body[:len(a.body)/2]
	}
	a.write(w)
}

// refuse answers a call that has no effect.
func (s *Server) refuse(w http.ResponseWriter, status int) {
	s.mu.Lock()
	a := answer{status: status, era: s.era}
	s.mu.Unlock()
	a.write(w)
}

// callerAddress returns the IP address from which a call came.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// allowCall counts a call and reports whether the limit of the store permits it.
func (s *Server) allowCall(isWrite bool) bool {
	if isWrite {
		s.writeCalls.Add(1)
		return s.writeLimit.Allow()
	}
	s.readCalls.Add(1)
	return s.readLimit.Allow()
}

// dispatch performs a call by its method and path, and returns status 404 for an unknown one.
func (s *Server) dispatch(r *http.Request, body []byte) answer {
	query := r.URL.Query()
	call, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if call == "rows-feed" && r.Method == http.MethodGet {
		return s.feed(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.perform(r, call, name, query, body)
	a.era = s.era
	return a
}

// perform performs a call that does not wait; s.mu is held.
func (s *Server) perform(r *http.Request, call, name string, query url.Values, body []byte) answer {
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

// transact performs the transaction in a body; s.mu is held.
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
	current, ok := s.rows.apply(t)
	if !ok {
		a := newAnswer(conflict{Rows: current})
		a.status = http.StatusPreconditionFailed
		return a
	}
	return newAnswer(s.rows.page(nil))
}

// allowPart reports whether the limit of the part permits a transaction that writes or deletes rows. A transaction over
// several parts counts for the part of its first write, or of its first delete if it writes nothing.
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
	l, ok := s.partLimits[part]
	if !ok {
		l = newLimiter(s.PartWritesPerSecond)
		s.partLimits[part] = l
	}
	return l.Allow()
}

// hasTooManyTables reports whether the store would have too many tables after the writes of a transaction.
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

// answer is the HTTP answer to a call.
type answer struct {
	status      int
	body        []byte
	contentType string
	// era is that of the store when it performed the call.
	era uint64
}

// newAnswer returns an answer with status 200 and the content as JSON.
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
	if a.era > 0 {
		w.Header().Set(eraHeader, strconv.FormatUint(a.era, 10))
	}
	w.WriteHeader(a.status)
	// The error is ignored: a caller that closed the connection needs no answer.
	_, _ = w.Write(a.body)
}
