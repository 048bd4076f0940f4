package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/change"
	"siskinspar.example/cmd/option"
	"siskinspar.example/cmd/step/compare"
	"siskinspar.example/cmd/step/declare"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog"
)

func newPlan() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what apply would change",
		ArgsUsage: "DIR",
		Flags:     option.OperatorFlags(pruneFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newChange(c)
			if err != nil {
				return err
			}
			if err := change.Run(ctx, p, []change.Step{declare.Step{}, compare.Step{}}); err != nil {
				return err
			}
			return option.Show(c, plannedOf(p), func(w io.Writer) { writePlan(w, p) })
		},
	}
}

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "delete declarations that the directory lacks"}
}

// newChange returns a change with the options of the command line.
func newChange(c *cli.Command) (*change.Change, error) {
	directory, err := option.Argument(c, "DIR")
	if err != nil {
		return nil, err
	}
	client, err := option.NewClient(c)
	if err != nil {
		return nil, err
	}
	return &change.Change{
		Directory: directory,
		Client:    client,
		IsPruning: c.Bool("prune"),
		Logger:    option.NewLogger(c.Root().ErrWriter, logLevel(c)),
	}, nil
}

type planned struct {
	Base    declaration.Version `json:"base"`
	Changes []plannedChange     `json:"changes"`
}

type plannedChange struct {
	Action string              `json:"action"`
	Key    declaration.Key     `json:"key"`
	Base   declaration.Version `json:"base"`
}

func plannedOf(p *change.Change) planned {
	result := planned{Base: p.Base, Changes: []plannedChange{}}
	for _, n := range p.Proposals {
		result.Changes = append(result.Changes, plannedChange{Action: actionOf(n), Key: n.Edit.Key, Base: n.Base})
	}
	return result
}

func actionOf(n versionlog.Proposal) string {
	switch {
	case n.Edit.IsDelete():
		return "delete"
	case n.Base == 0:
		return "create"
	}
	return "change"
}

func writePlan(w io.Writer, p *change.Change) {
	fmt.Fprintf(w, "version in force: %d\n", p.Base)
	for _, n := range p.Proposals {
		fmt.Fprintf(w, "%-6s %s\n", actionOf(n), n.Edit.Key)
	}
	if len(p.Proposals) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}
