package membership

import (
	"cmp"
	"slices"
	"time"
)

// ReachRecord says whether the instances of one data centre, the observers, can reach another data centre.
//
// A lost data centre takes one record in gossip, whatever the number of its members.
type ReachRecord struct {
	// Observer is the data centre whose instances detected the change.
	Observer DataCentre
	// DataCentre is the one that can or can't be reached.
	DataCentre DataCentre
	// Changed is when an observer detected the change, in milliseconds since 1970; the later record wins.
	Changed int64
	IsLost  bool
}

// IsNewerThan reports whether r replaces o; of two with the same time, the one that is lost wins.
func (r ReachRecord) IsNewerThan(o ReachRecord) bool {
	if r.Changed != o.Changed {
		return r.Changed > o.Changed
	}
	return r.IsLost && !o.IsLost
}

// lostAfterRounds is the number of probe rounds that have to fail in a row before a data centre counts as lost.
const lostAfterRounds = 2

// reachState holds the reachability of another data centre.
type reachState struct {
	record ReachRecord
	// failedRounds counts the failed rounds of this instance since the last answer.
	failedRounds int
}

// HandleDataCentreProbes takes the result of one round of probes to several members of another data centre: isAnswered
// is set when any of them answered. One answer marks the data centre reachable; lostAfterRounds failed rounds in a row
// mark it lost.
func (m *Machine) HandleDataCentreProbes(now time.Time, d DataCentre, isAnswered bool) {
	e := m.reachStateOf(d)
	if isAnswered {
		e.failedRounds = 0
		m.setLost(now, e, false)
		return
	}
	e.failedRounds++
	if e.failedRounds >= lostAfterRounds {
		m.setLost(now, e, true)
	}
}

// reachStateOf returns the state of a data centre, and creates one that isn't lost if there is none.
func (m *Machine) reachStateOf(d DataCentre) *reachState {
	e, ok := m.reachStates[d]
	if !ok {
		e = &reachState{record: ReachRecord{Observer: m.self.DataCentre, DataCentre: d}}
		m.reachStates[d] = e
	}
	return e
}

// setLost makes a newer record when the reachability changed. Its time is at least 1 ms after the previous record's, so
// that it wins even if the clock went back.
func (m *Machine) setLost(now time.Time, e *reachState, isLost bool) {
	if e.record.IsLost == isLost {
		return
	}
	next := e.record
	next.IsLost = isLost
	next.Changed = max(now.UnixMilli(), e.record.Changed+1)
	m.acceptReach(e, next)
}

// acceptReach replaces a record and adds an event if the data centre became lost or reachable.
func (m *Machine) acceptReach(e *reachState, next ReachRecord) {
	if e.record.IsLost != next.IsLost {
		kind := EventCentreBack
		if next.IsLost {
			kind = EventCentreLost
		}
		m.events = append(m.events, Event{kind, Record{ID: ID(next.DataCentre), DataCentre: next.DataCentre}})
	}
	e.record = next
}

// MergeReach stores the records that are newer than the known ones. Records of observers in other data centres are
// ignored, since only the view of this instance's data centre counts here.
func (m *Machine) MergeReach(records []ReachRecord) {
	for _, r := range records {
		if r.Observer != m.self.DataCentre || r.DataCentre == m.self.DataCentre {
			continue
		}
		if e := m.reachStateOf(r.DataCentre); r.IsNewerThan(e.record) {
			m.acceptReach(e, r)
		}
	}
}

// IsLost reports whether a data centre is unreachable from that of this instance.
func (m *Machine) IsLost(d DataCentre) bool {
	e, ok := m.reachStates[d]
	return ok && e.record.IsLost
}

// reachRecords returns the records of the data centres that have ever been lost, in order of data centre.
func (m *Machine) reachRecords() []ReachRecord {
	var records []ReachRecord
	for _, e := range m.reachStates {
		if e.record.Changed > 0 {
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b ReachRecord) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return records
}
