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
	"siskinspar.example/request/quarantine"
)

func newQuarantine() *cli.Command {
	return &cli.Command{
		Name:     "quarantine",
		Usage:    "list requests that ran when backend servers crashed, or release one",
		Commands: []*cli.Command{newQuarantineList(), newQuarantineRelease()},
	}
}

func newQuarantineList() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the fingerprints of the requests and how often they crashed backend servers",
		Flags: option.OperatorFlags(),
		Action: option.QueryAction(func(ctx context.Context, c *operatorapi.Client) ([]quarantine.Entry, error) {
			return c.Quarantine(ctx)
		}, writeQuarantine),
	}
}

func writeQuarantine(w io.Writer, entries []quarantine.Entry) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FINGERPRINT\tINTENT\tCRASHES\tQUARANTINED\tSINCE")
	for _, e := range entries {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\t%s\n", e.Fingerprint, e.Target, e.Crashes, e.IsQuarantined, e.Since.Format(time.RFC3339))
	}
	_ = t.Flush()
}

func newQuarantineRelease() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "allow the requests with a fingerprint to run again",
		ArgsUsage: "FINGERPRINT",
		Flags:     option.OperatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			fingerprint, err := option.Argument(c, "FINGERPRINT")
			if err != nil {
				return err
			}
			client, err := option.NewClient(c)
			if err != nil {
				return err
			}
			return client.Release(ctx, operatorapi.Release{Fingerprint: quarantine.Fingerprint(fingerprint)})
		},
	}
}
