package command

import (
	"context"
	"strconv"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/change"
	"siskinspar.example/cmd/option"
	"siskinspar.example/cmd/step/await"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog"
)

func newRollback() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "create a new version with the content of an earlier one",
		ArgsUsage: "VERSION",
		Flags:     option.OperatorFlags(changeFlags()...),
		Action:    runRollback,
	}
}

func runRollback(ctx context.Context, c *cli.Command) error {
	text, err := option.Argument(c, "VERSION")
	if err != nil {
		return err
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return option.WithExitCode(option.ExitInvalid, eris.Errorf("%q is not a version number", text))
	}
	client, err := option.NewClient(c)
	if err != nil {
		return err
	}
	chg := &change.Change{Client: client, Wait: waitLimit(c), Logger: option.NewLogger(c.Root().ErrWriter, logLevel(c))}
	chg.Result, err = client.Rollback(ctx, operatorapi.Rollback{
		Version: declaration.Version(v), RequestID: versionlog.RequestID(uuid.NewString()), Operator: c.String("as"),
	})
	if err != nil {
		return err
	}
	if err := change.Run(ctx, chg, []change.Step{await.Step{}}); err != nil {
		return err
	}
	return report(c, chg)
}
