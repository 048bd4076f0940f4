package declare

import (
	"context"

	"siskinspar.example/cmd/change"
	"siskinspar.example/declaration"
)

// Step reads and validates the declarations of the directory.
type Step struct{}

// Name returns the name of the step. It implements change.Step.
func (Step) Name() string { return "read declarations" }

// Defaults sets the working directory as the directory. It implements change.Step.
func (Step) Defaults(c *change.Change) {
	if c.Directory == "" {
		c.Directory = "."
	}
}

// Run sets Wanted. It implements change.Step.
func (Step) Run(_ context.Context, c *change.Change) error {
	set, err := declaration.ReadDirectory(c.Directory)
	c.Wanted = set
	return err
}
