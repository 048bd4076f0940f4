package declare

import (
	"context"

	"siskinspar.example/cmd/change"
	"siskinspar.example/declaration"
)

// Step reads and checks the declarations of the directory.
type Step struct{}

// Name implements change.Step.
func (Step) Name() string { return "read declarations" }

// Defaults implements change.Step.
func (Step) Defaults(c *change.Change) {
	if c.Directory == "" {
		c.Directory = "."
	}
}

// Run implements change.Step.
func (Step) Run(_ context.Context, c *change.Change) error {
	set, err := declaration.ReadDirectory(c.Directory)
	c.Wanted = set
	return err
}
