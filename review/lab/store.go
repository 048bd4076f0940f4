package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as PROTOCOL describes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
}

// page is the answer to calls that read or write rows.
type page struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Version uint64  `json:"ver"`
	NowS    float64 `json:"nowS"`
}

// connection is the state of one connection to the store.
type connection struct {
	// address is that at which the store has accepted the connection.
	address string
	// isSilent is true once the answer to a call on the connection was lost: it then delivers nothing further. The lock
	// of the store guards it.
	isSilent bool
}

// store is a small stand-in of the platform's store: rows-tx, rows-get and rows-feed.
type store struct {
	record *record

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	// turnedAway holds the addresses at which no call gets an answer.
	turnedAway map[string]bool
	// feeds holds the waiting rows-feed calls.
	feeds  map[*http.Request]feedCall
	server *http.Server
	start  time.Time
}

// feedCall is a waiting rows-feed call: when it came, and at which address.
type feedCall struct {
	start   time.Time
	address string
}

type connectionKey struct{}

// newStore returns a store that listens nowhere yet.
func newStore(r *record) *store {
	s := &store{record: r, rows: map[string]row{}, changed: make(chan struct{}), turnedAway: map[string]bool{}, feeds: map[*http.Request]feedCall{}, start: time.Now()}
	s.server = &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connection{address: c.LocalAddr().String()})
	}}
	return s
}

// listen makes the store listen at an address; each machine has one of its own, so that the store can tell them apart.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		// Serve ends with the process.
		_ = s.server.Serve(l)
	}()
	return nil
}

// turnAway makes the store give no response at some addresses for a time, while it serves the others and the operator.
func (s *store) turnAway(addresses []string, d time.Duration) {
	s.mu.Lock()
	for _, a := range addresses {
		s.turnedAway[a] = true
	}
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	s.turnedAway = map[string]bool{}
	s.mu.Unlock()
}

// put writes a row as the operator and returns when it was acknowledged.
func (s *store) put(table, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: value})
	return time.Now()
}

// write stores a row; the caller holds the lock.
func (s *store) write(w row) {
	s.version++
	w.Version = s.version
	s.rows[w.Table+"\x00"+w.Part+"\x00"+w.Key] = w
	s.history = append(s.history, w)
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitingFeeds returns the addresses of the rows-feed calls that wait, and the start of the latest.
func (s *store) waitingFeeds() (addresses []string, latest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.feeds {
		if f.start.After(latest) {
			latest = f.start
		}
		addresses = append(addresses, f.address)
	}
	sort.Strings(addresses)
	return addresses, latest
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	var answer any
	status := http.StatusOK
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		answer, status = s.transact(r)
	case "GET /rows-get":
		answer = s.get(r)
	case "GET /rows-feed":
		answer = s.feed(r, c)
	default:
		status = http.StatusNotFound
	}
	if s.isLost(c) {
		s.record.add("store: no response to %s %s at %s", r.Method, r.URL.Path, c.address)
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(answer)
}

// isLost reports whether a response on a connection is lost.
func (s *store) isLost(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.isSilent = c.isSilent || s.turnedAway[c.address]
	return c.isSilent
}

// page returns rows with the newest version; the caller holds the lock.
func (s *store) page(rows []row) page {
	if rows == nil {
		rows = []row{}
	}
	return page{Rows: rows, Version: s.version, NowS: time.Since(s.start).Seconds()}
}

func (s *store) transact(r *http.Request) (any, int) {
	var t struct {
		Expect  []row `json:"expect"`
		Writes  []row `json:"writes"`
		Deletes []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return page{}, http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range append(t.Writes, t.Deletes...) {
		if w.Table == "op" || w.Table == "servers" {
			return page{}, http.StatusForbidden
		}
	}
	for _, e := range t.Expect {
		if s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].Version != e.Version {
			return s.page(nil), http.StatusPreconditionFailed
		}
	}
	for _, w := range t.Writes {
		s.write(w)
	}
	for _, d := range t.Deletes {
		delete(s.rows, d.Table+"\x00"+d.Part+"\x00"+d.Key)
	}
	return s.page(nil), http.StatusOK
}

func (s *store) get(r *http.Request) page {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, w := range s.rows {
		if w.Table == q.Get("table") && w.Part == q.Get("part") && w.Key >= q.Get("startKey") {
			found = append(found, w)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return s.page(found)
}

func (s *store) feed(r *http.Request, c *connection) page {
	q := r.URL.Query()
	// Malformed numbers count as 0.
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	if wait > 0 {
		s.feeds[r] = feedCall{start: time.Now(), address: c.address}
		s.record.add("store: rows-feed waits, after %d, for %d ms, at %s", after, wait, c.address)
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.feeds, r)
		s.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		var found []row
		for _, w := range s.history {
			if w.Table == q.Get("table") && w.Version > after {
				found = append(found, w)
			}
		}
		p, changed := s.page(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return p
		}
		select {
		case <-changed:
		case <-timer.C:
			return p
		case <-r.Context().Done():
			return p
		}
	}
}
