package option

import (
	"context"
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

// RequestTimeout bounds one call to an operator listener.
const RequestTimeout = 30 * time.Second

// OperatorFlags are the flags of every command that calls a daemon.
func OperatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "`ADDRESS` of the operator listener of any daemon", Required: true},
		&cli.StringFlag{Name: "token", Usage: "operators' `TOKEN`"},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` that holds the operators' token"},
		OutputFlag(),
	}, more...)
}

// OutputFlag chooses between text and JSON.
func OutputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "`FORMAT` of the output: text or json", Value: "text", Validator: func(s string) error {
		if s != "text" && s != "json" {
			return eris.Errorf("output must be text or json, not %q", s)
		}
		return nil
	}}
}

// NewClient returns a client of the operator listener that the flags name.
func NewClient(c *cli.Command) (*operatorapi.Client, error) {
	token := c.String("token")
	if file := c.String("token-file"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, Exit(ExitInvalid, eris.Wrap(err, "read token"))
		}
		token = strings.TrimSpace(string(data))
	}
	return &operatorapi.Client{Address: c.String("operator"), Token: token, HTTP: &http.Client{Timeout: RequestTimeout}}, nil
}

// List returns the action of a command that asks a daemon for something and shows it.
func List[T any](ask func(context.Context, *operatorapi.Client) (T, error), text func(io.Writer, T)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := NewClient(c)
		if err != nil {
			return err
		}
		value, err := ask(ctx, client)
		if err != nil {
			return err
		}
		return Show(c, value, func(w io.Writer) { text(w, value) })
	}
}

// Show writes a value as indented JSON, or with the given function as text.
func Show(c *cli.Command, value any, text func(w io.Writer)) error {
	if c.String("output") != "json" {
		text(c.Root().Writer)
		return nil
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// Argument returns the only argument of a command.
func Argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", Exit(ExitInvalid, eris.Errorf("one argument is expected: %s", name))
	}
	return c.Args().First(), nil
}

// NewLogger returns a logger that writes text lines from a level upwards.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
