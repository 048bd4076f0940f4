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

// runDaemon runs the daemon until the first signal, then drains it; a second signal ends the drain.
func runDaemon(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	d := &daemon.Daemon{Settings: s, Logger: option.NewLogger(c.Root().ErrWriter, s.Log.SlogLevel())}
	if err := d.Start(); err != nil {
		return err
	}
	d.Logger.Info("daemon: started", "instance", s.Instance.Name)
	<-ctx.Done()
	go exitOnSecondSignal(d)
	d.Stop()
	return nil
}

// exitOnSecondSignal waits for a second signal while the daemon drains, with which an operator ends a drain that
// takes too long. It logs the number of requests that it cuts, and exits with ExitFailure.
func exitOnSecondSignal(d *daemon.Daemon) {
	second := make(chan os.Signal, 1)
	signal.Notify(second, os.Interrupt, syscall.SIGTERM)
	<-second
	d.Logger.Warn("daemon: second signal, exiting before the drain is complete", "requests-cut", d.InFlight())
	os.Exit(option.ExitFailure)
}

// readSettings reads and validates a settings file and sets defaults. The error has ExitInvalid and lists each fault
// on a line of its own.
func readSettings(path string) (*settings.Settings, error) {
	s, faults, err := settings.Read(path)
	if err != nil {
		return nil, option.WithExitCode(option.ExitInvalid, err)
	}
	faults = append(faults, daemon.Prepare(s)...)
	if len(faults) == 0 {
		return s, nil
	}
	text := fmt.Sprintf("%d faults in %s", len(faults), path)
	for _, f := range faults {
		text += "\n" + f.String()
	}
	return nil, option.WithExitCode(option.ExitInvalid, eris.New(text))
}
