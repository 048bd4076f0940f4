package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
)

func newHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the newest versions",
		Flags: option.OperatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := option.NewClient(c)
			if err != nil {
				return err
			}
			entries, err := client.History(ctx)
			if err != nil {
				return err
			}
			return option.Show(c, entries, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
				fmt.Fprintln(t, "VERSION\tTIME\tOPERATOR\tCHANGED\tMESSAGE")
				for _, e := range entries {
					fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\n", e.Version, e.Time.Format(time.RFC3339), e.Operator, len(e.Changed), e.Message)
				}
				_ = t.Flush()
			})
		},
	}
}
