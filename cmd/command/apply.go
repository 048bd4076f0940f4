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

// applySteps lists the steps of apply in running order.
var applySteps = []change.Step{
	declare.Step{},
	compare.Step{},
	submit.Step{},
	await.Step{},
}

func newApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put the declarations of a directory in force",
		ArgsUsage: "DIR",
		Flags: option.OperatorFlags(append(changeFlags(), pruneFlag(),
			&cli.StringFlag{Name: "message", Usage: "`TEXT` for the history"},
			&cli.StringFlag{Name: "request-id", Usage: "`ID` of an earlier try whose outcome is not known"},
		)...),
		Action: runApply,
	}
}

// changeFlags are the flags of the commands that make a new version.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "return when the version is in force on every reachable daemon"},
		&cli.DurationFlag{Name: "wait-limit", Usage: "longest `TIME` to wait", Value: 30 * time.Second},
		&cli.StringFlag{Name: "as", Usage: "`NAME` of the operator in the history"},
		&cli.BoolFlag{Name: "verbose", Usage: "log each step"},
	}
}

func logLevel(c *cli.Command) slog.Level {
	if c.Bool("verbose") {
		return slog.LevelDebug
	}
	return slog.LevelWarn
}

func waitOf(c *cli.Command) time.Duration {
	if !c.Bool("wait") {
		return 0
	}
	return c.Duration("wait-limit")
}

func runApply(ctx context.Context, c *cli.Command) error {
	p, err := newChange(c)
	if err != nil {
		return err
	}
	p.Operator = c.String("as")
	p.Message = c.String("message")
	p.RequestID = versionlog.RequestID(c.String("request-id"))
	p.Wait = waitOf(c)
	if err := change.Run(ctx, p, applySteps); err != nil {
		return err
	}
	return report(c, p)
}

type applied struct {
	Result      operatorapi.SubmissionResult `json:"result"`
	Convergence *operatorapi.Convergence     `json:"convergence,omitempty"`
}

// report shows what became of a change and returns the error that decides the exit code.
func report(c *cli.Command, p *change.Change) error {
	result := applied{Result: p.Result}
	if p.Wait > 0 && p.Result.Version > 0 {
		result.Convergence = &p.Convergence
	}
	if err := option.Show(c, result, func(w io.Writer) { writeApplied(w, result) }); err != nil {
		return err
	}
	return outcomeOf(p)
}

func outcomeOf(p *change.Change) error {
	switch {
	case len(p.Result.Conflicts) > 0:
		return option.Exit(option.ExitConflict, eris.New(p.Result.Reason))
	case p.Result.Disposition == versionlog.DispositionRefused:
		return option.Exit(option.ExitInvalid, eris.New(p.Result.Reason))
	case p.Result.Disposition == versionlog.DispositionUnsettled:
		return option.Exit(option.ExitUnsettled, eris.New(p.Result.Reason))
	case p.Wait > 0 && !p.Convergence.IsComplete():
		return option.Exit(option.ExitLagging, eris.Errorf("version %d lags on %v", p.Result.Version, p.Convergence.Lagging))
	}
	return nil
}

func writeApplied(w io.Writer, r applied) {
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
