package trial

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/cmd/soak"
)

// NewSoak returns the command that runs sidecar processes under random faults.
func NewSoak() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run sidecar processes on loopback under random faults and check their guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED` of the faults and requests", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds to run, one after the other", Value: 1},
			&cli.IntFlag{Name: "instances", Usage: "`NUMBER` of daemon processes", Value: 5},
			&cli.DurationFlag{Name: "span", Usage: "`TIME` for which each seed injects faults", Value: 15 * time.Second},
			&cli.BoolFlag{Name: "planned", Usage: "only planned work: stops, restarts, hangups, configurations, replaced servers"},
			&cli.StringFlag{Name: "directory", Usage: "`DIRECTORY` for settings and logs, a new one if empty"},
		},
		Action: runSoak,
	}
}

// runSoak runs the seeds and stops at the first that fails.
func runSoak(ctx context.Context, c *cli.Command) error {
	binary, err := soak.Binary()
	if err != nil {
		return err
	}
	if n := c.Int("instances"); n < 2 || n > 200 {
		return option.WithExitCode(option.ExitInvalid, eris.Errorf("%d instances: must be from 2 to 200", n))
	}
	for k := range c.Int("seeds") {
		directory := c.String("directory")
		if directory == "" {
			if directory, err = os.MkdirTemp("", "siskinspar-soak-"); err != nil {
				return eris.Wrap(err, "create a directory for the soak")
			}
		}
		s := &soak.Soak{
			Seed: c.Uint64("seed") + uint64(k), Span: c.Duration("span"), Instances: c.Int("instances"),
			IsPlannedOnly: c.Bool("planned"), Binary: binary, Directory: directory, Out: c.Root().Writer,
		}
		if err := s.Run(ctx); err != nil {
			return err
		}
	}
	return nil
}
