package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/daemon"
	"siskinspar.example/daemon/settings"
)

func newDaemon() *cli.Command {
	return &cli.Command{
		Name:   "daemon",
		Usage:  "run the daemon beside a backend server",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runDaemon,
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "INI `FILE` with the settings", Required: true}
}

func runDaemon(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	d := &daemon.Daemon{Settings: s, Logger: option.NewLogger(c.Root().ErrWriter, s.Log.SlogLevel())}
	if err := d.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	go exitOnSecondSignal(d)
	d.Stop()
	return nil
}

// exitOnSecondSignal ends a drain that takes too long for the operator, and says what it cuts.
func exitOnSecondSignal(d *daemon.Daemon) {
	second := make(chan os.Signal, 1)
	signal.Notify(second, os.Interrupt, syscall.SIGTERM)
	<-second
	d.Logger.Warn("daemon: stopped at once by a second signal", "requests-cut", d.InFlight())
	os.Exit(option.ExitFailure)
}

// readSettings reads, completes and checks a settings file; the error lists every fault on a line of its own.
func readSettings(path string) (*settings.Settings, error) {
	s, faults, err := settings.Read(path)
	if err != nil {
		return nil, option.Exit(option.ExitInvalid, err)
	}
	faults = append(faults, daemon.Prepare(s)...)
	if len(faults) == 0 {
		return s, nil
	}
	text := fmt.Sprintf("%d faults in %s", len(faults), path)
	for _, f := range faults {
		text += "\n" + f.String()
	}
	return nil, option.Exit(option.ExitInvalid, eris.New(text))
}
