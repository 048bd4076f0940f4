package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/daemon/operatorapi"
)

func newHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the newest versions",
		Flags: option.OperatorFlags(),
		Action: option.QueryAction(func(ctx context.Context, c *operatorapi.Client) ([]operatorapi.HistoryEntry, error) {
			return c.History(ctx)
		}, writeHistory),
	}
}

func writeHistory(w io.Writer, entries []operatorapi.HistoryEntry) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tTIME\tOPERATOR\tCHANGED\tMESSAGE")
	for _, e := range entries {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\n", e.Version, e.Time.Format(time.RFC3339), e.Operator, len(e.Changed), e.Message)
	}
	_ = t.Flush()
}
