package distribution

import (
	"cmp"
	"math"
	"slices"

	"siskinspar.example/membership"
)

// FanOut is the number of members to which one daemon passes a change on.
const FanOut = 8

// Interval is a closed range of instance hashes for which a daemon is responsible.
type Interval struct {
	From uint64
	To   uint64
}

// Everyone is the interval that holds every instance.
var Everyone = Interval{From: 0, To: math.MaxUint64}

// Contains reports whether an instance falls into the interval.
func (i Interval) Contains(id membership.ID) bool {
	h := id.Hash()
	return h >= i.From && h <= i.To
}

// Delegation hands a part of an interval to the first of its candidates that can be reached.
type Delegation struct {
	interval   Interval
	candidates []membership.Record
}

// Interval returns the part that the candidate becomes responsible for.
func (d Delegation) Interval() Interval { return d.interval }

// Candidates returns the members of the part in order of hash.
func (d Delegation) Candidates() []membership.Record { return d.candidates }

// Spread divides the members of an interval into at most FanOut delegations without gaps.
//
// Every hash of the interval belongs to a delegation, so a member that only a
// delegate knows is still reached.
func Spread(group []membership.Record, self membership.ID, i Interval) []Delegation {
	members := slices.DeleteFunc(slices.Clone(group), func(r membership.Record) bool {
		return r.ID == self || !i.Contains(r.ID)
	})
	slices.SortFunc(members, func(a, b membership.Record) int { return cmp.Compare(a.ID.Hash(), b.ID.Hash()) })
	parts := min(FanOut, len(members))
	delegations := make([]Delegation, 0, parts)
	from := i.From
	for p := range parts {
		candidates := members[p*len(members)/parts : (p+1)*len(members)/parts]
		to := candidates[len(candidates)-1].ID.Hash()
		if p == parts-1 {
			to = i.To
		}
		delegations = append(delegations, Delegation{interval: Interval{From: from, To: to}, candidates: candidates})
		from = to + 1
	}
	return delegations
}
