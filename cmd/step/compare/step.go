package compare

import (
	"context"

	"github.com/rotisserie/eris"

	"siskinspar.example/cmd/change"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog"
)

// Step turns the difference between the wanted declarations and those in force into proposals.
type Step struct{}

// Name returns the name of the step. It implements change.Step.
func (Step) Name() string { return "compare declarations" }

// Defaults sets nothing. It implements change.Step.
func (Step) Defaults(*change.Change) {}

// Run sets Base to the version in force, and adds a proposal for each difference, based on the version that last
// changed the declaration. It implements change.Step.
func (Step) Run(ctx context.Context, c *change.Change) error {
	current, err := c.Client.Declarations(ctx, 0)
	if err != nil {
		return err
	}
	c.Base = current.Version
	set, origins, err := decode(current)
	if err != nil {
		return err
	}
	for _, e := range set.Difference(c.Wanted, c.IsPruning) {
		c.Proposals = append(c.Proposals, versionlog.Proposal{Edit: e, Base: origins[e.Key]})
	}
	return nil
}

// decode returns the declarations in force and, for each declaration and each deleted one, the version that last
// changed it.
func decode(d operatorapi.Declarations) (declaration.Set, map[declaration.Key]declaration.Version, error) {
	origins := map[declaration.Key]declaration.Version{}
	var entries []declaration.Entry
	for _, declared := range d.Declared {
		e, err := declaration.DecodeEntry(declared.Key, declared.Content)
		if err != nil {
			return declaration.Set{}, nil, eris.Wrap(err, "decode the declarations in force")
		}
		entries = append(entries, e)
		origins[declared.Key] = declared.Origin.Version
	}
	for _, deleted := range d.Deleted {
		origins[deleted.Key] = deleted.Origin.Version
	}
	return declaration.NewSet(entries...), origins, nil
}
