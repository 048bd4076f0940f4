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
	// loadRate is in requests per second.
	loadRate = 400
	// loadDuration is the length of the load.
	loadDuration = 9 * time.Second
	// changeAfter is when the configuration changes under load.
	changeAfter = 3 * time.Second
	// killAfter is when one instance is lost after the change.
	killAfter = 2 * time.Second
	// settleLimit bounds the start of the mesh.
	settleLimit = 10 * time.Second
)

// Demo is one run; its exported fields are set before Run.
type Demo struct {
	Out  io.Writer
	Seed uint64

	mesh      mesh.Mesh
	directory string
	generator *load.Generator
	tallies   map[string]*load.Tally
	lost      []map[string]int
	failures  []string
}

// step is one step of the demo with the line that is shown before it.
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

// Run performs the demo and returns an error when a promise did not hold.
func (d *Demo) Run(ctx context.Context) error {
	defer d.mesh.Stop()
	defer func() { _ = os.RemoveAll(d.directory) }()
	steps := d.steps()
	for i, s := range steps {
		d.say("[%d/%d] %s", i+1, len(steps), s.title)
		if err := s.run(ctx); err != nil {
			return eris.Wrap(err, s.title)
		}
	}
	if len(d.failures) > 0 {
		return eris.New("promises broken: " + strings.Join(d.failures, "; "))
	}
	d.say("all checked promises held")
	return nil
}

func (d *Demo) say(format string, values ...any) { fmt.Fprintf(d.Out, format+"\n", values...) }

func (d *Demo) startMesh(ctx context.Context) error {
	d.mesh.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	if err := d.mesh.StartPlatform(); err != nil {
		return err
	}
	if err := d.mesh.Deploy(mesh.Kingston); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	started := time.Now()
	if err := d.mesh.Settle(limited); err != nil {
		return err
	}
	d.say("      every daemon knows every other after %s", time.Since(started).Round(time.Millisecond))
	return nil
}

func (d *Demo) writeDeclarations(context.Context) error {
	directory, err := os.MkdirTemp("", "siskinspar-demo-")
	if err != nil {
		return eris.Wrap(err, "make directory")
	}
	d.directory = directory
	files, err := fs.Sub(examples.Files, "kingston/declarations")
	if err != nil {
		return eris.Wrap(err, "open examples")
	}
	return eris.Wrap(os.CopyFS(directory, files), "copy examples")
}

func (d *Demo) apply(ctx context.Context) error {
	started := time.Now()
	c := &change.Change{
		Directory: d.directory, Client: d.mesh.Nodes()[0].Operator(), Operator: "demo", Wait: settleLimit, Logger: d.mesh.Logger,
	}
	if err := change.Run(ctx, c, []change.Step{declare.Step{}, compare.Step{}, submit.Step{}, await.Step{}}); err != nil {
		return err
	}
	if !c.Convergence.IsComplete() {
		return eris.Errorf("version %d lags on %v", c.Result.Version, c.Convergence.Lagging)
	}
	d.say("      version %d in force on %d daemons after %s", c.Result.Version, c.Convergence.InForce, time.Since(started).Round(time.Millisecond))
	return nil
}

// serve sends the load while the configuration changes and an instance is lost.
func (d *Demo) serve(ctx context.Context) error {
	d.generator = newGenerator(d.callers(), d.Seed)
	var group conc.WaitGroup
	group.Go(func() { d.tallies = d.generator.Run(ctx) })
	time.Sleep(changeAfter)
	err := d.changeTimeout(ctx)
	time.Sleep(killAfter)
	d.loseInstance()
	group.Wait()
	return err
}

// callers returns the caller listeners of all daemons but the one that will be lost, since callers beside a lost
// instance are lost with it.
func (d *Demo) callers() []string {
	var addresses []string
	for _, n := range d.mesh.Nodes()[1:] {
		addresses = append(addresses, n.Callers())
	}
	return addresses
}

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

func (d *Demo) loseInstance() {
	n := d.mesh.Nodes()[0]
	for _, b := range n.Backends() {
		d.lost = append(d.lost, b.Server().Executions())
	}
	n.Kill()
	d.say("      lost instance %s with its backend server", n.Name())
}
