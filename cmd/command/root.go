package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
)

// The exit codes.
const (
	ExitOK = 0
	// ExitFailure means that the command could not do its work.
	ExitFailure = 1
	// ExitInvalid means that the command line, the declarations or the settings are at fault.
	ExitInvalid = 2
	// ExitConflict means that another operator changed the same declarations first.
	ExitConflict = 3
	// ExitUnsettled means that it is not known whether the change was accepted.
	ExitUnsettled = 4
	// ExitLagging means that the version was accepted, but is not yet in force everywhere.
	ExitLagging = 5
)

// exitError carries the exit code of a command.
type exitError struct {
	code int
	err  error
}

// Error returns the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

func exit(code int, err error) error { return &exitError{code: code, err: err} }

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot(out, errOut)
	err := root.Run(ctx, arguments)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "siskinspar:", err)
	return codeOf(err)
}

func codeOf(err error) int {
	var coded *exitError
	var invalid *declaration.InvalidError
	var status *operatorapi.StatusError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &status) && status.Status() < 500:
		return ExitInvalid
	}
	return ExitFailure
}

func newRoot(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "siskinspar",
		Usage:     "distribute the configuration of a service mesh",
		Writer:    out,
		ErrWriter: errOut,
		// Exit codes are decided in one place, by Execute.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newDaemon(),
			newStandin(),
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
			newLoad(),
			newDemo(),
		},
	}
}
