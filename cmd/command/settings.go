package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
)

func newSettings() *cli.Command {
	return &cli.Command{
		Name:     "settings",
		Usage:    "work with settings files",
		Commands: []*cli.Command{newSettingsCheck()},
	}
}

func newSettingsCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "list every fault in a settings file",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := option.Argument(c, "FILE")
			if err != nil {
				return err
			}
			if _, err := readSettings(path); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, path+": no faults")
			return nil
		},
	}
}
