package integration_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// loseTwoVersions starts daemons, applies three versions and brings the store back as it was after the first.
func loseTwoVersions(t *testing.T) *mesh {
	t.Helper()
	m := startDaemons(t, 3, 2)
	m.watchVersions()
	for n := range 3 {
		if n == 1 {
			m.copyStore()
		}
		output, code := m.daemons[n].apply(m.writeDeclarations(withTimeout(10 + n)))
		assert.Equal(t, code, 0, output)
	}
	m.restoreStore()
	return m
}

// restartAll kills all daemons and starts them again, so that what they know comes from the store.
func (m *mesh) restartAll() {
	m.t.Helper()
	for _, i := range m.daemons {
		i.Kill()
	}
	for _, i := range m.daemons {
		i.restart()
	}
	m.awaitMembership(0)
}

func TestAnAcceptedVersionThatTheStoreLostIsInForceAfterARestart(t *testing.T) {
	m := loseTwoVersions(t)
	eventually(t, "the version log holds all versions", func() bool {
		history, err := m.daemons[0].operatorClient().History(context.Background())
		return err == nil && len(history) == 3
	})
	m.restartAll()
	m.awaitVersion(3, m.daemons...)
}

func TestAChangeIsAcceptedAfterTheStoreLostVersions(t *testing.T) {
	m := loseTwoVersions(t)
	output, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(20)))
	assert.Equal(t, code, 0, output)
	m.awaitVersion(4, m.daemons...)
	m.restartAll()
	m.awaitVersion(4, m.daemons...)
}

func TestAnUnrepeatableRequestWhoseClaimTheStoreLostRunsOnce(t *testing.T) {
	m, near, far, address := startPair(t)
	m.copyStore()
	first, _, err := near.do(http.MethodPost, "/repayments", "first", keyHeader("key"), strings.NewReader("pay"))
	assert.NilError(t, err)
	assert.Equal(t, first.StatusCode, http.StatusOK)
	m.restoreStore()
	_, _, err = far.do(http.MethodPost, "/repayments", "second", keyHeader("key"), strings.NewReader("pay"))
	assert.NilError(t, err)
	counts := executions(t, address)
	assert.Equal(t, counts["first"]+counts["second"], 1)
}
