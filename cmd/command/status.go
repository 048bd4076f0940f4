package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"siskinspar.example/cmd/option"
	"siskinspar.example/daemon/operatorapi"
)

func newStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a daemon, its backend servers and the members that it knows",
		Flags: option.OperatorFlags(),
		Action: option.QueryAction(func(ctx context.Context, c *operatorapi.Client) (operatorapi.Status, error) {
			return c.Status(ctx)
		}, writeStatus),
	}
}

func writeStatus(w io.Writer, s operatorapi.Status) {
	fmt.Fprintf(w, "%s in %s: version %d, %d routes, ready %t, draining %t, relay %t, store up %t\n",
		s.Instance, s.DataCentre, s.Version, s.Routes, s.IsReady, s.IsDraining, s.IsRelay, s.IsStoreUp)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BACKEND SERVER\tADDRESS\tSLOTS\tRUNNING\tWAITING\tHEALTHY\tDRAINING")
	for _, b := range s.BackendServers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%t\t%t\n", b.Name, b.Address, b.Slots, b.Running, b.Waiting, b.IsHealthy, b.IsDraining)
	}
	fmt.Fprintln(t, "MEMBER\tDATA CENTRE\tSTATUS\tOPERATORS\tBACKEND SERVERS")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", m.Instance, m.DataCentre, m.Status, m.Operators, len(m.BackendServers))
	}
	_ = t.Flush()
}
