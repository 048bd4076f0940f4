package versionlog

import (
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/declaration"
)

// Plan combines submissions into the change that follows a state.
//
// Submissions are taken in order; each one is accepted whole or not at all,
// and disjoint ones share the version. The change is empty when no submission
// was accepted. Results are in the order of the submissions, and a submission
// that stands twice gets one result.
func Plan(s State, submissions []Submission, now time.Time) (Change, []Result) {
	p := planner{state: s, set: s.set, touched: map[declaration.Key]Origin{}}
	results := make([]Result, 0, len(submissions))
	known := map[RequestID]Result{}
	for _, n := range submissions {
		if _, ok := known[n.RequestID]; !ok {
			known[n.RequestID] = p.consider(n)
		}
		results = append(results, known[n.RequestID])
	}
	if len(p.accepted) == 0 {
		return Change{}, results
	}
	return Change{
		Version:  s.version + 1,
		Previous: s.set.Digest(),
		Digest:   p.set.Digest(),
		Time:     now,
		Accepted: p.accepted,
	}, results
}

type planner struct {
	state    State
	set      declaration.Set
	touched  map[declaration.Key]Origin
	accepted []Accepted
}

func (p *planner) consider(n Submission) Result {
	if n.RequestID == "" || len(n.RequestID) > MaximumRequestIDLength {
		return NewRefused(eris.New("request id must have 1 to 128 characters"))
	}
	if err := p.findConflicts(n); err != nil {
		return NewRefused(err)
	}
	edits, err := p.changedEdits(n)
	if err != nil {
		return NewRefused(err)
	}
	if len(edits) == 0 {
		return NewUnchanged(p.state.version)
	}
	next, err := p.set.With(edits)
	if err != nil {
		return NewRefused(err)
	}
	if err := declaration.CheckChange(next, edits); err != nil {
		return NewRefused(err)
	}
	p.accept(n, edits, next)
	return NewAccepted(p.state.version + 1)
}

func (p *planner) findConflicts(n Submission) error {
	var conflicts []Conflict
	for _, proposal := range n.Proposals {
		key := proposal.Edit.Key
		theirs := p.origin(key)
		if theirs.Version != proposal.Base {
			conflicts = append(conflicts, Conflict{Key: key, Base: proposal.Base, Theirs: theirs})
		}
	}
	if len(conflicts) == 0 {
		return nil
	}
	return &ConflictError{operator: n.Operator, conflicts: conflicts}
}

func (p *planner) origin(k declaration.Key) Origin {
	if o, ok := p.touched[k]; ok {
		return o
	}
	return p.state.Origin(k)
}

// changedEdits drops edits without effect and stores each content in its canonical form.
func (p *planner) changedEdits(n Submission) ([]declaration.Edit, error) {
	var edits []declaration.Edit
	for _, proposal := range n.Proposals {
		e := proposal.Edit
		current, exists := p.set.Find(e.Key)
		if e.IsDelete() {
			if exists {
				edits = append(edits, e)
			}
			continue
		}
		entry, err := declaration.DecodeEntry(e.Key, e.Content)
		if err != nil {
			return nil, err
		}
		if !exists || !current.IsSame(entry) {
			edits = append(edits, declaration.Edit{Key: e.Key, Content: entry.Content()})
		}
	}
	return edits, nil
}

func (p *planner) accept(n Submission, edits []declaration.Edit, next declaration.Set) {
	p.set = next
	p.accepted = append(p.accepted, Accepted{RequestID: n.RequestID, Operator: n.Operator, Message: n.Message, Edits: edits})
	for _, e := range edits {
		p.touched[e.Key] = Origin{Version: p.state.version + 1, RequestID: n.RequestID, Operator: n.Operator}
	}
}
