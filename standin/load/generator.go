package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/backend"
)

// Class is one kind of request in the mix.
type Class struct {
	Name   string
	Method string
	Host   string
	// Path may hold a query.
	Path string
	// Weight is the share of the class in the mix.
	Weight float64
	// BodySize is the size of the request's body in bytes.
	BodySize int
	// IsKeyed sends each request with a key of its own.
	IsKeyed bool
}

// Tally counts what became of the requests of one class.
type Tally struct {
	Sent    int
	Ran     int
	NotRun  int
	Unknown int
	// Failed counts whole answers with an error status.
	Failed int
	// Wrong counts answers that belonged to another request or were not whole.
	Wrong     int
	Latencies *hdrhistogram.Histogram
}

// Generator sends the load; its exported fields are set before Run.
type Generator struct {
	// Targets are the caller listeners, taken in turn.
	Targets []string
	Classes []Class
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// Concurrency bounds the requests that are out at once; a request beyond it is counted as sent late.
	Concurrency int
	Seed        uint64
	Client      *http.Client
	// Prefix starts every request id.
	Prefix string

	mu      sync.Mutex
	tallies map[string]*Tally
	notRun  []string
}

// Latencies are recorded in microseconds between these bounds.
const (
	shortestLatency = 1
	longestLatency  = int64(10 * 60 * 1e6)
	latencyDigits   = 3
)

// Run sends the load and returns the tallies by class name.
func (g *Generator) Run(ctx context.Context) map[string]*Tally {
	g.tallies = map[string]*Tally{}
	for _, c := range g.Classes {
		g.tallies[c.Name] = &Tally{Latencies: hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)}
	}
	random := rand.New(rand.NewPCG(g.Seed, g.Seed))
	workers := pool.New().WithMaxGoroutines(max(1, g.Concurrency))
	total := int(g.Rate * g.Duration.Seconds())
	started := time.Now()
	for i := range total {
		due := started.Add(time.Duration(float64(i) / g.Rate * float64(time.Second)))
		if !backoff.Sleep(ctx, time.Until(due)) {
			break
		}
		class := g.draw(random)
		target := g.Targets[i%len(g.Targets)]
		id := fmt.Sprintf("%s%s-%d", g.Prefix, class.Name, i)
		workers.Go(func() { g.send(ctx, class, target, id, due) })
	}
	workers.Wait()
	return g.tallies
}

// NotRunIDs returns the ids of the requests that were answered as not run, for comparison with the executions.
func (g *Generator) NotRunIDs() []string { return g.notRun }

func (g *Generator) draw(r *rand.Rand) Class {
	total := 0.0
	for _, c := range g.Classes {
		total += c.Weight
	}
	at := r.Float64() * total
	for _, c := range g.Classes {
		if at < c.Weight {
			return c
		}
		at -= c.Weight
	}
	return g.Classes[len(g.Classes)-1]
}

// send measures from the moment at which the request was due, so that a stalled sender doesn't hide waiting.
func (g *Generator) send(ctx context.Context, c Class, target, id string, due time.Time) {
	result, status, isWhole := g.perform(ctx, c, target, id)
	latency := time.Since(due).Microseconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tallies[c.Name]
	t.Sent++
	switch {
	case result == outcome.Ran && status >= http.StatusInternalServerError:
		t.Failed++
	case result == outcome.Ran && isWhole:
		t.Ran++
		_ = t.Latencies.RecordValue(max(shortestLatency, min(latency, longestLatency)))
	case result == outcome.Ran:
		t.Wrong++
	case result == outcome.NotRun:
		t.NotRun++
		g.notRun = append(g.notRun, id)
	default:
		t.Unknown++
	}
}

func (g *Generator) perform(ctx context.Context, c Class, target, id string) (outcome.Outcome, int, bool) {
	body := bytes.Repeat([]byte("x"), c.BodySize)
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+target+c.Path, bytes.NewReader(body))
	if err != nil {
		return outcome.NotRun, 0, false
	}
	r.Host = c.Host
	r.Header.Set(backend.HeaderID, id)
	if c.IsKeyed {
		r.Header.Set(outcome.HeaderKey, id)
	}
	response, err := g.Client.Do(r)
	if err != nil {
		return outcome.Unknown, 0, false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	o := outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))
	if err != nil {
		return outcome.Unknown, 0, false
	}
	return o, response.StatusCode, IsWhole(response, data, id)
}

// IsWhole reports whether an answer of the stand-in has the right id and checksum.
func IsWhole(response *http.Response, body []byte, id string) bool {
	sum := sha256.Sum256(body)
	return response.Header.Get(backend.HeaderID) == id && response.Header.Get(backend.HeaderChecksum) == hex.EncodeToString(sum[:])
}
