package instance

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/platform/dialect"
	"siskinspar.example/platform/nodefile"
	"siskinspar.example/platform/rowstore"
	"siskinspar.example/sidecar"
	"siskinspar.example/sidecar/logbook"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/settings"
)

// memoryShare is the share of the memory that the process may use which is set as the soft memory limit of the Go
// runtime. Near this limit the garbage collector runs more often.
const memoryShare = 0.7

// NewSidecar returns the command that runs the daemon beside a backend server.
func NewSidecar() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run the daemon on a platform that stores the configuration",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings", Sources: cli.EnvVars(nodefile.EnvironmentVariable), Required: true},
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` at which metrics are served, 0 for none"},
		},
		Action: runSidecar,
	}
}

// runSidecar runs the daemon until the context ends. Settings that are invalid end the command with ExitInvalid.
func runSidecar(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := nodefile.Read(path)
	if err != nil {
		return option.WithExitCode(option.ExitInvalid, err)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	if s.Metrics, err = metricsAddress(s.Clients, c.Int("metrics-port")); err != nil {
		return option.WithExitCode(option.ExitInvalid, err)
	}
	book := &logbook.Writer{Output: os.Stdout}
	book.Run()
	defer book.Stop()
	w := &settingsWatcher{path: path, logger: book.Logger(), hangup: make(chan os.Signal, 1), changed: make(chan *settings.Settings)}
	signal.Notify(w.hangup, syscall.SIGHUP)
	defer signal.Stop(w.hangup)
	go w.run(ctx)
	d := &sidecar.Sidecar{Settings: s, Logger: w.logger, Platform: newPlatform(s.Store), Reloads: w.changed}
	return d.Run(ctx)
}

// newPlatform returns the adapter of the platform with a client of the store at the given address. Only this function
// joins the adapter to package sidecar.
func newPlatform(store string) sidecar.Platform {
	return sidecar.Platform{
		Headers:            dialect.Headers{},
		Configuration:      dialect.Configurations{},
		Store:              rowstore.NewUnpooledClient(store),
		ConfigurationTable: dialect.ConfigurationTable,
		ConfigurationKey:   dialect.ConfigurationKey,
		Rollouts:           dialect.Rollouts{},
		NewAnnouncements: func(o *owner.Owner, l *slog.Logger) http.Handler {
			return &dialect.Announcements{Owner: o, Logger: l}
		},
	}
}

// metricsAddress returns the address for metrics: the host of the address for clients with the given port, or "" for
// port 0. It returns an error if the address for clients is not host:port.
func metricsAddress(clients string, port int) (string, error) {
	if port == 0 {
		return "", nil
	}
	host, _, err := net.SplitHostPort(clients)
	if err != nil {
		return "", eris.Wrap(err, "metrics address from the address for clients")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}
