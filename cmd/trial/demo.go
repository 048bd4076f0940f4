package trial

import (
	"context"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/demo"
)

// NewDemo returns the command that runs the demo.
func NewDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole mesh on loopback and check its guarantees",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the order of requests", Value: 1}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return (&demo.Demo{Out: c.Root().Writer, Seed: c.Uint64("seed")}).Run(ctx)
		},
	}
}
