package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/request/outcome"
)

// startDesks starts daemons with one backend server process beside each.
func startDesks(t *testing.T, count int) (*mesh, []*process) {
	t.Helper()
	m := newMesh(t)
	var desks []*process
	for n := range count {
		i := m.add(fmt.Sprintf("d%d", n), string(rune('a'+n%2)), "")
		p, _ := i.addBackend(fmt.Sprintf("desk-%d", n))
		desks = append(desks, p)
	}
	m.settle(count)
	output, code := m.daemons[0].apply(m.declare(standardDeclarations))
	assert.Equal(t, code, 0, output)
	return m, desks
}

func crashed(desks []*process) int {
	count := 0
	for _, p := range desks {
		select {
		case <-p.ended:
			count++
		default:
		}
	}
	return count
}

func TestARequestThatCrashesBackendServersIsStopped(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		allowed            int
	}{
		{"after two for a repeatable one", http.MethodGet, "/status/poison", 2},
		{"after one for an unrepeatable one", http.MethodPost, "/repayments", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, desks := startDesks(t, 5)
			for n := range 12 {
				h := keyed(fmt.Sprintf("key-%d", n))
				h.Set("X-Crash", "yes")
				i := m.daemons[n%len(m.daemons)]
				response, _, err := i.do(c.method, c.path, fmt.Sprintf("p-%d", n), h, strings.NewReader("poison"))
				assert.NilError(t, err)
				assert.Assert(t, response.StatusCode >= 500)
				eventually(t, "all daemons know of all crashes", func() bool {
					for _, other := range m.daemons {
						entries, err := other.client().Quarantine(t.Context())
						if err != nil || len(entries) != 1 || entries[0].Crashes != crashed(desks) {
							return false
						}
					}
					return true
				})
			}
			assert.Equal(t, crashed(desks), c.allowed)
			response, _, err := m.daemons[0].do(c.method, c.path, "stopped", keyed("another"), strings.NewReader("poison"))
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get(outcome.HeaderReason), string(outcome.ReasonQuarantined))
			assert.Equal(t, response.Header.Get(outcome.HeaderOutcome), "not-run")
			release(t, m, c.method, c.path)
		})
	}
}

// release lets the request run again, this time without the mark that makes it crash.
func release(t *testing.T, m *mesh, method, path string) {
	t.Helper()
	entries, err := m.daemons[1].client().Quarantine(t.Context())
	assert.NilError(t, err)
	output, code := run(t, "quarantine", "release", "--operator", m.daemons[1].operators(), "--token", operatorToken, string(entries[0].Fingerprint))
	assert.Equal(t, code, 0, output)
	eventually(t, "the released request runs", func() bool {
		response, _, err := m.daemons[0].do(method, path, "released", keyed("released"), strings.NewReader("poison"))
		return err == nil && response.StatusCode == http.StatusOK
	})
}
