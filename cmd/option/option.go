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

// RequestTimeout is the timeout of one call to an operator listener. The stand-ins use it too, to read the header of a
// request and to wait for an answer.
const RequestTimeout = 30 * time.Second

// OperatorFlags returns the flags of every command that calls a daemon, followed by more.
func OperatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "`ADDRESS` of the operator listener of any daemon", Required: true},
		&cli.StringFlag{Name: "token", Usage: "operators' `TOKEN`"},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` that holds the operators' token"},
		OutputFlag(),
	}, more...)
}

// OutputFlag returns the flag that selects text or JSON output.
func OutputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "`FORMAT` of the output: text or json", Value: "text", Validator: func(s string) error {
		if s != "text" && s != "json" {
			return eris.Errorf("output must be text or json, not %q", s)
		}
		return nil
	}}
}

// NewClient returns a client of the operator listener that the flags name. A token file takes precedence over a
// token; it returns an error if the file can't be read.
func NewClient(c *cli.Command) (*operatorapi.Client, error) {
	token := c.String("token")
	if file := c.String("token-file"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, WithExitCode(ExitInvalid, eris.Wrap(err, "read the token file"))
		}
		token = strings.TrimSpace(string(data))
	}
	return &operatorapi.Client{Address: c.String("operator"), Token: token, HTTP: &http.Client{Timeout: RequestTimeout}}, nil
}

// QueryAction returns the action of a command that sends one query to a daemon and shows the result, as text with
// write.
func QueryAction[T any](query func(context.Context, *operatorapi.Client) (T, error), write func(io.Writer, T)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := NewClient(c)
		if err != nil {
			return err
		}
		value, err := query(ctx, client)
		if err != nil {
			return err
		}
		return Show(c, value, func(w io.Writer) { write(w, value) })
	}
}

// Show writes value to the output of the command: as indented JSON if the flags select JSON, or else as text with
// write.
func Show(c *cli.Command, value any, write func(w io.Writer)) error {
	if c.String("output") != "json" {
		write(c.Root().Writer)
		return nil
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// Argument returns the only argument of a command, or an error that calls the argument name if there is not exactly
// one.
func Argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", WithExitCode(ExitInvalid, eris.Errorf("expected exactly one argument: %s", name))
	}
	return c.Args().First(), nil
}

// NewLogger returns a logger that writes records of the given level and above to w as text.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
