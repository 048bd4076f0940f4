package integration_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"gotest.tools/v3/assert"

	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/load"
	"siskinspar.example/standin/platform"
)

// keyHeader returns a request header with the given idempotency key, made unlike those of other runs.
func keyHeader(key string) http.Header {
	h := http.Header{}
	h.Set(outcome.HeaderKey, key+"-"+keySuffix)
	return h
}

func TestRetryThroughAnotherDaemonGetsTheSameAnswer(t *testing.T) {
	_, near, far, address := startPair(t)
	for _, size := range []string{"100", "300000"} {
		first, body, err := near.do(http.MethodPost, "/repayments?size="+size, "first-"+size, keyHeader(size), strings.NewReader("pay"))
		assert.NilError(t, err)
		assert.Equal(t, first.StatusCode, http.StatusOK)
		second, again, err := far.do(http.MethodPost, "/repayments?size="+size, "second-"+size, keyHeader(size), strings.NewReader("pay"))
		assert.NilError(t, err)
		assert.Equal(t, second.Header.Get(outcome.HeaderOutcome), "ran")
		assert.Equal(t, string(body), string(again))
		assert.Assert(t, load.IsWhole(second, again, "first-"+size))
		counts := executions(t, address)
		assert.Equal(t, counts["first-"+size], 1)
		assert.Equal(t, counts["second-"+size], 0)
	}
}

func TestConcurrentRetriesShareOneExecution(t *testing.T) {
	_, near, far, address := startPair(t)
	var group sync.WaitGroup
	bodies := make([]string, 8)
	for n := range bodies {
		group.Go(func() {
			i := []*instance{near, far}[n%2]
			response, body, err := i.do(http.MethodPost, "/repayments?work=500ms", fmt.Sprintf("c-%d", n), keyHeader("one"), strings.NewReader("pay"))
			if err == nil && response.StatusCode == http.StatusOK {
				bodies[n] = string(body)
			}
		})
	}
	group.Wait()
	total := 0
	for n := range bodies {
		assert.Assert(t, bodies[n] != "" && bodies[n] == bodies[0], "%q", bodies)
		total += executions(t, address)[fmt.Sprintf("c-%d", n)]
	}
	assert.Equal(t, total, 1)
}

func TestAKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	_, near, _, address := startPair(t)
	_, _, err := near.do(http.MethodPost, "/repayments", "a", keyHeader("k"), strings.NewReader("pay 1"))
	assert.NilError(t, err)
	response, _, err := near.do(http.MethodPost, "/repayments", "b", keyHeader("k"), strings.NewReader("pay 2"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, response.Header.Get(outcome.HeaderOutcome), "not-run")
	assert.Equal(t, executions(t, address)["b"], 0)
}

func TestAnUnrepeatableRequestIsRefusedWhileTheStoreIsDown(t *testing.T) {
	m, near, _, address := startPair(t)
	m.setFault(platform.Fault{Mode: platform.ModeDown})
	response, _, err := near.do(http.MethodPost, "/repayments", "down", keyHeader("k"), strings.NewReader("pay"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(outcome.HeaderOutcome), "not-run")
	assert.Equal(t, executions(t, address)["down"], 0)
	m.setFault(platform.Fault{Mode: platform.ModeLostAnswer, Count: 1})
	response, _, err = near.do(http.MethodPost, "/repayments", "lost", keyHeader("k"), strings.NewReader("pay"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, executions(t, address)["lost"], 1)
}

// faultInjector injects random faults one at a time; each lasts between 200 ms and 1.7 s.
type faultInjector struct {
	m       *mesh
	random  *rand.Rand
	proxies []*toxiproxy.Proxy
}

func (f *faultInjector) injectUntil(stop <-chan struct{}) {
	faults := []func(wait func()){f.killDaemon, f.freezeDaemon, f.breakStore, f.breakNetwork}
	for {
		select {
		case <-stop:
			return
		default:
		}
		duration := time.Duration(200+f.random.IntN(1500)) * time.Millisecond
		faults[f.random.IntN(len(faults))](func() { time.Sleep(duration) })
	}
}

func (f *faultInjector) randomDaemon() *instance { return f.m.daemons[f.random.IntN(len(f.m.daemons))] }

func (f *faultInjector) killDaemon(wait func()) {
	i := f.randomDaemon()
	i.Kill()
	wait()
	i.restart()
}

func (f *faultInjector) freezeDaemon(wait func()) {
	i := f.randomDaemon()
	i.Signal(syscall.SIGSTOP)
	wait()
	i.Signal(syscall.SIGCONT)
}

func (f *faultInjector) breakStore(wait func()) {
	modes := []platform.Fault{
		{Mode: platform.ModeDown}, {Mode: platform.ModeLostAnswer}, {Mode: platform.ModeThrottled}, {Mode: platform.ModeSlow, Delay: 300 * time.Millisecond},
	}
	f.m.setFault(modes[f.random.IntN(len(modes))])
	wait()
	f.m.setFault(platform.Fault{Mode: platform.ModeNone})
}

func (f *faultInjector) breakNetwork(wait func()) {
	proxy := f.proxies[f.random.IntN(len(f.proxies))]
	toxics := []string{
		`{"name": "cut", "type": "limit_data", "stream": "downstream", "attributes": {"bytes": 300}}`,
		`{"name": "cut", "type": "timeout", "stream": "upstream", "attributes": {"timeout": 100}}`,
		`{"name": "cut", "type": "latency", "stream": "downstream", "attributes": {"latency": 300, "jitter": 200}}`,
	}
	_, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxics[f.random.IntN(len(toxics))]))
	if err != nil {
		return
	}
	wait()
	_ = proxy.Toxics.RemoveToxic("cut")
}

// attemptLog records the outcome that callers got for each attempt.
type attemptLog struct {
	mu sync.Mutex
	// notRun holds the request ids of the attempts that were answered not-run.
	notRun []string
	// bodies holds the distinct bodies of the answers to each idempotency key.
	bodies map[string]map[string]bool
	// mismatched holds the request ids of the attempts whose answer was not whole or belonged to another key.
	mismatched []string
	// counts holds the number of attempts by outcome and by reason.
	counts map[string]int
}

// record notes one attempt and reports whether it was answered as run.
func (l *attemptLog) record(key, id string, response *http.Response, body []byte, err error) (hasRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.counts["no answer"]++
		return false
	}
	o := response.Header.Get(outcome.HeaderOutcome)
	l.counts[o]++
	if o == "not-run" {
		l.counts[response.Header.Get(outcome.HeaderReason)]++
		l.notRun = append(l.notRun, id)
	}
	if o != "ran" {
		return false
	}
	if !load.IsWhole(response, body, response.Header.Get("X-Request-Id")) || !strings.HasPrefix(response.Header.Get("X-Request-Id"), key+"/") {
		l.mismatched = append(l.mismatched, id)
	}
	if l.bodies[key] == nil {
		l.bodies[key] = map[string]bool{}
	}
	l.bodies[key][string(body)] = true
	return true
}

// Callers retry keyed requests through random daemons while daemons are killed or frozen and the store and the
// network fail. The counts of the backend servers must agree with the outcomes that the callers got.
func TestUnrepeatableRequestsRunAtMostOnceUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runUnderFaults(t, seed) })
	}
}

// runUnderFaults draws the faults and the callers' choices from the seed. Timing is not reproduced.
func runUnderFaults(t *testing.T, seed uint64) {
	const callers, perCaller, attempts = 8, 25, 6
	t.Logf("seed %d", seed)
	m := newMesh(t)
	f := &faultInjector{m: m, random: rand.New(rand.NewPCG(seed, seed))}
	var backends []string
	for n := range 4 {
		i, proxy := m.addProxiedDaemon(fmt.Sprintf("d%d", n), string(rune('a'+n%2)))
		f.proxies = append(f.proxies, proxy)
		_, address := i.addBackend(fmt.Sprintf("desk-%d", n))
		backends = append(backends, address)
	}
	m.awaitMembership(4)
	_, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(2)))
	assert.Equal(t, code, 0)
	l := &attemptLog{bodies: map[string]map[string]bool{}, counts: map[string]int{}}
	targets := append([]*instance(nil), m.daemons...)
	send := func(random *rand.Rand, key string, attempt int) bool {
		id := fmt.Sprintf("%s/%d", key, attempt)
		to := targets[random.IntN(len(targets))]
		r, err := http.NewRequest(http.MethodPost, "http://"+to.callerAddress()+"/repayments?work=20ms&size=2000", strings.NewReader("pay "+key))
		if err != nil {
			return false
		}
		r.Header = keyHeader(key)
		r.Header.Set("X-Request-Id", id)
		client := &http.Client{Timeout: 4 * time.Second}
		defer client.CloseIdleConnections()
		response, err := client.Do(r)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		return l.record(key, id, response, body, err)
	}
	stop := make(chan struct{})
	var faults, group sync.WaitGroup
	faults.Go(func() { f.injectUntil(stop) })
	for n := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)+100))
			for k := range perCaller {
				key := fmt.Sprintf("key-%d-%d", n, k)
				for a := range attempts {
					if send(random, key, a) && random.IntN(4) > 0 {
						break
					}
					time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	close(stop)
	faults.Wait()
	m.setFault(platform.Fault{Mode: platform.ModeNone})
	byID := map[string]int{}
	byKey := map[string]int{}
	for _, address := range backends {
		for id, count := range executions(t, address) {
			byID[id] += count
			byKey[id[:strings.IndexByte(id, '/')]] += count
		}
	}
	t.Logf("answers %v, keys run %d of %d", l.counts, len(byKey), callers*perCaller)
	for key, count := range byKey {
		assert.Check(t, count <= 1, "%s ran %d times", key, count)
	}
	for _, id := range l.notRun {
		assert.Check(t, byID[id] == 0, "%s was answered not-run, but ran", id)
	}
	assert.Check(t, len(l.mismatched) == 0, "answers that were not whole or belonged to another key: %v", l.mismatched)
	for key, bodies := range l.bodies {
		assert.Check(t, len(bodies) == 1, "%s got %d different answers", key, len(bodies))
		assert.Check(t, byKey[key] == 1, "%s was answered as run, but ran %d times", key, byKey[key])
	}
	assert.Assert(t, l.counts["ran"] > 0)
}
