package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/daemon/operatorapi"
)

func newDrain() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "stop sending new requests to the backend servers of a daemon's instance",
		Flags: option.OperatorFlags(&cli.BoolFlag{Name: "undo", Usage: "send new requests again"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := option.NewClient(c)
			if err != nil {
				return err
			}
			isDraining := !c.Bool("undo")
			if err := client.Drain(ctx, operatorapi.Drain{IsDraining: isDraining}); err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "draining: %t\n", isDraining)
			return nil
		},
	}
}
