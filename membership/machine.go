package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing holds the intervals of a Machine.
type Timing struct {
	// Period is the interval between calls of Tick, each of which probes one member.
	Period time.Duration
	// Suspicion is the time after which a suspected member that hasn't refuted the suspicion counts as dead.
	Suspicion time.Duration
	// Retention is the time for which the record of a member that is dead or left is kept.
	Retention time.Duration
}

// DefaultTiming is the timing in production, unless the settings give another period or suspicion.
var DefaultTiming = Timing{Period: time.Second, Suspicion: 5 * time.Second, Retention: 10 * time.Minute}

const (
	// helperCount is the number of members asked to probe a target that didn't answer a direct probe.
	helperCount = 3
	// gossipBatchSize is the largest number of queued records in one message.
	gossipBatchSize = 8
	// transmissionFactor times the bit length of the number of known members is how often a changed record is sent.
	transmissionFactor = 3
	// pausePeriods is the number of periods without a Tick after which the instance assumes that it was paused itself.
	pausePeriods = 4
)

type member struct {
	record Record
	// changedAt is when the record was stored, or when its suspicion began anew after a pause of this instance.
	changedAt time.Time
}

// Machine is the state machine of one instance's failure detector and list of members: it holds the records of all
// known members, processes the messages, time and probe results that the daemon passes in, and returns the next probes.
//
// It is not safe for concurrent use: the daemon calls its methods under a lock.
type Machine struct {
	// Timing and Random are set before the first call of another method; Random orders probe targets and picks helpers.
	Timing Timing
	Random *rand.Rand

	self        Record
	members     map[ID]*member
	idsByCentre map[DataCentre]map[ID]bool
	// servingByCentre caches the results of ServingIn until a record of the data centre changes.
	servingByCentre map[DataCentre][]Record
	digests         map[DataCentre]GroupDigest
	queue           gossipQueue
	probeOrder      []ID
	reachStates     map[DataCentre]*reachState
	lastTick        time.Time
	events          []Event
	changedIDs      []ID
	revision        uint64
}

// NewMachine returns a Machine that knows only the instance itself and has its record queued for gossip.
func NewMachine(self Record, t Timing, r *rand.Rand) *Machine {
	m := &Machine{Timing: t, Random: r, self: self, members: map[ID]*member{}, idsByCentre: map[DataCentre]map[ID]bool{}, servingByCentre: map[DataCentre][]Record{}, reachStates: map[DataCentre]*reachState{}, digests: map[DataCentre]GroupDigest{}}
	m.store(self, time.Time{})
	// 0 means one message, since add queues the record for at least one.
	m.queue.add(self.ID, 0)
	return m
}

// Self returns this instance's own record.
func (m *Machine) Self() Record { return m.self }

// Revision returns a counter that grows with every record that is stored or purged.
func (m *Machine) Revision() uint64 { return m.revision }

// TakeEvents returns the events since its last call and clears them.
func (m *Machine) TakeEvents() []Event {
	events := m.events
	m.events = nil
	return events
}

// TakeChangedIDs returns the IDs whose records were stored since its last call, with repeats, and clears them.
func (m *Machine) TakeChangedIDs() []ID {
	changedIDs := m.changedIDs
	m.changedIDs = nil
	return changedIDs
}

// Announce replaces the backend servers of this instance and raises its incarnation, so that the new record wins.
func (m *Machine) Announce(now time.Time, servers []BackendServer) {
	m.self.BackendServers = servers
	m.raiseIncarnation(now, m.self.Incarnation+1)
}

// Leave marks this instance as left, so that no member suspects it when it stops answering.
func (m *Machine) Leave(now time.Time) {
	m.self.Status = StatusLeft
	m.raiseIncarnation(now, m.self.Incarnation+1)
}

// raiseIncarnation stores this instance's own record under a new incarnation and queues it for gossip.
func (m *Machine) raiseIncarnation(now time.Time, incarnation uint64) {
	m.self.Incarnation = incarnation
	m.store(m.self, now)
	m.queue.add(m.self.ID, m.transmissionLimit())
}

// Tick marks members dead whose suspicion has timed out, purges old records, and returns the next probe or, if there is
// no member to probe, nothing.
func (m *Machine) Tick(now time.Time) []Action {
	m.detectPause(now)
	m.lastTick = now
	m.expire(now)
	target, ok := m.nextProbeTarget()
	if !ok {
		return nil
	}
	return []Action{{target: target}}
}

// detectPause restarts the timeout of every suspicion after a pause of this instance, since the missing answers may
// be due to the pause and not to the members.
func (m *Machine) detectPause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < pausePeriods*m.Timing.Period {
		return
	}
	for _, e := range m.members {
		if e.record.Status == StatusSuspect {
			e.changedAt = now
		}
	}
	m.events = append(m.events, Event{EventPaused, m.self})
}

// expire marks suspected members dead after Timing.Suspicion, and purges dead and left ones after Timing.Retention.
func (m *Machine) expire(now time.Time) {
	for id, e := range m.members {
		age := now.Sub(e.changedAt)
		switch {
		case e.record.Status == StatusSuspect && age >= m.Timing.Suspicion:
			r := e.record
			r.Status = StatusDead
			m.accept(now, r)
		case !e.record.IsServing() && age >= m.Timing.Retention && id != m.self.ID:
			m.purge(e.record)
		}
	}
}

// nextProbeTarget returns each serving member of this instance's data centre in turn, in a random order that is
// shuffled anew for each round.
func (m *Machine) nextProbeTarget() (Record, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if e, ok := m.members[id]; ok && e.record.IsServing() {
				return e.record, true
			}
		}
		m.refillProbeOrder()
	}
	return Record{}, false
}

// refillProbeOrder shuffles the serving members of this instance's data centre, without this instance.
func (m *Machine) refillProbeOrder() {
	for _, r := range m.ServingIn(m.self.DataCentre) {
		if r.ID != m.self.ID {
			m.probeOrder = append(m.probeOrder, r.ID)
		}
	}
	m.Random.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
}

// NewProbe returns a probe message with the gossip that is due.
func (m *Machine) NewProbe() Probe {
	return Probe{From: m.self.ID, Incarnation: m.self.Incarnation, Gossip: m.takeGossip(), Reach: m.reachRecords()}
}

// HandleProbe merges the gossip of a probe and returns the answer.
//
// If this instance holds the sender as suspect, dead or left, or at a later incarnation than the probe's, the answer
// carries that record, so that the sender can refute it: gossip about it may have ended before the sender received any.
func (m *Machine) HandleProbe(now time.Time, p Probe) Ack {
	m.Merge(now, p.Gossip)
	m.MergeReach(p.Reach)
	gossip := m.takeGossip()
	if r, ok := m.Find(p.From); ok && (r.Status != StatusAlive || r.Incarnation > p.Incarnation) {
		gossip = append(gossip, r)
	}
	return Ack{From: m.self.ID, Gossip: gossip, Reach: m.reachRecords()}
}

// HandleAck merges the gossip of the answer to a probe.
func (m *Machine) HandleAck(now time.Time, a Ack) {
	m.Merge(now, a.Gossip)
	m.MergeReach(a.Reach)
}

// HandleProbeFailure returns the indirect probe of a target that didn't answer a direct one. Without any member to
// probe through, it suspects the target at once and returns nothing.
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

// HandleIndirectFailure suspects a target that answered neither a direct nor an indirect probe.
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

// pickHelpers returns up to helperCount random alive members of this instance's data centre, without the target.
func (m *Machine) pickHelpers(target ID) []Record {
	var helpers []Record
	for _, r := range m.ServingIn(m.self.DataCentre) {
		if r.ID != target && r.ID != m.self.ID && r.Status == StatusAlive {
			helpers = append(helpers, r)
		}
	}
	m.Random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(helperCount, len(helpers))]
}

// Merge stores the valid records that are newer than the known ones. A record of this instance itself is refuted.
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

// refute handles a record of this instance that it did not announce: unless the record is older than its own, it raises
// its incarnation above the record's. An instance that has left refutes nothing.
func (m *Machine) refute(now time.Time, r Record) {
	isOwn := r.Incarnation == m.self.Incarnation && r.Status == m.self.Status
	if isOwn || r.Incarnation < m.self.Incarnation || m.self.Status == StatusLeft {
		return
	}
	m.raiseIncarnation(now, r.Incarnation+1)
	m.events = append(m.events, Event{EventRefuted, r})
}

// accept stores a record, queues it for gossip and adds the event for its change.
func (m *Machine) accept(now time.Time, r Record) {
	before, known := m.members[r.ID]
	kind := eventKindOf(before, known, r)
	m.store(r, now)
	m.queue.add(r.ID, m.transmissionLimit())
	if kind != "" {
		m.events = append(m.events, Event{kind, r})
	}
}

// eventKindOf returns the kind of event for a new record, or "" if the change needs none.
func eventKindOf(before *member, known bool, r Record) EventKind {
	wasServing := known && before.record.IsServing()
	switch {
	case r.Status == StatusLeft && wasServing:
		return EventLeft
	case r.Status == StatusDead && wasServing:
		return EventDead
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

// store replaces the record of a member and updates the digests and indexes.
func (m *Machine) store(r Record, now time.Time) {
	before, isKnown := m.Find(r.ID)
	if isKnown {
		m.toggleInDigest(before)
	}
	m.members[r.ID] = &member{record: r, changedAt: now}
	m.updateIndexes(before, r)
	m.toggleInDigest(r)
	m.changedIDs = append(m.changedIDs, r.ID)
	m.revision++
}

// purge deletes the record of a member from the digests, the indexes and the gossip queue.
func (m *Machine) purge(r Record) {
	m.toggleInDigest(r)
	delete(m.members, r.ID)
	m.updateIndexes(r, Record{})
	m.queue.remove(r.ID)
	m.revision++
}

// Find returns the record of an instance, and false if it is unknown.
func (m *Machine) Find(id ID) (Record, bool) {
	e, ok := m.members[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// updateIndexes moves a changed member to its data centre and drops the cached lists of serving members of the data
// centres concerned. An empty record before means a new member, an empty one after means a purged member.
func (m *Machine) updateIndexes(before, after Record) {
	if before.ID != "" && before.DataCentre != after.DataCentre {
		delete(m.idsByCentre[before.DataCentre], before.ID)
		delete(m.servingByCentre, before.DataCentre)
	}
	if after.ID == "" {
		return
	}
	if m.idsByCentre[after.DataCentre] == nil {
		m.idsByCentre[after.DataCentre] = map[ID]bool{}
	}
	m.idsByCentre[after.DataCentre][after.ID] = true
	delete(m.servingByCentre, after.DataCentre)
}

// ServingIn returns the serving members of a data centre in order of ID. The slice is cached and must not be modified.
func (m *Machine) ServingIn(d DataCentre) []Record {
	if group, ok := m.servingByCentre[d]; ok {
		return group
	}
	var group []Record
	for id := range m.idsByCentre[d] {
		if r := m.members[id].record; r.IsServing() {
			group = append(group, r)
		}
	}
	slices.SortFunc(group, compareIDs)
	m.servingByCentre[d] = group
	return group
}

// DeadMembers returns the dead members of a data centre, without those whose records were purged, in order of ID.
func (m *Machine) DeadMembers(d DataCentre) []Record {
	var dead []Record
	for _, e := range m.members {
		if e.record.DataCentre == d && e.record.Status == StatusDead {
			dead = append(dead, e.record)
		}
	}
	slices.SortFunc(dead, compareIDs)
	return dead
}

// Serving returns all serving members in order of data centre and ID.
func (m *Machine) Serving() []Record {
	var all []Record
	for _, d := range m.DataCentres() {
		all = append(all, m.ServingIn(d)...)
	}
	return all
}

// DataCentres returns the data centres that have a serving member, in order.
func (m *Machine) DataCentres() []DataCentre {
	var found []DataCentre
	for d := range m.idsByCentre {
		if len(m.ServingIn(d)) > 0 {
			found = append(found, d)
		}
	}
	slices.Sort(found)
	return found
}

// Len returns the number of known members, including this instance and those that are dead or left.
func (m *Machine) Len() int { return len(m.members) }
