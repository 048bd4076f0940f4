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

// newPlan returns the command that shows the proposals of apply and submits nothing.
func newPlan() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what apply would change",
		ArgsUsage: "DIR",
		Flags:     option.OperatorFlags(pruneFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			chg, err := newChange(c)
			if err != nil {
				return err
			}
			if err := change.Run(ctx, chg, []change.Step{declare.Step{}, compare.Step{}}); err != nil {
				return err
			}
			return option.Show(c, newPlanOutput(chg), func(w io.Writer) { writePlan(w, chg) })
		},
	}
}

func pruneFlag() cli.Flag {
	return &cli.BoolFlag{Name: "prune", Usage: "delete declarations that are not in the directory"}
}

// newChange returns a change with the options of the command line that plan and apply share.
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

// planOutput is the output of plan as JSON.
type planOutput struct {
	Base    declaration.Version `json:"base"`
	Changes []plannedChange     `json:"changes"`
}

// plannedChange is one change of the output; Base is the version that last changed the declaration, 0 for none.
type plannedChange struct {
	Action string              `json:"action"`
	Key    declaration.Key     `json:"key"`
	Base   declaration.Version `json:"base"`
}

func newPlanOutput(chg *change.Change) planOutput {
	result := planOutput{Base: chg.Base, Changes: []plannedChange{}}
	for _, p := range chg.Proposals {
		result.Changes = append(result.Changes, plannedChange{Action: action(p), Key: p.Edit.Key, Base: p.Base})
	}
	return result
}

// action returns "create", "change" or "delete".
func action(p versionlog.Proposal) string {
	switch {
	case p.Edit.IsDelete():
		return "delete"
	case p.Base == 0:
		return "create"
	}
	return "change"
}

func writePlan(w io.Writer, chg *change.Change) {
	fmt.Fprintf(w, "version in force: %d\n", chg.Base)
	for _, p := range chg.Proposals {
		fmt.Fprintf(w, "%-6s %s\n", action(p), p.Edit.Key)
	}
	if len(chg.Proposals) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}
