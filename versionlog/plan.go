package versionlog

import (
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/declaration"
)

// Plan combines submissions into the change that follows a state.
//
// Submissions are evaluated in order. Each one is accepted or refused as a
// whole, and submissions that edit different declarations share the new version.
// The change is empty when no submission was accepted. Results are in the order
// of the submissions; submissions with the same request id get the same result.
func Plan(s State, submissions []Submission, now time.Time) (Change, []Result) {
	p := planner{state: s, set: s.set, changed: map[declaration.Key]Origin{}}
	results := make([]Result, 0, len(submissions))
	resultsByID := map[RequestID]Result{}
	for _, n := range submissions {
		if _, ok := resultsByID[n.RequestID]; !ok {
			resultsByID[n.RequestID] = p.evaluate(n)
		}
		results = append(results, resultsByID[n.RequestID])
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

// planner accumulates the accepted submissions of one change.
type planner struct {
	state State
	// set holds the declarations of state with the accepted edits applied.
	set declaration.Set
	// changed holds the origin of each declaration that an accepted submission edits.
	changed  map[declaration.Key]Origin
	accepted []Accepted
}

// evaluate decides on one submission and accepts its effective edits if nothing is wrong with them.
func (p *planner) evaluate(n Submission) Result {
	if n.RequestID == "" || len(n.RequestID) > MaximumRequestIDLength {
		return NewRefused(eris.Errorf("request id has %d bytes, must have 1 to %d", len(n.RequestID), MaximumRequestIDLength))
	}
	if v := p.committedIn(n); v > 0 {
		return NewAccepted(v)
	}
	if err := p.checkBases(n); err != nil {
		return NewRefused(err)
	}
	edits, err := p.effectiveEdits(n)
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

// committedIn returns the version that a submission is part of already, or 0 if that does not show.
func (p *planner) committedIn(n Submission) declaration.Version {
	for _, proposal := range n.Proposals {
		if o := p.state.Origin(proposal.Edit.Key); o.RequestID == n.RequestID {
			return o.Version
		}
	}
	return 0
}

// checkBases returns a *ConflictError when a declaration was changed after the operator read it.
func (p *planner) checkBases(n Submission) error {
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

// origin returns the last change of a declaration, including changes by submissions accepted before in this plan.
func (p *planner) origin(k declaration.Key) Origin {
	if o, ok := p.changed[k]; ok {
		return o
	}
	return p.state.Origin(k)
}

// effectiveEdits returns the edits that change the set, with each content in its canonical form.
func (p *planner) effectiveEdits(n Submission) ([]declaration.Edit, error) {
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

// accept adds a submission to the change; next is the set with its edits applied.
func (p *planner) accept(n Submission, edits []declaration.Edit, next declaration.Set) {
	p.set = next
	p.accepted = append(p.accepted, Accepted{RequestID: n.RequestID, Operator: n.Operator, Message: n.Message, Edits: edits})
	for _, e := range edits {
		p.changed[e.Key] = Origin{Version: p.state.version + 1, RequestID: n.RequestID, Operator: n.Operator}
	}
}
