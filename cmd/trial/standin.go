package trial

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/standin/backend"
	"siskinspar.example/standin/platform"
)

// NewStandin returns the command whose subcommands run the stand-ins for the platform and for a backend server.
func NewStandin() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for the platform or for a backend server",
		Commands: []*cli.Command{newStandinPlatform(), newStandinBackend()},
	}
}

func newStandinPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the table and the object store from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Value: "127.0.0.1:7900"},
			&cli.FloatFlag{Name: "writes", Usage: "largest number of `WRITES` per second, 0 for no limit"},
			&cli.FloatFlag{Name: "reads", Usage: "largest number of `READS` per second, 0 for no limit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := listen(c)
			if err != nil {
				return err
			}
			return serve(ctx, l, &platform.Server{WritesPerSecond: c.Float("writes"), ReadsPerSecond: c.Float("reads")})
		},
	}
}

func newStandinBackend() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "serve requests as a backend server and announce it to the daemon beside it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the backend server", Required: true},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true},
			&cli.StringFlag{Name: "daemon", Usage: "`ADDRESS` of the operator listener of the daemon beside it", Required: true},
			&cli.StringFlag{Name: "token", Usage: "backend servers' `TOKEN`", Required: true},
			&cli.StringFlag{Name: "labels", Usage: "`LABELS` as key=value,key=value"},
			&cli.IntFlag{Name: "slots", Usage: "`NUMBER` of requests that run at once", Value: 10},
			&cli.IntFlag{Name: "connections", Usage: "`NUMBER` of connections that are accepted", Value: 120},
			&cli.DurationFlag{Name: "cold-start", Usage: "extra `TIME` for the first requests"},
		},
		Action: runStandinBackend,
	}
}

func runStandinBackend(ctx context.Context, c *cli.Command) error {
	labels, err := settings.ParseLabels(c.String("labels"))
	if err != nil {
		return option.WithExitCode(option.ExitInvalid, err)
	}
	const crashCode = 70 // exit code after a request with backend.HeaderCrash
	s := &backend.Server{Name: c.String("name"), Slots: c.Int("slots"), ColdStart: c.Duration("cold-start"), Crash: func() { os.Exit(crashCode) }}
	a := &backend.Announcer{
		Client: &operatorapi.Client{Address: c.String("daemon"), Token: c.String("token"), HTTP: &http.Client{Timeout: option.RequestTimeout}},
		Announcement: operatorapi.Announcement{
			Name: c.String("name"), Address: c.String("listen"), Labels: labels, Slots: c.Int("slots"), Connections: c.Int("connections"),
			TimeToLive: 3, HealthPath: "/standin/health", LoadPath: "/standin/load",
		},
	}
	// Only an address that is served here is announced.
	l, err := listen(c)
	if err != nil {
		return err
	}
	announcing, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	a.Start(announcing)
	err = serve(ctx, l, s)
	stopAnnouncing()
	<-a.Done()
	return err
}

// listen opens the listener of a stand-in and logs its address. The error names an address that is taken.
func listen(c *cli.Command) (net.Listener, error) {
	address := c.String("listen")
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	option.NewLogger(c.Root().ErrWriter, slog.LevelInfo).Info("standin: listening", "address", address)
	return l, nil
}

// serve serves requests until the context ends, then waits up to 10 s for the requests in flight. It returns an error if
// serving fails, or if the wait times out.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: option.RequestTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	const stopTimeout = 10 * time.Second
	limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(limited), "wait for the requests in flight")
}
