package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/timeline"
)

func newTimeline() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all daemons in causal order",
		Flags: option.OperatorFlags(
			&cli.StringSliceFlag{Name: "kind", Usage: "only events of this `KIND`; may be repeated"},
			&cli.StringFlag{Name: "instance", Usage: "only events of this `INSTANCE`"},
			&cli.DurationFlag{Name: "since", Usage: "only events within the last `TIME`"},
			&cli.IntFlag{Name: "limit", Usage: "largest `NUMBER` of events, the newest", Value: 1000},
		),
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) error {
	client, err := option.NewClient(c)
	if err != nil {
		return err
	}
	f := timeline.Filter{Instance: c.String("instance"), Limit: c.Int("limit")}
	for _, kind := range c.StringSlice("kind") {
		f.Kinds = append(f.Kinds, timeline.Kind(kind))
	}
	if since := c.Duration("since"); since > 0 {
		f.Since = time.Now().Add(-since)
	}
	t, err := client.Timeline(ctx, f)
	if err != nil {
		return err
	}
	return writeTimeline(c, t)
}

// writeTimeline writes one event to a line, as text or as JSON.
func writeTimeline(c *cli.Command, t operatorapi.Timeline) error {
	w := c.Root().Writer
	for _, e := range t.Events {
		if c.String("output") == "json" {
			if err := json.NewEncoder(w).Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(w, "%s.%03d %-20s %-20s", e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000"), e.Stamp.Counter, e.Instance, e.Kind)
		if e.Version > 0 {
			fmt.Fprintf(w, " version=%d", e.Version)
		}
		fmt.Fprintf(w, " %s %s\n", e.Subject, e.Detail)
	}
	for _, id := range t.Unreachable {
		fmt.Fprintln(c.Root().ErrWriter, "unreachable:", id)
	}
	return nil
}
