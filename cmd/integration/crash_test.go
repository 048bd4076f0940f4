package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/child"
)

// startDaemonsWithBackends starts daemons, each with its own backend server process, and applies the standard
// declarations.
func startDaemonsWithBackends(t *testing.T, count int) (*mesh, []*child.Child) {
	t.Helper()
	m := newMesh(t)
	var backends []*child.Child
	for n := range count {
		i := m.addDaemon(fmt.Sprintf("d%d", n), string(rune('a'+n%2)), "")
		p, _ := i.addBackend(fmt.Sprintf("desk-%d", n))
		backends = append(backends, p)
	}
	m.awaitMembership(count)
	output, code := m.daemons[0].apply(m.writeDeclarations(standardDeclarations))
	assert.Equal(t, code, 0, output)
	return m, backends
}

// countExited returns how many of the processes have exited.
func countExited(backends []*child.Child) int {
	count := 0
	for _, p := range backends {
		select {
		case <-p.Done():
			count++
		default:
		}
	}
	return count
}

func TestRequestThatCrashesBackendServersIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		maxCrashes         int
	}{
		{"after two for a repeatable one", http.MethodGet, "/status/poison", 2},
		{"after one for an unrepeatable one", http.MethodPost, "/repayments", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, backends := startDaemonsWithBackends(t, 5)
			for n := range 12 {
				h := keyHeader(fmt.Sprintf("key-%d", n))
				h.Set("X-Crash", "yes")
				i := m.daemons[n%len(m.daemons)]
				response, _, err := i.do(c.method, c.path, fmt.Sprintf("p-%d", n), h, strings.NewReader("poison"))
				assert.NilError(t, err)
				assert.Assert(t, response.StatusCode >= 500)
				eventually(t, "all daemons count all crashes", func() bool {
					for _, other := range m.daemons {
						entries, err := other.operatorClient().Quarantine(t.Context())
						if err != nil || len(entries) != 1 || entries[0].Crashes != countExited(backends) {
							return false
						}
					}
					return true
				})
			}
			assert.Equal(t, countExited(backends), c.maxCrashes)
			response, _, err := m.daemons[0].do(c.method, c.path, "stopped", keyHeader("another"), strings.NewReader("poison"))
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get(outcome.HeaderReason), string(outcome.ReasonQuarantined))
			assert.Equal(t, response.Header.Get(outcome.HeaderOutcome), "not-run")
			releaseRequest(t, m, c.method, c.path)
		})
	}
}

// releaseRequest releases the request from quarantine and waits until it runs, sent without the header that makes
// the backend server crash.
func releaseRequest(t *testing.T, m *mesh, method, path string) {
	t.Helper()
	entries, err := m.daemons[1].operatorClient().Quarantine(t.Context())
	assert.NilError(t, err)
	output, code := run(t, "quarantine", "release", "--operator", m.daemons[1].operatorAddress(), "--token", operatorToken, string(entries[0].Fingerprint))
	assert.Equal(t, code, 0, output)
	eventually(t, "the released request runs", func() bool {
		response, _, err := m.daemons[0].do(method, path, "released", keyHeader("released"), strings.NewReader("poison"))
		return err == nil && response.StatusCode == http.StatusOK
	})
}
