package slope_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/daemon/settings"
	"siskinspar.example/declaration"
	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/backend"
	"siskinspar.example/standin/mesh"
	"siskinspar.example/standin/platform"
	"siskinspar.example/versionlog"
	"siskinspar.example/versionlog/record"
)

// newMesh starts daemons in three data centres of equal size.
func newMesh(b *testing.B, daemons int, adjust func(*settings.Settings)) *mesh.Mesh {
	b.Helper()
	m := &mesh.Mesh{Platform: &platform.Server{}, Adjust: adjust}
	b.Cleanup(m.Stop)
	assert.NilError(b, m.StartPlatform())
	for i := range daemons {
		_, err := m.Add(fmt.Sprintf("d%03d", i), fmt.Sprintf("dc-%c", 'a'+i%3), nil)
		assert.NilError(b, err)
	}
	settle(b, m)
	return m
}

func settle(b *testing.B, m *mesh.Mesh) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	assert.NilError(b, m.Settle(ctx))
}

func traffic(m *mesh.Mesh) float64 {
	total := int64(0)
	for _, n := range m.Nodes() {
		total += n.Daemon().Core().Traffic.Sent()
	}
	return float64(total)
}

var submitted atomic.Int64

// submit makes one version and returns it.
func submit(b *testing.B, n *mesh.Node) declaration.Version {
	b.Helper()
	name := fmt.Sprintf("change-%d", submitted.Add(1))
	e, err := declaration.NewServiceEntry(declaration.Service{Name: name, BackendServers: declaration.Selector{"service": name}})
	assert.NilError(b, err)
	r := n.Daemon().Core().Node.Submit(context.Background(), versionlog.Submission{
		RequestID: versionlog.RequestID(name), Operator: "bench",
		Proposals: []versionlog.Proposal{{Edit: declaration.Edit{Key: e.Key(), Content: e.Content()}}},
	})
	assert.NilError(b, r.Err())
	return r.Version()
}

// arrivals measures for each daemon the time from the start until a version is in force.
func arrivals(m *mesh.Mesh, v func() declaration.Version, started time.Time) []float64 {
	waits := make([]float64, len(m.Nodes()))
	var group sync.WaitGroup
	target := v()
	for i, n := range m.Nodes() {
		group.Go(func() {
			h := n.Daemon().Core().Configuration
			for h.Version() < target {
				changed := h.Changed()
				if h.Version() >= target {
					break
				}
				<-changed
			}
			waits[i] = time.Since(started).Seconds()
		})
	}
	group.Wait()
	slices.Sort(waits)
	return waits
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// BenchmarkIdle measures what a daemon spends on control while nothing changes.
func BenchmarkIdle(b *testing.B) {
	for _, daemons := range []int{12, 48, 144} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			m := newMesh(b, daemons, nil)
			time.Sleep(5 * time.Second)
			const span = 10 * time.Second
			reads := m.Platform.Counts().Reads
			bytes, spent := traffic(m), processorTime()
			time.Sleep(span)
			each := span.Seconds() * float64(daemons)
			keep(b, "idle.sent", float64(daemons), "B/s", (traffic(m)-bytes)/each)
			keep(b, "idle.processor", float64(daemons), "s/s", (processorTime()-spent)/each)
			keep(b, "idle.reads", float64(daemons), "reads/s", float64(m.Platform.Counts().Reads-reads)/span.Seconds())
		})
	}
}

// BenchmarkConvergence measures the time until a change is in force everywhere, against every daemon polling the store.
func BenchmarkConvergence(b *testing.B) {
	for _, daemons := range []int{12, 48, 144} {
		for _, perSecond := range []int{1, 10} {
			b.Run(fmt.Sprintf("daemons=%d/rate=%d", daemons, perSecond), func(b *testing.B) {
				m := newMesh(b, daemons, nil)
				submit(b, m.Nodes()[0])
				measureConvergence(b, m, perSecond)
				measurePolling(b, m, perSecond)
			})
		}
	}
}

const changesPerRun = 30

func measureConvergence(b *testing.B, m *mesh.Mesh, perSecond int) {
	b.Helper()
	suffix := fmt.Sprintf(".rate%d", perSecond)
	var all, last []float64
	bytes, spent, reads := traffic(m), processorTime(), m.Platform.Counts().Reads
	began := time.Now()
	for i := range changesPerRun {
		started := time.Now()
		waits := arrivals(m, func() declaration.Version { return submit(b, m.Nodes()[i%len(m.Nodes())]) }, started)
		all = append(all, waits...)
		last = append(last, waits[len(waits)-1])
		time.Sleep(time.Second/time.Duration(perSecond) - time.Since(started))
	}
	elapsed := time.Since(began).Seconds()
	each := float64(changesPerRun * len(m.Nodes()))
	size := float64(len(m.Nodes()))
	slices.Sort(all)
	keep(b, "converge.p50"+suffix, size, "s", quantile(all, 0.5))
	keep(b, "converge.p99"+suffix, size, "s", quantile(all, 0.99))
	keep(b, "converge.last"+suffix, size, "s", slices.Max(last))
	keep(b, "converge.sent"+suffix, size, "B/change", (traffic(m)-bytes)/each)
	keep(b, "converge.processor"+suffix, size, "s/change", (processorTime()-spent)/each)
	keep(b, "converge.reads"+suffix, size, "reads/s", float64(m.Platform.Counts().Reads-reads)/elapsed)
}

// pollPeriod is the period of the baseline.
const pollPeriod = 2 * time.Second

// measurePolling is the baseline: as many followers as daemons read the head of the store every two seconds.
func measurePolling(b *testing.B, m *mesh.Mesh, perSecond int) {
	b.Helper()
	suffix := fmt.Sprintf(".rate%d", perSecond)
	log := m.Nodes()[0].Daemon().Core().Log
	ctx, cancel := context.WithCancel(context.Background())
	reads := m.Platform.Counts().Reads
	began := time.Now()
	seen := newSightings()
	var group sync.WaitGroup
	for i := range m.Nodes() {
		group.Go(func() {
			time.Sleep(pollPeriod * time.Duration(i) / time.Duration(len(m.Nodes())))
			poll(ctx, log, seen)
		})
	}
	for i := range changesPerRun {
		started := time.Now()
		seen.expect(submit(b, m.Nodes()[i%len(m.Nodes())]), started)
		time.Sleep(time.Second/time.Duration(perSecond) - time.Since(started))
	}
	time.Sleep(pollPeriod + 500*time.Millisecond)
	elapsed := time.Since(began).Seconds()
	cancel()
	group.Wait()
	size := float64(len(m.Nodes()))
	waits := seen.sorted()
	keep(b, "polling.p50"+suffix, size, "s", quantile(waits, 0.5))
	keep(b, "polling.last"+suffix, size, "s", waits[len(waits)-1])
	keep(b, "polling.reads"+suffix, size, "reads/s", float64(m.Platform.Counts().Reads-reads)/elapsed)
}

type sightings struct {
	mu      sync.Mutex
	started map[declaration.Version]time.Time
	waits   []float64
}

func newSightings() *sightings { return &sightings{started: map[declaration.Version]time.Time{}} }

func (s *sightings) expect(v declaration.Version, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[v] = at
}

func (s *sightings) note(from, to declaration.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := from + 1; v <= to; v++ {
		if at, ok := s.started[v]; ok {
			s.waits = append(s.waits, time.Since(at).Seconds())
		}
	}
}

func (s *sightings) sorted() []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.waits))
}

func poll(ctx context.Context, log *record.Log, seen *sightings) {
	held := declaration.Version(0)
	for ctx.Err() == nil {
		if head, err := log.Head(ctx); err == nil && head.Version > held {
			if _, err := log.Changes(ctx, head.Version-1); err == nil {
				seen.note(held, head.Version)
				held = head.Version
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollPeriod):
		}
	}
}

// BenchmarkHerd measures the return of all daemons at once.
func BenchmarkHerd(b *testing.B) {
	for _, daemons := range []int{12, 48, 144} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			m := newMesh(b, daemons, nil)
			for range 5 {
				submit(b, m.Nodes()[0])
			}
			for _, n := range m.Nodes() {
				n.KillDaemon()
			}
			reads, spent := m.Platform.Counts().Reads, processorTime()
			started := time.Now()
			for _, n := range m.Nodes() {
				assert.NilError(b, n.Restart())
			}
			settle(b, m)
			took := time.Since(started).Seconds()
			size := float64(daemons)
			keep(b, "herd.time", size, "s", took)
			keep(b, "herd.reads", size, "reads", float64(m.Platform.Counts().Reads-reads)/size)
			keep(b, "herd.sent", size, "B", traffic(m)/size)
			keep(b, "herd.processor", size, "s", (processorTime()-spent)/size)
		})
	}
}

const requestDeclarations = `
kind: service
name: desk
backendServers: {service: desk}
---
kind: intent
name: status
target: desk
match: {pathPrefix: /status}
---
kind: intent
name: repayment
target: desk
match: {pathPrefix: /repayments}
unrepeatable: true
`

func newServingMesh(b *testing.B) (*mesh.Mesh, *mesh.Backend) {
	b.Helper()
	m := newMesh(b, 3, nil)
	far, err := m.Nodes()[2].AddBackend(&backend.Server{Name: "desk", Slots: 64}, declaration.Labels{"service": "desk"}, 64)
	assert.NilError(b, err)
	entries, faults := declaration.Read("bench.yaml", []byte(requestDeclarations))
	assert.Equal(b, len(faults), 0)
	s := versionlog.Submission{RequestID: "declarations", Operator: "bench"}
	for _, e := range entries {
		s.Proposals = append(s.Proposals, versionlog.Proposal{Edit: declaration.Edit{Key: e.Key(), Content: e.Content()}})
	}
	r := m.Nodes()[0].Daemon().Core().Node.Submit(context.Background(), s)
	assert.NilError(b, r.Err())
	settle(b, m)
	arrivals(m, func() declaration.Version { return r.Version() }, time.Now())
	return m, far
}

// exchange sends one small request and returns its latency in seconds.
func exchange(b *testing.B, client *http.Client, method, target, key string) float64 {
	b.Helper()
	r, err := http.NewRequest(method, target, strings.NewReader("sixty-four bytes of a request body, more or less as many as that"))
	assert.NilError(b, err)
	r.Header.Set(backend.HeaderID, "x")
	if key != "" {
		r.Header.Set(outcome.HeaderKey, key)
	}
	started := time.Now()
	response, err := client.Do(r)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	_ = response.Body.Close()
	assert.Equal(b, response.StatusCode, http.StatusOK)
	return time.Since(started).Seconds()
}

// BenchmarkLatency measures what two hops add, paired with direct calls, at some hundred calls a second.
func BenchmarkLatency(b *testing.B) {
	for _, perSecond := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			m, far := newServingMesh(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			var direct, through []float64
			const seconds = 6
			for range seconds * perSecond {
				pause := time.Now().Add(time.Second / time.Duration(perSecond))
				direct = append(direct, exchange(b, client, http.MethodPost, "http://"+far.Address()+"/status", ""))
				through = append(through, exchange(b, client, http.MethodPost, "http://"+m.Nodes()[0].Callers()+"/status", ""))
				time.Sleep(time.Until(pause))
			}
			slices.Sort(direct)
			slices.Sort(through)
			size := float64(perSecond)
			keep(b, "latency.direct.p99", size, "s", quantile(direct, 0.99))
			keep(b, "latency.through.p50", size, "s", quantile(through, 0.5))
			keep(b, "latency.through.p99", size, "s", quantile(through, 0.99))
			keep(b, "latency.added.p50", size, "s", quantile(through, 0.5)-quantile(direct, 0.5))
			keep(b, "latency.added.p99", size, "s", quantile(through, 0.99)-quantile(direct, 0.99))
		})
	}
}

// BenchmarkCalls measures the processor time of a call over both daemons, less that of a direct call.
func BenchmarkCalls(b *testing.B) {
	for _, calls := range []int{2000, 6000, 18000} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			m, far := newServingMesh(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			spend := func(target string) float64 {
				spent := processorTime()
				var group sync.WaitGroup
				for range 4 {
					group.Go(func() {
						for range calls / 4 {
							exchange(b, client, http.MethodPost, target, "")
						}
					})
				}
				group.Wait()
				return processorTime() - spent
			}
			direct := spend("http://" + far.Address() + "/status")
			through := spend("http://" + m.Nodes()[0].Callers() + "/status")
			keep(b, "calls.processor", float64(calls), "s", through-direct)
		})
	}
}

// BenchmarkUnrepeatable counts the platform's calls for unrepeatable requests.
func BenchmarkUnrepeatable(b *testing.B) {
	for _, requests := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			m, _ := newServingMesh(b)
			client := &http.Client{}
			before := m.Platform.Counts()
			began := time.Now()
			var waits []float64
			for i := range requests {
				waits = append(waits, exchange(b, client, http.MethodPost, "http://"+m.Nodes()[0].Callers()+"/repayments", fmt.Sprintf("key-%d", i)))
			}
			after := m.Platform.Counts()
			polled := time.Since(began).Seconds() * 2 * 3
			slices.Sort(waits)
			size := float64(requests)
			keep(b, "unrepeatable.writes", size, "writes", float64(after.Writes-before.Writes))
			keep(b, "unrepeatable.reads", size, "reads", float64(after.Reads-before.Reads)-polled)
			keep(b, "unrepeatable.p99", size, "s", quantile(waits, 0.99))
		})
	}
}
