package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/declaration"
)

func newValidate() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check the declarations of a directory without a daemon",
		ArgsUsage: "DIR",
		Flags:     []cli.Flag{option.OutputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			directory, err := option.Argument(c, "DIR")
			if err != nil {
				return err
			}
			set, err := declaration.ReadDirectory(directory)
			if err != nil {
				return err
			}
			result := validateOutput{Declarations: set.Len(), Digest: set.Digest()}
			return option.Show(c, result, func(w io.Writer) {
				fmt.Fprintf(w, "%d declarations, digest %s\n", result.Declarations, result.Digest)
			})
		},
	}
}

// validateOutput is the output of validate as JSON.
type validateOutput struct {
	Declarations int                `json:"declarations"`
	Digest       declaration.Digest `json:"digest"`
}
