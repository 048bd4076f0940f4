package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/change"
	"siskinspar.example/cmd/option"
	"siskinspar.example/cmd/step/await"
	"siskinspar.example/cmd/step/compare"
	"siskinspar.example/cmd/step/declare"
	"siskinspar.example/cmd/step/submit"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/versionlog"
)

// applySteps lists the steps of apply in the order in which they run.
var applySteps = []change.Step{
	declare.Step{},
	compare.Step{},
	submit.Step{},
	await.Step{},
}

func newApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put the declarations of a directory in force on all daemons",
		ArgsUsage: "DIR",
		Flags: option.OperatorFlags(append(changeFlags(), pruneFlag(),
			&cli.StringFlag{Name: "message", Usage: "`TEXT` for the history"},
			&cli.StringFlag{Name: "request-id", Usage: "`ID` of an earlier attempt whose outcome is unknown"},
		)...),
		Action: runApply,
	}
}

// changeFlags returns the flags of the commands that create a new version.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force on every reachable daemon"},
		&cli.DurationFlag{Name: "wait-limit", Usage: "longest `TIME` to wait", Value: 30 * time.Second},
		&cli.StringFlag{Name: "as", Usage: "`NAME` of the operator in the history"},
		&cli.BoolFlag{Name: "verbose", Usage: "log each step"},
	}
}

// logLevel returns the level from which the steps are logged: debug with --verbose, or else warning.
func logLevel(c *cli.Command) slog.Level {
	if c.Bool("verbose") {
		return slog.LevelDebug
	}
	return slog.LevelWarn
}

// waitLimit returns the longest time to wait for convergence, 0 without --wait.
func waitLimit(c *cli.Command) time.Duration {
	if !c.Bool("wait") {
		return 0
	}
	return c.Duration("wait-limit")
}

func runApply(ctx context.Context, c *cli.Command) error {
	chg, err := newChange(c)
	if err != nil {
		return err
	}
	chg.Operator = c.String("as")
	chg.Message = c.String("message")
	chg.RequestID = versionlog.RequestID(c.String("request-id"))
	chg.Wait = waitLimit(c)
	if err := change.Run(ctx, chg, applySteps); err != nil {
		return err
	}
	return report(c, chg)
}

// applyOutput is the output of apply and rollback; Convergence is nil without --wait.
type applyOutput struct {
	Result      operatorapi.SubmissionResult `json:"result"`
	Convergence *operatorapi.Convergence     `json:"convergence,omitempty"`
}

// report shows the result of a change and returns the error that decides the exit code.
func report(c *cli.Command, chg *change.Change) error {
	result := applyOutput{Result: chg.Result}
	if chg.Wait > 0 && chg.Result.Version > 0 {
		result.Convergence = &chg.Convergence
	}
	if err := option.Show(c, result, func(w io.Writer) { writeApplyOutput(w, result) }); err != nil {
		return err
	}
	return outcomeError(chg)
}

// outcomeError returns an error with the exit code for a change that was refused, whose outcome is unknown, or that
// is not in force on every reachable daemon after the wait, and nil for any other change.
func outcomeError(chg *change.Change) error {
	switch {
	case len(chg.Result.Conflicts) > 0:
		return option.WithExitCode(option.ExitConflict, eris.New(chg.Result.Reason))
	case chg.Result.Disposition == versionlog.DispositionRefused:
		return option.WithExitCode(option.ExitInvalid, eris.New(chg.Result.Reason))
	case chg.Result.Disposition == versionlog.DispositionUnsettled:
		return option.WithExitCode(option.ExitUnsettled, eris.New(chg.Result.Reason))
	case chg.Wait > 0 && !chg.Convergence.IsComplete():
		return option.WithExitCode(option.ExitLagging, eris.Errorf("version %d is not yet in force on %v", chg.Result.Version, chg.Convergence.Lagging))
	}
	return nil
}

func writeApplyOutput(w io.Writer, r applyOutput) {
	if r.Result.Version > 0 {
		fmt.Fprintf(w, "%s: version %d\n", r.Result.Disposition, r.Result.Version)
	}
	for _, warning := range r.Result.Warnings {
		fmt.Fprintln(w, "warning:", warning)
	}
	if r.Convergence == nil {
		return
	}
	fmt.Fprintf(w, "in force on %d daemons\n", r.Convergence.InForce)
	for _, id := range r.Convergence.Lagging {
		fmt.Fprintln(w, "lagging:", id)
	}
	for _, id := range r.Convergence.Unreachable {
		fmt.Fprintln(w, "unreachable:", id)
	}
}
