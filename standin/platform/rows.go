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
	// maximumTables bounds the tables of the store.
	maximumTables = 100
	// maximumEntries bounds the entries of one transaction.
	maximumEntries = 100
	// maximumTransaction bounds the values of one transaction in bytes.
	maximumTransaction = 1 << 20
	// maximumName bounds a table, part or key in bytes.
	maximumName = 200
	// maximumRow bounds one value in bytes.
	maximumRow = 64 << 10
	// maximumRows bounds the rows of one answer.
	maximumRows = 500
	// maximumParts bounds the parts of one answer.
	maximumParts = 1000
	// longestWait bounds the wait of one call for changes.
	longestWait = 30 * time.Second
)

// readOnlyTables are written by the operator and the servers only.
var readOnlyTables = []string{"op", "servers"}

// place addresses a row.
type place struct{ table, part, key string }

func (p place) compare(o place) int {
	return cmp.Or(cmp.Compare(p.table, o.table), cmp.Compare(p.part, o.part), cmp.Compare(p.key, o.key))
}

func (p place) isValid() bool {
	return p.table != "" && len(p.table) <= maximumName && len(p.part) <= maximumName && len(p.key) <= maximumName
}

// row is a row as it travels.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) place() place { return place{r.Table, r.Part, r.Key} }

// transaction is an atomic change.
type transaction struct {
	Expect  []row `json:"expect"`
	Writes  []row `json:"writes"`
	Deletes []row `json:"deletes"`
	Across  bool  `json:"across"`
}

// page is an answer with rows.
type page struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Version uint64  `json:"ver"`
	NowS    float64 `json:"nowS"`
}

// conflict is the answer to a transaction whose conditions do not hold.
type conflict struct {
	Rows []row `json:"rows"`
}

// parts is an answer with the parts of a table.
type parts struct {
	Parts   []string `json:"parts"`
	HasMore bool     `json:"hasMore"`
}

// rows is the state of the tables; the server's lock guards it.
type rows struct {
	stored  map[place]row
	history []row
	// dropped is the newest version whose change is no longer in the history.
	dropped uint64
	version uint64
	changed chan struct{}
}

func newRows() rows { return rows{stored: map[place]row{}, changed: make(chan struct{})} }

// check returns the status of a malformed transaction, or 0.
func (t transaction) check(isOperator bool) int {
	entries := slices.Concat(t.Expect, t.Writes, t.Deletes)
	if len(entries) == 0 || len(entries) > maximumEntries {
		return http.StatusBadRequest
	}
	size := 0
	for _, e := range entries {
		size += len(e.Value)
		if !e.place().isValid() || len(e.Value) > maximumRow || !t.Across && e.Part != entries[0].Part {
			return http.StatusBadRequest
		}
	}
	if size > maximumTransaction {
		return http.StatusRequestEntityTooLarge
	}
	for _, e := range slices.Concat(t.Writes, t.Deletes) {
		if !isOperator && slices.Contains(readOnlyTables, e.Table) {
			return http.StatusForbidden
		}
	}
	return 0
}

// apply performs a transaction whole, or returns the rows that its conditions met.
func (r *rows) apply(t transaction) (met []row, ok bool) {
	ok = true
	for _, e := range t.Expect {
		found := r.stored[e.place()]
		if found.Version != e.Version {
			ok = false
		}
		if found.Version != 0 {
			met = append(met, found)
		}
	}
	if !ok {
		return met, false
	}
	r.version++
	for _, w := range t.Writes {
		w.Version = r.version
		r.stored[w.place()] = w
		r.history = append(r.history, w)
	}
	for _, d := range t.Deletes {
		delete(r.stored, d.place())
		r.history = append(r.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Version: r.version, Removed: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return nil, true
}

// compact drops the history.
func (r *rows) compact() {
	r.history = nil
	r.dropped = r.version
}

func (r *rows) page(found []row) page {
	return page{Rows: found, Version: r.version, NowS: float64(time.Now().UnixMilli()) / 1000}
}

// list returns the rows of a part between two keys, in order of key.
func (r *rows) list(q url.Values) page {
	limit := count(q.Get("limit"), maximumRows)
	found := []row{}
	for p, stored := range r.stored {
		isIn := p.table == q.Get("table") && p.part == q.Get("part") && p.key >= q.Get("startKey")
		if isIn && (q.Get("target") == "" || p.key < q.Get("target")) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return a.place().compare(b.place()) })
	answer := r.page(found[:min(limit, len(found))])
	answer.HasMore = len(found) > limit
	return answer
}

// parts returns the parts of a table.
func (r *rows) parts(q url.Values) parts {
	var all []string
	for p := range r.stored {
		if p.table == q.Get("table") && p.part > q.Get("after") {
			all = append(all, p.part)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return parts{Parts: all[:min(maximumParts, len(all))], HasMore: len(all) > maximumParts}
}

// changes returns the changed rows of a table after a version; false means that the history is gone.
func (r *rows) changes(table string, after uint64) (page, bool) {
	if after < r.dropped {
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

func count(text string, otherwise int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 || n > otherwise {
		return otherwise
	}
	return n
}
