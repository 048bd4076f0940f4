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
	// Name identifies the class in the tallies and is part of its request ids.
	Name   string
	Method string
	// Host is the Host header; if it is empty, the header holds the address of the target.
	Host string
	// Path is the path of the request, with its query if any.
	Path string
	// Weight is the share of the class in the mix, relative to the sum of all weights.
	Weight float64
	// BodySize is the size of the request's body in bytes.
	BodySize int
	// IsKeyed makes each request carry its id as idempotency key.
	IsKeyed bool
}

// Tally counts the requests of one class by result.
type Tally struct {
	// Sent counts all requests; it is the sum of the other counts.
	Sent int
	// Ran counts requests that ran and got their own answer whole, with a status below 500.
	Ran int
	// NotRun counts requests that were answered as not run.
	NotRun int
	// Unknown counts requests without an answer that says whether they ran.
	Unknown int
	// Failed counts requests that ran and were answered with a status of 500 or above.
	Failed int
	// Mismatched counts answers that belonged to another request or were not whole.
	Mismatched int
	// Latencies holds the latencies of the requests counted in Ran, in microseconds from the time each was due.
	Latencies *hdrhistogram.Histogram
}

// Generator sends requests at a steady rate; its exported fields are set before Run.
type Generator struct {
	// Targets holds the addresses to which the requests go round-robin.
	Targets []string
	Classes []Class
	// Rate is in requests per second.
	Rate float64
	// Duration is the time over which the requests fall due; Run then waits for their answers.
	Duration time.Duration
	// Concurrency bounds the requests in flight. At the bound the next request waits, which counts as latency.
	Concurrency int
	// Seed determines the order of the classes.
	Seed   uint64
	Client *http.Client
	// Prefix starts each request id.
	Prefix string

	mu        sync.Mutex
	tallies   map[string]*Tally
	notRunIDs []string
}

// The range of the latency histograms in microseconds, from 1 microsecond to 10 minutes, and their significant digits.
const (
	shortestLatency = 1
	longestLatency  = int64(10 * 60 * 1e6)
	latencyDigits   = 3
)

// Run sends the requests, waits for all answers and returns the tallies by class name. It stops sending when the
// context ends.
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

// NotRunIDs returns the ids of the requests that were answered as not run. A test compares them with the executions
// that the backend servers counted. It may be called after Run has returned.
func (g *Generator) NotRunIDs() []string { return g.notRunIDs }

// draw returns a random class, by weight.
func (g *Generator) draw(r *rand.Rand) Class {
	total := 0.0
	for _, c := range g.Classes {
		total += c.Weight
	}
	point := r.Float64() * total
	for _, c := range g.Classes {
		if point < c.Weight {
			return c
		}
		point -= c.Weight
	}
	return g.Classes[len(g.Classes)-1]
}

// send sends one request and counts its result. It measures the latency from the time at which the request was due, so
// that the wait for one of the Concurrency senders is included.
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
		t.Mismatched++
	case result == outcome.NotRun:
		t.NotRun++
		g.notRunIDs = append(g.notRunIDs, id)
	default:
		t.Unknown++
	}
}

// perform sends one request and returns its outcome, the status of the answer, and whether the answer is whole and
// belongs to the request.
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

// IsWhole reports whether an answer of the backend stand-in belongs to the request id and its body has the checksum
// that the stand-in sent with it.
func IsWhole(response *http.Response, body []byte, id string) bool {
	sum := sha256.Sum256(body)
	return response.Header.Get(backend.HeaderID) == id && response.Header.Get(backend.HeaderChecksum) == hex.EncodeToString(sum[:])
}
