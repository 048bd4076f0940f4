package command

import "github.com/urfave/cli/v3"

func newDemo() *cli.Command { return &cli.Command{Name: "demo"} }
