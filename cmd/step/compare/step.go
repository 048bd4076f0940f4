package compare

import (
	"context"

	"github.com/rotisserie/eris"

	"siskinspar.example/cmd/change"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog"
)

// Step finds the difference between the wanted declarations and those in force.
type Step struct{}

// Name implements change.Step.
func (Step) Name() string { return "compare declarations" }

// Defaults implements change.Step.
func (Step) Defaults(*change.Change) {}

// Run implements change.Step.
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

func decode(d operatorapi.Declarations) (declaration.Set, map[declaration.Key]declaration.Version, error) {
	origins := map[declaration.Key]declaration.Version{}
	var entries []declaration.Entry
	for _, one := range d.Declared {
		e, err := declaration.DecodeEntry(one.Key, one.Content)
		if err != nil {
			return declaration.Set{}, nil, eris.Wrap(err, "decode the declarations in force")
		}
		entries = append(entries, e)
		origins[one.Key] = one.Origin.Version
	}
	for _, one := range d.Deleted {
		origins[one.Key] = one.Origin.Version
	}
	return declaration.NewSet(entries...), origins, nil
}
