package platform

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

const (
	// maximumTables is the largest number of tables with rows.
	maximumTables = 100
	// maximumEntries is the largest number of expectations, writes and deletes of one transaction together.
	maximumEntries = 100
	// maximumTransactionSize is the largest sum of the sizes of all values of a transaction, in bytes.
	maximumTransactionSize = 1 << 20
	// maximumNameSize is the largest size of the name of a table, of a part and of a key, in bytes.
	maximumNameSize = 200
	// maximumValueSize is the largest size of a value in bytes.
	maximumValueSize = 64 << 10
	// maximumRows is the largest number of rows in an answer.
	maximumRows = 500
	// maximumParts is the largest number of parts in an answer.
	maximumParts = 1000
	// maximumWait is the longest time that a call waits for changes.
	maximumWait = 30 * time.Second
)

// readOnlyTables are the tables that only the operator and the backend servers may write.
var readOnlyTables = []string{"op", "servers"}

// rowAddress is the full address of a row.
type rowAddress struct{ table, part, key string }

// compare orders addresses by table, part and key.
func (p rowAddress) compare(o rowAddress) int {
	return cmp.Or(cmp.Compare(p.table, o.table), cmp.Compare(p.part, o.part), cmp.Compare(p.key, o.key))
}

// isValid reports whether the table is named and no name is above its largest size.
func (p rowAddress) isValid() bool {
	return p.table != "" && len(p.table) <= maximumNameSize && len(p.part) <= maximumNameSize && len(p.key) <= maximumNameSize
}

// row is a row in the store, in its history and on the wire.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the number of the last transaction that wrote the row.
	Version uint64 `json:"ver,omitempty"`
	// Removed marks a row that was deleted, in the history and in answers of feed.
	Removed bool `json:"removed,omitempty"`
}

func (r row) address() rowAddress { return rowAddress{r.Table, r.Part, r.Key} }

// expectation is a row that must have a version, which has to be stated; 0 means that the row must not exist.
type expectation struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Version *uint64 `json:"ver"`
}

// transaction is a set of writes and deletes that are performed together or not at all.
type transaction struct {
	Expect  []expectation `json:"expect"`
	Writes  []row         `json:"writes"`
	Deletes []row         `json:"deletes"`
	// Across permits entries in different parts.
	Across bool `json:"across"`
}

// page is the answer to a call that reads or writes rows.
type page struct {
	Rows []row `json:"rows"`
	// HasMore means that the call matched more rows than the answer holds.
	HasMore bool `json:"hasMore"`
	// Version is the number of the newest transaction of the whole store.
	Version uint64 `json:"ver"`
	// NowS is the time of the store in seconds since 1970.
	NowS float64 `json:"nowS"`
}

// conflict is the answer to a transaction whose expectations do not hold.
type conflict struct {
	// Rows are the expected rows that exist, as they are.
	Rows []row `json:"rows"`
}

// partsAnswer is the answer to a call that lists the parts of a table.
type partsAnswer struct {
	Parts []string `json:"parts"`
	// HasMore means that the table has further parts.
	HasMore bool `json:"hasMore"`
}

// rows holds the tables and the history of their changes; Server.mu guards it.
type rows struct {
	stored map[rowAddress]row
	// history holds every write and delete since the last compaction, oldest first.
	history []row
	// compacted is the newest version whose changes the last compaction removed from the history.
	compacted uint64
	// version is the number of the newest transaction.
	version uint64
	// changed is closed by each transaction and then replaced, to wake the calls that wait for changes.
	changed chan struct{}
}

func newRows() rows { return rows{stored: map[rowAddress]row{}, changed: make(chan struct{})} }

// check returns the status of a transaction that is malformed, too large or forbidden, or 0. Only the operator may
// write the read-only tables.
func (t transaction) check(isOperator bool) int {
	entries := slices.Concat(t.Writes, t.Deletes)
	for _, e := range t.Expect {
		if e.Version == nil {
			return http.StatusBadRequest
		}
		entries = append(entries, row{Table: e.Table, Part: e.Part, Key: e.Key})
	}
	if len(entries) == 0 || len(entries) > maximumEntries {
		return http.StatusBadRequest
	}
	size := 0
	for _, e := range entries {
		size += len(e.Value)
		if !e.address().isValid() || len(e.Value) > maximumValueSize || !t.Across && e.Part != entries[0].Part {
			return http.StatusBadRequest
		}
	}
	if size > maximumTransactionSize {
		return http.StatusRequestEntityTooLarge
	}
	for _, e := range slices.Concat(t.Writes, t.Deletes) {
		if !isOperator && slices.Contains(readOnlyTables, e.Table) {
			return http.StatusForbidden
		}
	}
	return 0
}

// apply performs a transaction and returns true, or returns false and the expected rows that exist if an expectation
// does not hold.
func (r *rows) apply(t transaction) (current []row, ok bool) {
	ok = true
	for _, e := range t.Expect {
		found := r.stored[rowAddress{e.Table, e.Part, e.Key}]
		if found.Version != *e.Version {
			ok = false
		}
		if found.Version != 0 {
			current = append(current, found)
		}
	}
	if !ok {
		return current, false
	}
	r.version++
	for _, w := range t.Writes {
		w.Version = r.version
		r.stored[w.address()] = w
		r.history = append(r.history, w)
	}
	for _, d := range t.Deletes {
		delete(r.stored, d.address())
		r.history = append(r.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Version: r.version, Removed: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return nil, true
}

// compact removes the history.
func (r *rows) compact() {
	r.history = nil
	r.compacted = r.version
}

// page returns an answer with rows, and the version and time of the store.
func (r *rows) page(found []row) page {
	return page{Rows: found, Version: r.version, NowS: float64(time.Now().UnixMilli()) / 1000}
}

// list returns the rows of "table" and "part" with keys from "startKey" and below "target", in order of key. An empty
// "target" sets no bound, and "limit" bounds the number of rows.
func (r *rows) list(q url.Values) page {
	limit := parseBounded(q.Get("limit"), maximumRows)
	found := []row{}
	for p, stored := range r.stored {
		isInRange := p.table == q.Get("table") && p.part == q.Get("part") && p.key >= q.Get("startKey")
		if isInRange && (q.Get("target") == "" || p.key < q.Get("target")) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return a.address().compare(b.address()) })
	answer := r.page(found[:min(limit, len(found))])
	answer.HasMore = len(found) > limit
	return answer
}

// parts returns the parts of "table" that follow "after", in order.
func (r *rows) parts(q url.Values) partsAnswer {
	var all []string
	for p := range r.stored {
		if p.table == q.Get("table") && p.part > q.Get("after") {
			all = append(all, p.part)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return partsAnswer{Parts: all[:min(maximumParts, len(all))], HasMore: len(all) > maximumParts}
}

// changes returns the rows of a table that changed after a version, oldest first. It returns false if the history of
// that time was compacted, or if the store has not reached that version.
func (r *rows) changes(table string, after uint64) (page, bool) {
	if after < r.compacted || after > r.version {
		return page{}, false
	}
	found := []row{}
	for _, h := range r.history {
		if h.Table == table && h.Version > after {
			found = append(found, h)
		}
	}
	return r.page(found), true
}

// parseBounded returns a number in a query, or the maximum if it is missing, malformed, below 1 or above the maximum.
func parseBounded(text string, maximum int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 || n > maximum {
		return maximum
	}
	return n
}

// parseWait returns the time of a call in milliseconds: none if the text is malformed or below 0, and at most maximumWait.
func parseWait(text string) time.Duration {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0
	}
	return min(time.Duration(n)*time.Millisecond, maximumWait)
}
