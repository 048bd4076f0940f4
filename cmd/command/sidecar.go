package command

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/platform/dialect"
	"siskinspar.example/platform/nodefile"
	"siskinspar.example/platform/rowstore"
	"siskinspar.example/sidecar"
	"siskinspar.example/sidecar/owner"
)

// memoryShare is the share of the memory of the process at which the collector works harder.
const memoryShare = 0.7

func newSidecar() *cli.Command {
	return &cli.Command{
		Name:   "sidecar",
		Usage:  "run the daemon on a platform that keeps the configuration",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings", Sources: cli.EnvVars(nodefile.Variable), Required: true}},
		Action: runSidecar,
	}
}

func runSidecar(ctx context.Context, c *cli.Command) error {
	s, err := nodefile.Read(c.String("settings"))
	if err != nil {
		return option.Exit(option.ExitInvalid, err)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	logger := slog.New(slog.NewTextHandler(os.Stdout, nil))
	d := &sidecar.Sidecar{Settings: s, Logger: logger, Platform: sidecar.Platform{
		Headers:            dialect.Headers{},
		Configuration:      dialect.Configurations{},
		Store:              rowstore.NewClient(s.Store),
		ConfigurationTable: dialect.ConfigurationTable,
		ConfigurationKey:   dialect.ConfigurationKey,
		NewAnnouncements: func(o *owner.Owner, l *slog.Logger) http.Handler {
			return &dialect.Announcements{Owner: o, Logger: l}
		},
	}}
	return d.Run(ctx)
}
