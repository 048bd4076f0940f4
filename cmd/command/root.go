package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/instance"
	"siskinspar.example/cmd/option"
	"siskinspar.example/cmd/trial"
)

// Execute runs the command line in arguments, which begin with the name of the program, and returns the exit code.
// SIGINT and SIGTERM cancel the context of the command. An error goes to errOut.
func Execute(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot(out, errOut)
	err := root.Run(ctx, arguments)
	if err == nil {
		return option.ExitOK
	}
	fmt.Fprintln(errOut, "siskinspar:", err)
	return option.ExitCode(err)
}

func newRoot(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "siskinspar",
		Usage:     "distribute the configuration of a service mesh",
		Writer:    out,
		ErrWriter: errOut,
		// Execute alone decides the exit code, so the library must not exit on an error.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newDaemon(),
			instance.NewSidecar(),
			trial.NewSoak(),
			trial.NewStandin(),
			newValidate(),
			newPlan(),
			newApply(),
			newStatus(),
			newHistory(),
			newRollback(),
			newDrain(),
			newQuarantine(),
			newTimeline(),
			newSettings(),
			trial.NewLoad(),
			trial.NewDemo(),
		},
	}
}
