package membership

import (
	"math/bits"
	"slices"
)

// gossipQueue holds the records that still have to be passed on, the least often sent first.
type gossipQueue struct{ entries []gossipEntry }

type gossipEntry struct {
	id   ID
	left int
}

func (q *gossipQueue) add(id ID, transmissions int) {
	q.remove(id)
	q.entries = append(q.entries, gossipEntry{id: id, left: max(1, transmissions)})
}

func (q *gossipQueue) remove(id ID) {
	q.entries = slices.DeleteFunc(q.entries, func(e gossipEntry) bool { return e.id == id })
}

func (q *gossipQueue) take(count int) []ID {
	slices.SortStableFunc(q.entries, func(a, b gossipEntry) int { return b.left - a.left })
	var ids []ID
	for i := range min(count, len(q.entries)) {
		ids = append(ids, q.entries[i].id)
		q.entries[i].left--
	}
	q.entries = slices.DeleteFunc(q.entries, func(e gossipEntry) bool { return e.left <= 0 })
	return ids
}

func (m *Machine) transmissions() int { return gossipFactor * bits.Len(uint(len(m.members))) }

func (m *Machine) takeGossip() []Record {
	ids := m.queue.take(gossipSize)
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		if e, ok := m.members[id]; ok {
			records = append(records, e.record)
		}
	}
	return records
}
