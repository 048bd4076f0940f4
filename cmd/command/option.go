package command

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/daemon/operatorapi"
)

// requestTimeout bounds one call to an operator listener.
const requestTimeout = 30 * time.Second

// operatorFlags are the flags of every command that calls a daemon.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "`ADDRESS` of the operator listener of any daemon", Required: true},
		&cli.StringFlag{Name: "token", Usage: "operators' `TOKEN`"},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` that holds the operators' token"},
		outputFlag(),
	}, more...)
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "`FORMAT` of the output: text or json", Value: "text", Validator: func(s string) error {
		if s != "text" && s != "json" {
			return eris.Errorf("output must be text or json, not %q", s)
		}
		return nil
	}}
}

func newClient(c *cli.Command) (*operatorapi.Client, error) {
	token := c.String("token")
	if file := c.String("token-file"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, exit(ExitInvalid, eris.Wrap(err, "read token"))
		}
		token = strings.TrimSpace(string(data))
	}
	return &operatorapi.Client{Address: c.String("operator"), Token: token, HTTP: &http.Client{Timeout: requestTimeout}}, nil
}

// show writes a value as indented JSON, or with the given function as text.
func show(c *cli.Command, value any, text func(w io.Writer)) error {
	if c.String("output") != "json" {
		text(c.Root().Writer)
		return nil
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// argument returns the only argument of a command.
func argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", exit(ExitInvalid, eris.Errorf("one argument is expected: %s", name))
	}
	return c.Args().First(), nil
}

func newLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
