package integration_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/loopback"
)

// addProxiedDaemon starts a daemon whose peers reach it only through a fault-injecting proxy. The proxy listens on the
// host of the daemon, at another port.
func (m *mesh) addProxiedDaemon(name, centre string) (*instance, *toxiproxy.Proxy) {
	m.t.Helper()
	host := loopback.Host()
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = host + ":7102"
	proxy.Upstream = host + ":7002"
	assert.NilError(m.t, proxy.Start())
	m.t.Cleanup(proxy.Stop)
	return m.addDaemonAt(host, name, centre, host+":7102"), proxy
}

// addToxic adds a network fault, given in the JSON of toxiproxy, to the proxy.
func addToxic(t *testing.T, p *toxiproxy.Proxy, text string) {
	t.Helper()
	_, err := p.Toxics.AddToxicJson(strings.NewReader(text))
	assert.NilError(t, err)
}

func TestConcurrentChangesConvergeOverASlowNetwork(t *testing.T) {
	m := newMesh(t)
	for n := range 6 {
		_, proxy := m.addProxiedDaemon(fmt.Sprintf("d%d", n), string(rune('a'+n%2)))
		addToxic(t, proxy, `{"type": "latency", "stream": "upstream", "attributes": {"latency": 20, "jitter": 20}}`)
		addToxic(t, proxy, `{"type": "slicer", "stream": "downstream", "attributes": {"average_size": 64, "size_variation": 32, "delay": 10}}`)
	}
	m.awaitMembership(0)
	m.watchVersions()
	_, code := m.daemons[0].apply(m.writeDeclarations(standardDeclarations))
	assert.Equal(t, code, 0)
	const rounds = 20
	answers := make(chan operatorapi.SubmissionResult, rounds)
	for n := range rounds {
		go func() {
			r, err := m.daemons[n%6].operatorClient().Submit(t.Context(), intentSubmission(t, fmt.Sprintf("cross-%d", n), "ann", fmt.Sprintf("cross-%d", n), 0, 5))
			if err != nil {
				r.Reason = err.Error()
			}
			answers <- r
		}()
	}
	newest := declaration.Version(0)
	for range rounds {
		r := <-answers
		assert.Equal(t, string(r.Disposition), "accepted", r.Reason)
		newest = max(newest, r.Version)
	}
	m.awaitVersion(newest, m.daemons...)
	for _, i := range m.daemons {
		d, err := i.operatorClient().Declarations(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(d.Declared), 3+rounds, i.name)
	}
}

// The entry daemon can no longer send to the owner, the daemon beside the backend server. It must not answer not-run
// for a request that ran.
func TestOutcomeIsTruthfulWhenTheOwnerIsUnreachable(t *testing.T) {
	m := newMesh(t)
	near := m.addDaemon("near", "a", "")
	far, proxy := m.addProxiedDaemon("far", "b")
	_, address := far.addBackend("desk-1")
	m.awaitMembership(1)
	_, code := near.apply(m.writeDeclarations(standardDeclarations))
	assert.Equal(t, code, 0)
	addToxic(t, proxy, `{"type": "limit_data", "stream": "upstream", "attributes": {"bytes": 0}}`)
	for n := range 5 {
		id := fmt.Sprintf("cut-%d", n)
		response, _, err := near.do("POST", "/status", id, nil, strings.NewReader("x"))
		assert.NilError(t, err)
		o := response.Header.Get(outcome.HeaderOutcome)
		assert.Assert(t, cmp.Contains([]string{"not-run", "unknown"}, o))
		if o == "not-run" {
			assert.Equal(t, executions(t, address)[id], 0)
		}
	}
}
