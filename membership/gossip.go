package membership

import (
	"math/bits"
	"slices"
)

// gossipQueue holds the IDs of changed records that still have to be sent to other members.
type gossipQueue struct{ entries []gossipEntry }

type gossipEntry struct {
	id ID
	// transmissionsLeft is the number of messages in which the record still has to go out.
	transmissionsLeft int
}

// add queues a record for a number of messages, at least one, and replaces its earlier entry.
func (q *gossipQueue) add(id ID, transmissions int) {
	q.remove(id)
	q.entries = append(q.entries, gossipEntry{id: id, transmissionsLeft: max(1, transmissions)})
}

func (q *gossipQueue) remove(id ID) {
	q.entries = slices.DeleteFunc(q.entries, func(e gossipEntry) bool { return e.id == id })
}

// take returns up to count IDs for one message, those with the most transmissions left first, and drops entries that
// have none left.
func (q *gossipQueue) take(count int) []ID {
	slices.SortStableFunc(q.entries, func(a, b gossipEntry) int { return b.transmissionsLeft - a.transmissionsLeft })
	var ids []ID
	for i := range min(count, len(q.entries)) {
		ids = append(ids, q.entries[i].id)
		q.entries[i].transmissionsLeft--
	}
	q.entries = slices.DeleteFunc(q.entries, func(e gossipEntry) bool { return e.transmissionsLeft <= 0 })
	return ids
}

// transmissionLimit returns in how many messages this instance sends a changed record. It grows with the logarithm of
// the number of known members, as does the number of gossip rounds until a record has reached all of them.
func (m *Machine) transmissionLimit() int { return transmissionFactor * bits.Len(uint(len(m.members))) }

// takeGossip returns the queued records for one message.
func (m *Machine) takeGossip() []Record {
	ids := m.queue.take(gossipBatchSize)
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		if e, ok := m.members[id]; ok {
			records = append(records, e.record)
		}
	}
	return records
}
