package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/standin/load"
)

// NewLoad returns the command that sends requests of one class at a fixed rate.
func NewLoad() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send requests to caller listeners and check each answer of the stand-ins",
		ArgsUsage: "PATH",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`ADDRESS` of a caller listener; may be repeated", Required: true},
			&cli.StringFlag{Name: "method", Usage: "`METHOD` of the requests", Value: http.MethodGet},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the requests"},
			&cli.BoolFlag{Name: "keyed", Usage: "send an idempotency key"},
			&cli.IntFlag{Name: "body", Usage: "`BYTES` in the body of each request"},
			&cli.FloatFlag{Name: "rate", Usage: "`REQUESTS` per second", Value: 100},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` to send for", Value: 10 * time.Second},
			&cli.IntFlag{Name: "concurrency", Usage: "largest `NUMBER` of requests in flight", Value: 256},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the order of requests", Value: 1},
		},
		Action: runLoad,
	}
}

// runLoad sends the requests, writes their outcomes, and returns an error if an answer was cut or belonged to another
// request.
func runLoad(ctx context.Context, c *cli.Command) error {
	path, err := option.Argument(c, "PATH")
	if err != nil {
		return err
	}
	g := &load.Generator{
		Targets: c.StringSlice("target"),
		Classes: []load.Class{{
			Name: "load", Method: c.String("method"), Host: c.String("host"), Path: path, Weight: 1, BodySize: c.Int("body"), IsKeyed: c.Bool("keyed"),
		}},
		Rate: c.Float("rate"), Duration: c.Duration("duration"), Concurrency: c.Int("concurrency"), Seed: c.Uint64("seed"),
		Prefix: fmt.Sprintf("%d-", time.Now().UnixNano()),
		Client: newLoadClient(c.Int("concurrency")),
	}
	tallies := g.Run(ctx)
	writeTallies(c.Root().Writer, tallies)
	if tallies["load"].Mismatched > 0 {
		return eris.Errorf("%d answers were wrong", tallies["load"].Mismatched)
	}
	return nil
}

// newLoadClient returns a client that keeps as many idle connections as the load has requests in flight.
func newLoadClient(connections int) *http.Client {
	return &http.Client{Timeout: option.RequestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxIdleConns: connections}}
}

// writeTallies writes one line for each class, in order of name, with the latencies in milliseconds.
func writeTallies(w io.Writer, tallies map[string]*load.Tally) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CLASS\tSENT\tRAN\tNOT RUN\tUNKNOWN\tFAILED\tWRONG\tP50 ms\tP99 ms\t")
	names := make([]string, 0, len(tallies))
	for name := range tallies {
		names = append(names, name)
	}
	slices.Sort(names)
	const microsecondsPerMillisecond = 1000.0
	for _, name := range names {
		n := tallies[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n", name, n.Sent, n.Ran, n.NotRun, n.Unknown, n.Failed, n.Mismatched,
			float64(n.Latencies.ValueAtQuantile(50))/microsecondsPerMillisecond, float64(n.Latencies.ValueAtQuantile(99))/microsecondsPerMillisecond)
	}
	_ = t.Flush()
}
