package distribution_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

func newGroup(size int) []membership.Record {
	group := make([]membership.Record, 0, size)
	for i := range size {
		group = append(group, membership.Record{ID: membership.ID(fmt.Sprintf("instance-%d", i))})
	}
	return group
}

// reach counts how often each member is visited when every delegate passes its interval on.
func reach(group []membership.Record, at membership.ID, i distribution.Interval, visits map[membership.ID]int) {
	visits[at]++
	if visits[at] > 1 {
		return
	}
	for _, d := range distribution.Spread(group, at, i) {
		reach(group, d.Candidates()[0].ID, d.Interval(), visits)
	}
}

func TestSpreadReachesEveryMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newGroup(rapid.IntRange(1, 200).Draw(t, "size"))
		root := group[rapid.IntRange(0, len(group)-1).Draw(t, "root")].ID
		visits := map[membership.ID]int{}
		reach(group, root, distribution.Everyone, visits)
		assert.Equal(t, len(visits), len(group))
		for id, n := range visits {
			assert.Equal(t, n, 1, "%s", id)
		}
	})
}

func TestSpreadReachesMembersThatOnlyADelegateKnows(t *testing.T) {
	group := newGroup(40)
	known := group[:20]
	visits := map[membership.ID]int{}
	for _, d := range distribution.Spread(known, known[0].ID, distribution.Everyone) {
		reach(group, d.Candidates()[0].ID, d.Interval(), visits)
	}
	assert.Assert(t, len(visits) >= 36, "only intervals without a known member may be missed, reached %d", len(visits))
}

func TestRelaysAreTheSameWhateverTheOrderOfTheGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newGroup(rapid.IntRange(1, 50).Draw(t, "size"))
		shuffled := rapid.Permutation(group).Draw(t, "shuffled")
		assert.DeepEqual(t, distribution.Relays(group, "a"), distribution.Relays(shuffled, "a"))
		assert.Equal(t, len(distribution.Relays(group, "a")), min(distribution.RelayCount, len(group)))
	})
}
