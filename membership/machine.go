package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing holds the intervals of the failure detector.
type Timing struct {
	// Period is the time from one probe to the next.
	Period time.Duration
	// Suspicion is the time from suspicion to removal.
	Suspicion time.Duration
	// Retention is the time for which removed members are remembered.
	Retention time.Duration
}

// DefaultTiming is the timing in production.
var DefaultTiming = Timing{Period: time.Second, Suspicion: 5 * time.Second, Retention: 10 * time.Minute}

const (
	// helperCount is the number of members asked for an indirect probe.
	helperCount = 3
	// gossipSize is the largest number of records in one message.
	gossipSize = 8
	// gossipFactor times the logarithm of the group size is how often a record is passed on.
	gossipFactor = 3
	// pausePeriods is the number of periods without a step after which the instance counts itself as paused.
	pausePeriods = 4
)

type member struct {
	record  Record
	changed time.Time
}

// Machine is the failure detector of one instance.
//
// It is not safe for concurrent use; the shell serialises its steps.
type Machine struct {
	// Timing and Random are set before the first step.
	Timing Timing
	Random *rand.Rand

	self    Record
	members map[ID]*member
	centres map[DataCentre]map[ID]bool
	// groups holds the lists of serving members that were asked for since the last change.
	groups   map[DataCentre][]Record
	digests  map[DataCentre]GroupDigest
	queue    gossipQueue
	rotation []ID
	reaches  map[DataCentre]*reach
	lastTick time.Time
	events   []Event
	touched  []ID
	changes  uint64
}

// NewMachine returns a machine that knows only the instance itself.
func NewMachine(self Record, t Timing, r *rand.Rand) *Machine {
	m := &Machine{Timing: t, Random: r, self: self, members: map[ID]*member{}, centres: map[DataCentre]map[ID]bool{}, groups: map[DataCentre][]Record{}, reaches: map[DataCentre]*reach{}, digests: map[DataCentre]GroupDigest{}}
	m.store(self, time.Time{})
	m.queue.add(self.ID, 0)
	return m
}

// Self returns the instance's own record.
func (m *Machine) Self() Record { return m.self }

// Changes returns a counter that grows with every stored record.
func (m *Machine) Changes() uint64 { return m.changes }

// TakeEvents returns the events since the last call.
func (m *Machine) TakeEvents() []Event {
	events := m.events
	m.events = nil
	return events
}

// TakeTouched returns the instances whose records changed since the last call.
func (m *Machine) TakeTouched() []ID {
	touched := m.touched
	m.touched = nil
	return touched
}

// Announce replaces the backend servers of the instance and raises its incarnation.
func (m *Machine) Announce(now time.Time, servers []BackendServer) {
	m.self.BackendServers = servers
	m.raise(now, m.self.Incarnation+1)
}

// Leave marks the instance as left, so that no member suspects it.
func (m *Machine) Leave(now time.Time) {
	m.self.Status = StatusLeft
	m.raise(now, m.self.Incarnation+1)
}

func (m *Machine) raise(now time.Time, incarnation uint64) {
	m.self.Incarnation = incarnation
	m.store(m.self, now)
	m.queue.add(m.self.ID, m.transmissions())
}

// Tick removes members whose suspicion has lasted and returns the next probe, if there is a member to probe.
func (m *Machine) Tick(now time.Time) []Action {
	m.detectPause(now)
	m.lastTick = now
	m.expire(now)
	target, ok := m.nextTarget()
	if !ok {
		return nil
	}
	return []Action{{target: target}}
}

// detectPause restarts every suspicion after a pause, since the silence was the instance's own.
func (m *Machine) detectPause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < pausePeriods*m.Timing.Period {
		return
	}
	for _, e := range m.members {
		if e.record.Status == StatusSuspect {
			e.changed = now
		}
	}
	m.events = append(m.events, Event{EventPaused, m.self})
}

func (m *Machine) expire(now time.Time) {
	for id, e := range m.members {
		age := now.Sub(e.changed)
		switch {
		case e.record.Status == StatusSuspect && age >= m.Timing.Suspicion:
			r := e.record
			r.Status = StatusDead
			m.accept(now, r)
		case !e.record.IsServing() && age >= m.Timing.Retention && id != m.self.ID:
			m.forget(e.record)
		}
	}
}

// nextTarget walks over the group in a random order that is drawn anew after each round.
func (m *Machine) nextTarget() (Record, bool) {
	for range 2 {
		for len(m.rotation) > 0 {
			id := m.rotation[0]
			m.rotation = m.rotation[1:]
			if e, ok := m.members[id]; ok && e.record.IsServing() {
				return e.record, true
			}
		}
		m.drawRotation()
	}
	return Record{}, false
}

func (m *Machine) drawRotation() {
	for _, r := range m.Group(m.self.DataCentre) {
		if r.ID != m.self.ID {
			m.rotation = append(m.rotation, r.ID)
		}
	}
	m.Random.Shuffle(len(m.rotation), func(i, j int) {
		m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i]
	})
}

// NewProbe returns the next probe message.
func (m *Machine) NewProbe() Probe {
	return Probe{From: m.self.ID, Incarnation: m.self.Incarnation, Gossip: m.takeGossip(), Reach: m.reachRecords()}
}

// HandleProbe merges the gossip of a probe and returns the answer.
//
// A sender that is held as suspected or removed, or under a later incarnation, is told so, since the gossip about
// it may have ended before it could hear it.
func (m *Machine) HandleProbe(now time.Time, p Probe) Ack {
	m.Merge(now, p.Gossip)
	m.MergeReach(p.Reach)
	gossip := m.takeGossip()
	if r, ok := m.Find(p.From); ok && (r.Status != StatusAlive || r.Incarnation > p.Incarnation) {
		gossip = append(gossip, r)
	}
	return Ack{From: m.self.ID, Gossip: gossip, Reach: m.reachRecords()}
}

// HandleAck merges the gossip of an answer.
func (m *Machine) HandleAck(now time.Time, a Ack) {
	m.Merge(now, a.Gossip)
	m.MergeReach(a.Reach)
}

// HandleProbeFailure returns the indirect probe that follows a direct one without answer.
func (m *Machine) HandleProbeFailure(now time.Time, target ID) []Action {
	e, ok := m.members[target]
	if !ok || !e.record.IsServing() {
		return nil
	}
	helpers := m.pickHelpers(target)
	if len(helpers) == 0 {
		m.suspect(now, e.record)
		return nil
	}
	return []Action{{target: e.record, helpers: helpers}}
}

// HandleIndirectFailure suspects a member that neither direct nor indirect probes reached.
func (m *Machine) HandleIndirectFailure(now time.Time, target ID) {
	if e, ok := m.members[target]; ok && e.record.Status == StatusAlive {
		m.suspect(now, e.record)
	}
}

func (m *Machine) suspect(now time.Time, r Record) {
	if r.Status != StatusAlive {
		return
	}
	r.Status = StatusSuspect
	m.accept(now, r)
}

func (m *Machine) pickHelpers(target ID) []Record {
	var helpers []Record
	for _, r := range m.Group(m.self.DataCentre) {
		if r.ID != target && r.ID != m.self.ID && r.Status == StatusAlive {
			helpers = append(helpers, r)
		}
	}
	m.Random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(helperCount, len(helpers))]
}

// Merge takes in records that are newer than the known ones.
func (m *Machine) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if !r.IsValid() {
			continue
		}
		if r.ID == m.self.ID {
			m.refute(now, r)
			continue
		}
		if e, ok := m.members[r.ID]; ok && !r.IsNewerThan(e.record) {
			continue
		}
		m.accept(now, r)
	}
}

// refute outbids a record of this instance that it did not announce itself.
func (m *Machine) refute(now time.Time, r Record) {
	isOwn := r.Incarnation == m.self.Incarnation && r.Status == m.self.Status
	if isOwn || r.Incarnation < m.self.Incarnation || m.self.Status == StatusLeft {
		return
	}
	m.raise(now, r.Incarnation+1)
	m.events = append(m.events, Event{EventRefuted, r})
}

func (m *Machine) accept(now time.Time, r Record) {
	before, known := m.members[r.ID]
	kind := classify(before, known, r)
	m.store(r, now)
	m.queue.add(r.ID, m.transmissions())
	if kind != "" {
		m.events = append(m.events, Event{kind, r})
	}
}

func classify(before *member, known bool, r Record) EventKind {
	wasServing := known && before.record.IsServing()
	switch {
	case r.Status == StatusLeft && wasServing:
		return EventLeft
	case r.Status == StatusDead && wasServing:
		return EventRemoved
	case r.Status == StatusSuspect && wasServing && before.record.Status == StatusAlive:
		return EventSuspected
	case r.Status == StatusAlive && !wasServing:
		return EventJoined
	case r.Status == StatusAlive && before.record.Status == StatusSuspect:
		return EventCleared
	case r.Status == StatusAlive:
		return EventUpdated
	}
	return ""
}

func (m *Machine) store(r Record, now time.Time) {
	before, isKnown := m.Find(r.ID)
	if isKnown {
		m.toggle(before)
	}
	m.members[r.ID] = &member{record: r, changed: now}
	m.regroup(before, r)
	m.toggle(r)
	m.touched = append(m.touched, r.ID)
	m.changes++
}

func (m *Machine) forget(r Record) {
	m.toggle(r)
	delete(m.members, r.ID)
	m.regroup(r, Record{})
	m.queue.remove(r.ID)
	m.changes++
}

// Find returns the record of an instance.
func (m *Machine) Find(id ID) (Record, bool) {
	e, ok := m.members[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// regroup keeps the members of each data centre, and forgets the list of those that a change concerns.
func (m *Machine) regroup(before, after Record) {
	if before.ID != "" && before.DataCentre != after.DataCentre {
		delete(m.centres[before.DataCentre], before.ID)
		delete(m.groups, before.DataCentre)
	}
	if after.ID == "" {
		return
	}
	if m.centres[after.DataCentre] == nil {
		m.centres[after.DataCentre] = map[ID]bool{}
	}
	m.centres[after.DataCentre][after.ID] = true
	delete(m.groups, after.DataCentre)
}

// Group returns the serving members of a data centre in order of ID; the caller must not change the list.
func (m *Machine) Group(d DataCentre) []Record {
	if group, ok := m.groups[d]; ok {
		return group
	}
	var group []Record
	for id := range m.centres[d] {
		if r := m.members[id].record; r.IsServing() {
			group = append(group, r)
		}
	}
	slices.SortFunc(group, compareIDs)
	m.groups[d] = group
	return group
}

// Removed returns the members of a data centre that were removed and are still remembered.
func (m *Machine) Removed(d DataCentre) []Record {
	var removed []Record
	for _, e := range m.members {
		if e.record.DataCentre == d && e.record.Status == StatusDead {
			removed = append(removed, e.record)
		}
	}
	slices.SortFunc(removed, compareIDs)
	return removed
}

// Serving returns all serving members in order of data centre and ID.
func (m *Machine) Serving() []Record {
	var all []Record
	for _, d := range m.DataCentres() {
		all = append(all, m.Group(d)...)
	}
	return all
}

// DataCentres returns the data centres that have a serving member, in order.
func (m *Machine) DataCentres() []DataCentre {
	var found []DataCentre
	for d := range m.centres {
		if len(m.Group(d)) > 0 {
			found = append(found, d)
		}
	}
	slices.Sort(found)
	return found
}

// Len returns the number of known members, removed ones included.
func (m *Machine) Len() int { return len(m.members) }
