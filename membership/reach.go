package membership

import (
	"cmp"
	"slices"
	"time"
)

// ReachRecord tells whether the data centre of the observers can reach another one.
//
// A data centre that is lost is one record, whatever the number of its members.
type ReachRecord struct {
	Observer   DataCentre
	DataCentre DataCentre
	// Changed is when the observer noted the change, in milliseconds since 1970; the later record wins.
	Changed int64
	IsLost  bool
}

// IsNewerThan reports whether r replaces o.
func (r ReachRecord) IsNewerThan(o ReachRecord) bool {
	if r.Changed != o.Changed {
		return r.Changed > o.Changed
	}
	return r.IsLost && !o.IsLost
}

// lossRounds is the number of rounds in a row that have to fail before a data centre counts as lost.
const lossRounds = 2

type reach struct {
	record ReachRecord
	failed int
}

// HandleRound notes whether any of several members of another data centre answered this instance.
func (m *Machine) HandleRound(now time.Time, d DataCentre, isAnswered bool) {
	e := m.reachOf(d)
	if isAnswered {
		e.failed = 0
		m.setReach(now, e, false)
		return
	}
	e.failed++
	if e.failed >= lossRounds {
		m.setReach(now, e, true)
	}
}

func (m *Machine) reachOf(d DataCentre) *reach {
	e, ok := m.reaches[d]
	if !ok {
		e = &reach{record: ReachRecord{Observer: m.self.DataCentre, DataCentre: d}}
		m.reaches[d] = e
	}
	return e
}

func (m *Machine) setReach(now time.Time, e *reach, isLost bool) {
	if e.record.IsLost == isLost {
		return
	}
	next := e.record
	next.IsLost = isLost
	next.Changed = max(now.UnixMilli(), e.record.Changed+1)
	m.acceptReach(e, next)
}

func (m *Machine) acceptReach(e *reach, next ReachRecord) {
	if e.record.IsLost != next.IsLost {
		kind := EventCentreBack
		if next.IsLost {
			kind = EventCentreLost
		}
		m.events = append(m.events, Event{kind, Record{ID: ID(next.DataCentre), DataCentre: next.DataCentre}})
	}
	e.record = next
}

// MergeReach takes in newer records of observers in the own data centre.
func (m *Machine) MergeReach(records []ReachRecord) {
	for _, r := range records {
		if r.Observer != m.self.DataCentre || r.DataCentre == m.self.DataCentre {
			continue
		}
		if e := m.reachOf(r.DataCentre); r.IsNewerThan(e.record) {
			m.acceptReach(e, r)
		}
	}
}

// IsLost reports whether a data centre can't be reached from the own one.
func (m *Machine) IsLost(d DataCentre) bool {
	e, ok := m.reaches[d]
	return ok && e.record.IsLost
}

// reachRecords returns the records of data centres that have ever been lost, in order.
func (m *Machine) reachRecords() []ReachRecord {
	var records []ReachRecord
	for _, e := range m.reaches {
		if e.record.Changed > 0 {
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b ReachRecord) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return records
}
