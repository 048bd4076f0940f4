package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"siskinspar.example/standin/load"
)

// The names of the classes of the load; the ID of a request contains the name of its class.
const (
	classStatus    = "loan-status"
	classLodging   = "loan-lodging"
	classRepayment = "repayment"
	classLedger    = "branch-ledger"
	classPrice     = "price-lookup"
)

// newGenerator returns the generator of the load, which is sent to the given caller listeners.
func newGenerator(targets []string, seed uint64) *load.Generator {
	const connections = 64
	return &load.Generator{
		Targets: targets,
		Classes: []load.Class{
			{Name: classStatus, Method: http.MethodGet, Path: "/loans/1?work=5ms", Weight: 60},
			{Name: classLodging, Method: http.MethodPost, Path: "/loans?work=20ms", Weight: 5, BodySize: 2000, IsKeyed: true},
			{Name: classRepayment, Method: http.MethodPost, Path: "/repayments?work=10ms", Weight: 10, BodySize: 500, IsKeyed: true},
			{Name: classLedger, Method: http.MethodGet, Path: "/ledgers/7?work=20ms&size=200000", Weight: 5},
			{Name: classPrice, Method: http.MethodGet, Path: "/prices/3?work=2ms", Weight: 20},
		},
		Rate: loadRate, Duration: loadDuration, Concurrency: 512, Seed: seed, Prefix: "demo-",
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}},
	}
}

// check compares the answers that callers received with what the backend servers ran, and records the violations of
// guarantees.
func (d *Demo) check(context.Context) error {
	d.writeTable()
	executions := map[string]int{}
	counts := d.lostExecutions
	for _, b := range d.mesh.Backends() {
		counts = append(counts, b.Server().Executions())
	}
	for _, count := range counts {
		for id, n := range count {
			executions[id] += n
		}
	}
	d.checkAtMostOnce(executions)
	d.checkNotRun(executions)
	for name, t := range d.tallies {
		if t.Mismatched > 0 {
			d.addViolation("%d answers of %s were cut or belonged to another request", t.Mismatched, name)
		}
		if t.Ran == 0 {
			d.addViolation("no request of %s was served", name)
		}
	}
	return nil
}

// addViolation records a violation of a guarantee.
func (d *Demo) addViolation(format string, values ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, values...))
}

// checkAtMostOnce checks that no unrepeatable request ran more than once.
func (d *Demo) checkAtMostOnce(executions map[string]int) {
	for id, n := range executions {
		isUnrepeatable := strings.Contains(id, classLodging) || strings.Contains(id, classRepayment)
		if isUnrepeatable && n > 1 {
			d.addViolation("unrepeatable request %s ran %d times", id, n)
		}
	}
}

// checkNotRun checks that no request ran that was answered as not run.
func (d *Demo) checkNotRun(executions map[string]int) {
	for _, id := range d.generator.NotRunIDs() {
		if executions[id] > 0 {
			d.addViolation("request %s was answered as not run, but ran", id)
		}
	}
}

// writeTable writes the number of requests by outcome, and the latencies in milliseconds, for each class.
func (d *Demo) writeTable() {
	t := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CLASS\tSENT\tRAN\tNOT RUN\tUNKNOWN\tFAILED\tP50 ms\tP99 ms\t")
	var names []string
	for name := range d.tallies {
		names = append(names, name)
	}
	slices.Sort(names)
	const microsecondsPerMillisecond = 1000.0
	for _, name := range names {
		n := d.tallies[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", name, n.Sent, n.Ran, n.NotRun, n.Unknown, n.Failed,
			float64(n.Latencies.ValueAtQuantile(50))/microsecondsPerMillisecond, float64(n.Latencies.ValueAtQuantile(99))/microsecondsPerMillisecond)
	}
	_ = t.Flush()
}
