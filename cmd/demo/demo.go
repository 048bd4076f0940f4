package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"siskinspar.example/cmd/change"
	"siskinspar.example/cmd/step/await"
	"siskinspar.example/cmd/step/compare"
	"siskinspar.example/cmd/step/declare"
	"siskinspar.example/cmd/step/submit"
	"siskinspar.example/examples"
	"siskinspar.example/standin/load"
	"siskinspar.example/standin/mesh"
)

const (
	// loadRate is the rate of the load in requests per second.
	loadRate = 400
	// loadDuration is how long the load is sent.
	loadDuration = 9 * time.Second
	// changeAfter is the time from the start of the load to the change of the configuration.
	changeAfter = 3 * time.Second
	// killAfter is the time from the change to the kill of an instance.
	killAfter = 2 * time.Second
	// convergenceTimeout bounds the time until every daemon knows every other, and the wait for each change to be in
	// force.
	convergenceTimeout = 10 * time.Second
)

// Demo is one run; its exported fields are set before Run.
type Demo struct {
	// Out gets the title of each step and its results.
	Out io.Writer
	// Seed seeds the order of the requests.
	Seed uint64

	mesh      mesh.Mesh
	directory string
	generator *load.Generator
	tallies   map[string]*load.Tally
	// lostExecutions are the executions at the killed backend servers, by request ID.
	lostExecutions []map[string]int
	// violations describe the violations of guarantees that check found.
	violations []string
}

// step is one step of the demo; its title is shown before it runs.
type step struct {
	title string
	run   func(context.Context) error
}

func (d *Demo) steps() []step {
	return []step{
		{"start a platform stand-in and 13 daemons with their backend servers in 3 data centres", d.startMesh},
		{"write the declarations of the Kingston deployment to a directory", d.writeDeclarations},
		{"apply the directory and wait until it is in force everywhere", d.apply},
		{fmt.Sprintf("send %d requests a second for %s; change the configuration, then lose an instance", loadRate, loadDuration), d.serve},
		{"compare the answers with the executions at the backend servers", d.check},
	}
}

// Run performs the steps. It returns an error if a step fails, or an error that lists the violations of guarantees if
// there are any; the output calls the guarantees promises.
func (d *Demo) Run(ctx context.Context) error {
	defer d.mesh.Stop()
	defer func() { _ = os.RemoveAll(d.directory) }()
	steps := d.steps()
	for i, s := range steps {
		d.printf("[%d/%d] %s", i+1, len(steps), s.title)
		if err := s.run(ctx); err != nil {
			return eris.Wrap(err, s.title)
		}
	}
	if len(d.violations) > 0 {
		return eris.New("promises broken: " + strings.Join(d.violations, "; "))
	}
	d.printf("all checked promises held")
	return nil
}

// printf writes a line to Out.
func (d *Demo) printf(format string, values ...any) { fmt.Fprintf(d.Out, format+"\n", values...) }

// startMesh starts the platform stand-in and the Kingston deployment, and waits until the daemons know each other.
func (d *Demo) startMesh(ctx context.Context) error {
	d.mesh.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	if err := d.mesh.StartPlatform(); err != nil {
		return err
	}
	if err := d.mesh.Deploy(mesh.Kingston); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	started := time.Now()
	if err := d.mesh.AwaitMembership(limited); err != nil {
		return err
	}
	d.printf("      every daemon knows every other after %s", time.Since(started).Round(time.Millisecond))
	return nil
}

// writeDeclarations copies the declarations of the Kingston deployment to a new directory, which Run removes.
func (d *Demo) writeDeclarations(context.Context) error {
	directory, err := os.MkdirTemp("", "siskinspar-demo-")
	if err != nil {
		return eris.Wrap(err, "create a directory for the declarations")
	}
	d.directory = directory
	files, err := fs.Sub(examples.Files, "kingston/declarations")
	if err != nil {
		return eris.Wrap(err, "open the example declarations")
	}
	return eris.Wrap(os.CopyFS(directory, files), "copy the example declarations")
}

// apply applies the directory through the first daemon, as the apply command does. It returns an error if the version
// is not in force on every reachable daemon within convergenceTimeout.
func (d *Demo) apply(ctx context.Context) error {
	started := time.Now()
	c := &change.Change{
		Directory: d.directory, Client: d.mesh.Nodes()[0].OperatorClient(), Operator: "demo", Wait: convergenceTimeout, Logger: d.mesh.Logger,
	}
	if err := change.Run(ctx, c, []change.Step{declare.Step{}, compare.Step{}, submit.Step{}, await.Step{}}); err != nil {
		return err
	}
	if !c.Convergence.IsComplete() {
		return eris.Errorf("version %d is not yet in force on %v", c.Result.Version, c.Convergence.Lagging)
	}
	d.printf("      version %d in force on %d daemons after %s", c.Result.Version, c.Convergence.InForce, time.Since(started).Round(time.Millisecond))
	return nil
}

// serve sends the load, and meanwhile changes the configuration and kills an instance.
func (d *Demo) serve(ctx context.Context) error {
	d.generator = newGenerator(d.callers(), d.Seed)
	var group conc.WaitGroup
	group.Go(func() { d.tallies = d.generator.Run(ctx) })
	time.Sleep(changeAfter)
	err := d.changeTimeout(ctx)
	time.Sleep(killAfter)
	d.killInstance()
	group.Wait()
	return err
}

// callers returns the addresses of the caller listeners of all daemons but the one that killInstance kills, since the
// callers on a killed instance end with it.
func (d *Demo) callers() []string {
	var addresses []string
	for _, n := range d.mesh.Nodes()[1:] {
		addresses = append(addresses, n.CallerAddress())
	}
	return addresses
}

// changeTimeout changes the timeout of one intent in the directory from 2 s to 3 s and applies it.
func (d *Demo) changeTimeout(ctx context.Context) error {
	path := filepath.Join(d.directory, "intents.yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read declarations")
	}
	changed := strings.Replace(string(data), "timeout: 2s", "timeout: 3s", 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		return eris.Wrap(err, "write declarations")
	}
	return d.apply(ctx)
}

// killInstance records the executions at the backend servers of the first instance and kills it.
func (d *Demo) killInstance() {
	n := d.mesh.Nodes()[0]
	for _, b := range n.Backends() {
		d.lostExecutions = append(d.lostExecutions, b.Server().Executions())
	}
	n.Kill()
	d.printf("      lost instance %s with its backend server", n.Name())
}
