package member

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Table holds the records of the other daemons. It is safe for concurrent use; callers may hold other locks, since its
// methods take no further lock while they hold its own.
type Table struct {
	mu      sync.Mutex
	members map[string]*daemonState
}

type daemonState struct {
	record     Record
	isKnown    bool
	lastReport time.Time
	// lastDraining is the latest backend server that the daemon reported as draining, or that stated itself that it leaves.
	lastDraining Server
	// limited is the latest backend server that the daemon reported with a rate limit, limitedBy the incarnation of the
	// daemon that did so, and limitedAt when. The server is empty once the same incarnation reports no limit.
	limited   Server
	limitedBy int64
	limitedAt time.Time
	// unreachableSince is when the daemon first failed to answer; it is zero while the daemon answers.
	unreachableSince time.Time
}

// Candidate is a backend server that is ready to run requests of its service.
type Candidate struct {
	Address    string
	DataCentre string
	Server     Server
	Load       Load
	// Incarnation is that of the daemon beside the backend server.
	Incarnation int64
	// LoadAge is the time since the daemon of the backend server last reported.
	LoadAge time.Duration
	// IsUnreachable is true while the daemon beside the backend server does not answer.
	IsUnreachable bool
	// IsStopping is true once the daemon beside the backend server has announced its end; until then it still runs
	// requests.
	IsStopping bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[string]*daemonState{}} }

// Add adds a daemon of which only the address and perhaps the data centre are known, and reports whether the address is
// new.
func (t *Table) Add(address, dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.members[address]; ok {
		return false
	}
	t.members[address] = &daemonState{record: Record{Address: address, DataCentre: dataCentre}}
	return true
}

// DataCentre returns the data centre of a daemon, or an empty string if it is not known.
func (t *Table) DataCentre(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.members[address]; ok {
		return e.record.DataCentre
	}
	return ""
}

// Neighbour is another daemon of one data centre.
type Neighbour struct {
	Address     string
	IsStoreDown bool
	// LastReport is when the daemon was last heard of; it is zero for one of which only the address is known.
	LastReport time.Time
}

// Neighbours returns the daemons of a data centre that are neither stopping nor unreachable, in no order.
func (t *Table) Neighbours(dataCentre string) []Neighbour {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Neighbour
	for address, e := range t.members {
		if e.record.DataCentre != dataCentre || e.record.IsStopping || !e.unreachableSince.IsZero() {
			continue
		}
		found = append(found, Neighbour{Address: address, IsStoreDown: e.record.IsStoreDown, LastReport: e.lastReport})
	}
	return found
}

// IsStoreDown reports whether a daemon last said that it can't read the store.
func (t *Table) IsStoreDown(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[address]
	return ok && e.record.IsStoreDown
}

// FirstReaders returns the addresses, in no order, of the daemons that are neither stopping nor unreachable and can read the
// store, of the first data centre by name that has any.
func (t *Table) FirstReaders() (dataCentre string, addresses []string) {
	return t.first((*daemonState).isReader)
}

// FirstRunning is FirstReaders for daemons that may not be able to read the store.
func (t *Table) FirstRunning() (dataCentre string, addresses []string) {
	return t.first((*daemonState).isRunning)
}

// first returns the addresses of the daemons that meet a condition, of the first data centre by name that has any.
func (t *Table) first(condition func(*daemonState) bool) (dataCentre string, addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range t.members {
		centre := e.record.DataCentre
		if !condition(e) || len(addresses) > 0 && centre > dataCentre {
			continue
		}
		if centre != dataCentre {
			addresses = nil
		}
		dataCentre, addresses = centre, append(addresses, address)
	}
	return dataCentre, addresses
}

// isReader reports whether the daemon runs and can read the store, as far as it is known.
func (e *daemonState) isReader() bool { return e.isRunning() && !e.record.IsStoreDown }

// isRunning reports whether the daemon runs, as far as it is known.
func (e *daemonState) isRunning() bool {
	return e.isKnown && !e.record.IsStopping && e.unreachableSince.IsZero()
}

const (
	// unreachableLifetime is how long a daemon that does not answer counts as known in Living.
	unreachableLifetime = 30 * time.Second
	// minorityLifetime takes its place while fewer than half of the daemons answer. It ends, so that the daemons that are
	// left after the others were removed without notice return to the whole of what all share.
	minorityLifetime = 10 * time.Minute
)

// Living returns the addresses of the other daemons that answer and do not stop, in no order, and the number of known ones.
// That number includes those that have not answered yet and those that have stopped to answer lately without having
// announced it: they may still run. If fewer than half answer, this daemon is rather cut off, and the others count longer.
func (t *Table) Living(now time.Time) (addresses []string, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	forgotten := 0
	for address, e := range t.members {
		isSilent := !e.unreachableSince.IsZero()
		switch {
		case e.record.IsStopping, isSilent && now.Sub(e.unreachableSince) > minorityLifetime:
			continue
		case isSilent && now.Sub(e.unreachableSince) > unreachableLifetime:
			forgotten++
			continue
		}
		known++
		if e.isKnown && !isSilent {
			addresses = append(addresses, address)
		}
	}
	if 2*(len(addresses)+1) < known+forgotten+1 {
		known += forgotten
	}
	return addresses, known
}

// Len returns the number of daemons in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}

// Addresses returns the addresses of all daemons in ascending order.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make([]string, 0, len(t.members))
	for a := range t.members {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	return addresses
}

// Update stores the record that a daemon sent at the time now, unless a newer one is stored. It reports whether the
// ID or state of the backend server or IsStopping changed.
func (t *Table) Update(now time.Time, r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[r.Address]
	if !ok {
		e = &daemonState{}
		t.members[r.Address] = e
	}
	e.lastReport = now
	e.unreachableSince = time.Time{}
	if e.isKnown && !r.IsNewer(e.record) {
		return false
	}
	isChanged := !e.isKnown || e.record.Server.ID != r.Server.ID || e.record.Server.State != r.Server.State || e.record.IsStopping != r.IsStopping
	e.record = r
	e.isKnown = true
	if r.Server.State == Draining {
		e.lastDraining = r.Server
	}
	e.recordLimit(now, r)
	return isChanged
}

// recordLimit stores the rate limit in a record.
func (e *daemonState) recordLimit(now time.Time, r Record) {
	switch {
	case r.Server.RateLimit > 0:
		e.limited, e.limitedBy, e.limitedAt = r.Server, r.Incarnation, now
	case r.Incarnation == e.limitedBy:
		e.limited = Server{}
	}
}

// limitLifetime is how long a daemon that has restarted is told of the rate limit that it reported before.
const limitLifetime = 10 * time.Second

// PreviousLimit returns the backend server with the rate limit that a daemon last reported before it restarted, or an
// empty one.
func (t *Table) PreviousLimit(now time.Time, address string) Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[address]
	if !ok || e.limitedBy == e.record.Incarnation || now.Sub(e.limitedAt) > limitLifetime {
		return Server{}
	}
	return e.limited
}

// RecordLeaving records that the backend server beside a daemon has stated in an answer that it leaves. It is no
// candidate any more, even if its daemon, which may have restarted since, still reports it as ready.
func (t *Table) RecordLeaving(address string, s Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.members[address]; ok && s.Born >= e.lastDraining.Born {
		s.State = Draining
		e.lastDraining = s
	}
}

// hasLeft reports whether the backend server in the record of the daemon is known to drain or to have left.
func (e *daemonState) hasLeft() bool {
	s := e.record.Server
	return s.State == Draining || s.ID == e.lastDraining.ID && s.Born <= e.lastDraining.Born
}

// LastDraining returns the latest backend server beside a daemon that is known to drain. It is kept when the daemon
// restarts.
func (t *Table) LastDraining(address string) Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.members[address]; ok {
		return e.lastDraining
	}
	return Server{}
}

// RecordLoad stores the load that a daemon sent with its reply to a call.
func (t *Table) RecordLoad(now time.Time, address string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.members[address]; ok && e.isKnown {
		e.record.Load = l
		e.lastReport = now
		e.unreachableSince = time.Time{}
	}
}

// RecordSent counts a request sent to a daemon as running until the daemon reports its next load.
func (t *Table) RecordSent(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.members[address]; ok {
		e.record.Load.Running++
	}
}

// RecordUnreachable records that a daemon did not answer and reports whether it is known and had answered until now.
func (t *Table) RecordUnreachable(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[address]
	if !ok || !e.unreachableSince.IsZero() {
		return false
	}
	e.unreachableSince = now
	return true
}

// UnreachableFor returns how long a daemon has not answered, or 0 while it does.
func (t *Table) UnreachableFor(now time.Time, address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[address]
	if !ok || e.unreachableSince.IsZero() {
		return 0
	}
	return now.Sub(e.unreachableSince)
}

// Candidates returns the ready backend servers of a service beside other daemons, in order of address. Those beside
// daemons that have ended after they announced it are left out.
func (t *Table) Candidates(now time.Time, service string) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Candidate
	for address, e := range t.members {
		r := e.record
		isUnreachable := !e.unreachableSince.IsZero()
		if !e.isKnown || r.IsStopping && isUnreachable || r.Server.State != Ready || r.Server.Service != service || e.hasLeft() {
			continue
		}
		found = append(found, Candidate{
			Address: address, DataCentre: r.DataCentre, Server: r.Server, Load: r.Load, Incarnation: r.Incarnation,
			LoadAge: now.Sub(e.lastReport), IsUnreachable: isUnreachable, IsStopping: r.IsStopping,
		})
	}
	slices.SortFunc(found, func(a, b Candidate) int { return strings.Compare(a.Address, b.Address) })
	return found
}
