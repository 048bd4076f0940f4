package versionlog_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinspar.example/declaration"
	"siskinspar.example/versionlog"
)

func proposal(t rapid.TB, name, value string, base declaration.Version) versionlog.Proposal {
	t.Helper()
	e, err := declaration.NewServiceEntry(declaration.Service{Name: name, BackendServers: declaration.Selector{"service": value}})
	assert.NilError(t, err)
	return versionlog.Proposal{Edit: declaration.Edit{Key: e.Key(), Content: e.Content()}, Base: base}
}

func submission(id, operator string, p ...versionlog.Proposal) versionlog.Submission {
	return versionlog.Submission{RequestID: versionlog.RequestID(id), Operator: operator, Proposals: p}
}

func TestDisjointSubmissionsShareAVersionAndConflictsNameBothOperators(t *testing.T) {
	change, results := versionlog.Plan(versionlog.State{}, []versionlog.Submission{
		submission("1", "ann", proposal(t, "a", "x", 0)),
		submission("2", "ben", proposal(t, "b", "x", 0)),
		submission("3", "cat", proposal(t, "a", "y", 0)),
		submission("1", "ann", proposal(t, "a", "x", 0)),
		submission("", "dan", proposal(t, "c", "x", 0)),
	}, time.Unix(0, 0))
	assert.Equal(t, len(change.Accepted), 2)
	assert.Equal(t, results[0].Version(), declaration.Version(1))
	assert.Equal(t, results[1].Version(), declaration.Version(1))
	assert.ErrorContains(t, results[2].Err(), `operator "cat" read it at version 0, but operator "ann"`)
	assert.Equal(t, results[3], results[0])
	assert.Equal(t, results[4].Disposition(), versionlog.DispositionRefused)
}

// TestASubmissionThatIsCommittedAlreadyIsAccepted guards against a submission that is refused because of its own change:
// the answer of the store to its commit may be lost, and the search for its request id fail.
func TestASubmissionThatIsCommittedAlreadyIsAccepted(t *testing.T) {
	own := submission("1", "ann", proposal(t, "a", "x", 0), proposal(t, "b", "x", 0))
	change, _ := versionlog.Plan(versionlog.State{}, []versionlog.Submission{own}, time.Unix(0, 0))
	state, err := versionlog.State{}.Apply(change)
	assert.NilError(t, err)
	other, _ := versionlog.Plan(state, []versionlog.Submission{submission("2", "ben", proposal(t, "a", "y", 1))}, time.Unix(0, 0))
	state, err = state.Apply(other)
	assert.NilError(t, err)
	again, results := versionlog.Plan(state, []versionlog.Submission{own}, time.Unix(0, 0))
	assert.Equal(t, len(again.Accepted), 0)
	assert.Equal(t, results[0].Disposition(), versionlog.DispositionAccepted)
	assert.Equal(t, results[0].Version(), declaration.Version(1))
}

func TestApplyRefusesAnInvalidChangeAsAWhole(t *testing.T) {
	state := versionlog.State{}
	good, _ := versionlog.Plan(state, []versionlog.Submission{submission("1", "ann", proposal(t, "a", "x", 0))}, time.Unix(0, 0))
	for _, c := range []struct {
		name    string
		corrupt func(*versionlog.Change)
		reason  versionlog.Reason
	}{
		{"a skipped version", func(c *versionlog.Change) { c.Version = 2 }, versionlog.ReasonOrder},
		{"an older version", func(c *versionlog.Change) { c.Version = 0 }, versionlog.ReasonOrder},
		{"a wrong previous digest", func(c *versionlog.Change) { c.Previous = "x" }, versionlog.ReasonDigest},
		{"a wrong resulting digest", func(c *versionlog.Change) { c.Digest = "x" }, versionlog.ReasonDigest},
		{"a missing edit", func(c *versionlog.Change) { c.Accepted = nil }, versionlog.ReasonDigest},
		{"truncated content", func(c *versionlog.Change) {
			a := c.Accepted[0]
			a.Edits = []declaration.Edit{{Key: a.Edits[0].Key, Content: a.Edits[0].Content[:9]}}
			c.Accepted = []versionlog.Accepted{a}
		}, versionlog.ReasonContent},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad := good
			c.corrupt(&bad)
			after, err := state.Apply(bad)
			var refused *versionlog.RefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.Equal(t, refused.Reason(), c.reason)
			assert.Equal(t, after.Version(), state.Version())
			assert.Equal(t, after.Set().Len(), 0)
		})
	}
}

// TestPlanAndApplyKeepEveryAcceptedEdit compares the state with a map of the accepted values after random
// submissions, of which some are stale and some delete, and restores the state from its image after each change.
func TestPlanAndApplyKeepEveryAcceptedEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := versionlog.State{}
		expected := map[string]string{}
		for round := range rapid.IntRange(1, 20).Draw(t, "rounds") {
			var batch []versionlog.Submission
			for n := range rapid.IntRange(1, 4).Draw(t, "batch") {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				key := declaration.Key{Kind: declaration.KindService, Name: name}
				base := state.Origin(key).Version
				if rapid.Bool().Draw(t, "stale") {
					base = declaration.Version(rapid.Uint64Range(0, uint64(base)).Draw(t, "base"))
				}
				p := proposal(t, name, fmt.Sprintf("v%d-%d", round, n), base)
				if rapid.IntRange(0, 4).Draw(t, "deletes") == 0 {
					p.Edit.Content = nil
				}
				batch = append(batch, submission(fmt.Sprintf("%d-%d", round, n), "ann", p))
			}
			change, results := versionlog.Plan(state, batch, time.Unix(0, 0))
			for i, r := range results {
				if r.Disposition() != versionlog.DispositionAccepted {
					continue
				}
				edit := batch[i].Proposals[0].Edit
				delete(expected, edit.Key.Name)
				if !edit.IsDelete() {
					expected[edit.Key.Name] = string(edit.Content)
				}
			}
			if len(change.Accepted) == 0 {
				continue
			}
			next, err := state.Apply(change)
			assert.NilError(t, err)
			assert.Equal(t, next.Version(), state.Version()+1)
			restored, err := versionlog.Restore(next.Image())
			assert.NilError(t, err)
			assert.Equal(t, restored.Set().Digest(), next.Set().Digest())
			state = next
		}
		assert.Equal(t, state.Set().Len(), len(expected))
		for name, content := range expected {
			e, _ := state.Set().Find(declaration.Key{Kind: declaration.KindService, Name: name})
			assert.Equal(t, string(e.Content()), content)
		}
	})
}
