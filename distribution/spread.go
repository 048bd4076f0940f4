package distribution

import (
	"cmp"
	"math"
	"slices"

	"siskinspar.example/membership"
)

// FanOut is the number of members to which one daemon passes a change on.
const FanOut = 4

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

// Scope says to whom a daemon passes a message on: to members of its own data centre, and, when HasCentres is set,
// to data centres of an interval.
type Scope struct {
	Members    Interval
	Centres    Interval
	HasCentres bool
}

// Mesh is the scope of a message that starts here and is for all daemons.
var Mesh = Scope{Members: Everyone, Centres: Everyone, HasCentres: true}

// Delegation hands a part of an interval to the first of its candidates that can be reached.
type Delegation struct {
	interval   Interval
	candidates []membership.Record
}

// Interval returns the part that the candidate becomes responsible for.
func (d Delegation) Interval() Interval { return d.interval }

// Candidates returns the members of the part in order of hash.
func (d Delegation) Candidates() []membership.Record { return d.candidates }

// SpreadCentres divides the data centres of an interval, without the own one, as Spread divides members; the
// candidates of a delegation carry the names of data centres.
func SpreadCentres(centres []membership.DataCentre, own membership.DataCentre, i Interval) []Delegation {
	group := make([]membership.Record, 0, len(centres))
	for _, d := range centres {
		group = append(group, membership.Record{ID: membership.ID(d), DataCentre: d})
	}
	return Spread(group, membership.ID(own), i)
}

// Spread divides the members of an interval, without the instance itself, into about FanOut delegations.
//
// The hash of the instance itself belongs to no delegation, so that no delegate hands it back. Between two
// delegations there is no other gap, so a member that only a delegate knows is still reached.
func Spread(group []membership.Record, self membership.ID, i Interval) []Delegation {
	members := slices.DeleteFunc(slices.Clone(group), func(r membership.Record) bool {
		return r.ID == self || !i.Contains(r.ID)
	})
	if len(members) == 0 {
		return nil
	}
	slices.SortFunc(members, func(a, b membership.Record) int { return cmp.Compare(a.ID.Hash(), b.ID.Hash()) })
	var delegations []Delegation
	for _, piece := range i.without(self) {
		inside := slices.DeleteFunc(slices.Clone(members), func(r membership.Record) bool { return !piece.Contains(r.ID) })
		parts := (FanOut*len(inside) + len(members) - 1) / len(members)
		delegations = append(delegations, piece.divide(inside, min(parts, len(inside)))...)
	}
	return delegations
}

// without returns the interval on both sides of an instance, or the whole of it when the instance is outside.
func (i Interval) without(self membership.ID) []Interval {
	if !i.Contains(self) {
		return []Interval{i}
	}
	var pieces []Interval
	h := self.Hash()
	if h > i.From {
		pieces = append(pieces, Interval{From: i.From, To: h - 1})
	}
	if h < i.To {
		pieces = append(pieces, Interval{From: h + 1, To: i.To})
	}
	return pieces
}

// divide splits the interval into parts with equally many of its members, which are in order of hash.
func (i Interval) divide(members []membership.Record, parts int) []Delegation {
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
