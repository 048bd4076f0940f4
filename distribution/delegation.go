package distribution

import (
	"cmp"
	"math"
	"slices"

	"siskinspar.example/membership"
)

// FanOut is the intended number of delegates to which one daemon forwards a message; rounding can add one.
const FanOut = 4

// Interval is a range of instance hashes, both ends included, whose members a daemon has to cover when it forwards a
// message or collects answers.
type Interval struct {
	From uint64
	To   uint64
}

// FullInterval is the interval of all hashes, which holds every instance.
var FullInterval = Interval{From: 0, To: math.MaxUint64}

// Contains reports whether the hash of an instance is in the interval.
func (i Interval) Contains(id membership.ID) bool {
	h := id.Hash()
	return h >= i.From && h <= i.To
}

// Scope says to whom a daemon forwards a message: to members of its own data centre and, when HasCentres is set, to
// other data centres.
type Scope struct {
	// Members is the interval of members of the daemon's own data centre. The zero value covers only the hash 0, so in
	// effect no member.
	Members Interval
	// Centres is the interval of data centres, by the hash of their name.
	Centres Interval
	// HasCentres is set when Centres applies.
	HasCentres bool
}

// WholeMesh is the scope with which a daemon begins to send a message of its own to all daemons.
var WholeMesh = Scope{Members: FullInterval, Centres: FullInterval, HasCentres: true}

// Delegation is a part of an interval and the candidates for it: the first one that can be reached becomes the
// delegate, which forwards the message to the rest of that part.
type Delegation struct {
	interval   Interval
	candidates []membership.Record
}

// Interval returns the part to which the delegate forwards the message.
func (d Delegation) Interval() Interval { return d.interval }

// Candidates returns the known members of the part in order of hash.
func (d Delegation) Candidates() []membership.Record { return d.candidates }

// DelegateCentres divides the data centres of an interval, without this instance's own, as DelegateMembers divides
// members. The candidates of its delegations are no instances: their ID and DataCentre are both the name of a data
// centre.
func DelegateCentres(centres []membership.DataCentre, own membership.DataCentre, i Interval) []Delegation {
	group := make([]membership.Record, 0, len(centres))
	for _, d := range centres {
		group = append(group, membership.Record{ID: membership.ID(d), DataCentre: d})
	}
	return DelegateMembers(group, membership.ID(own), i)
}

// DelegateMembers divides the members of an interval, without the instance itself, into about FanOut delegations.
//
// The hash of the instance itself is in no delegation, so that no delegate sends the message back. There is no other
// gap between two delegations, so a member that only a delegate knows is reached too.
func DelegateMembers(group []membership.Record, self membership.ID, i Interval) []Delegation {
	members := slices.DeleteFunc(slices.Clone(group), func(r membership.Record) bool {
		return r.ID == self || !i.Contains(r.ID)
	})
	if len(members) == 0 {
		return nil
	}
	slices.SortFunc(members, func(a, b membership.Record) int { return cmp.Compare(a.ID.Hash(), b.ID.Hash()) })
	var delegations []Delegation
	for _, piece := range i.exclude(self) {
		inside := slices.DeleteFunc(slices.Clone(members), func(r membership.Record) bool { return !piece.Contains(r.ID) })
		parts := (FanOut*len(inside) + len(members) - 1) / len(members)
		delegations = append(delegations, piece.divide(inside, min(parts, len(inside)))...)
	}
	return delegations
}

// exclude returns the parts of the interval below and above the hash of an instance, or the whole interval when it
// doesn't contain the instance.
func (i Interval) exclude(self membership.ID) []Interval {
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

// divide splits the interval into parts with about equally many of the given members, which are in order of hash and
// not fewer than the parts.
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
