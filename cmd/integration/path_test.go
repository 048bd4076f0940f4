package integration_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/request/outcome"
	"siskinspar.example/standin/backend"
	"siskinspar.example/standin/child"
	"siskinspar.example/standin/load"
)

// startPair starts the daemons near and far in two data centres, with a backend server beside far only, and returns
// them with the address of the backend server.
func startPair(t *testing.T) (*mesh, *instance, *instance, string) {
	t.Helper()
	m := newMesh(t)
	near := m.addDaemon("near", "a", "")
	far := m.addDaemon("far", "b", "")
	_, address := far.addBackend("desk-1")
	m.awaitMembership(1)
	output, code := near.apply(m.writeDeclarations(standardDeclarations))
	assert.Equal(t, code, 0, output)
	assert.Assert(t, cmp.Contains(output, "in force on 2 daemons"))
	return m, near, far, address
}

func TestARequestIsServedThroughADaemonOfAnotherDataCentre(t *testing.T) {
	_, near, _, _ := startPair(t)
	response, body, err := near.do(http.MethodGet, "/status/7?size=1000", "one", nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get(outcome.HeaderOutcome), string(outcome.Ran))
	assert.Equal(t, response.Header.Get(outcome.HeaderVersion), "1")
	assert.Assert(t, load.IsWhole(response, body, "one"))
}

func TestLargeBodiesArriveWholeBothWays(t *testing.T) {
	_, near, _, _ := startPair(t)
	sent := bytes.Repeat([]byte("ledger line\n"), 1<<20)
	response, body, err := near.do(http.MethodPost, "/status?size=9000000", "large", nil, bytes.NewReader(sent))
	assert.NilError(t, err)
	assert.Equal(t, len(body), 9000000)
	assert.Assert(t, load.IsWhole(response, body, "large"))
	assert.Equal(t, response.Header.Get(backend.HeaderReceived), fmt.Sprintf("%x", checksum(sent)))
}

func TestInternalHeadersFromACallerAreIgnored(t *testing.T) {
	_, near, _, address := startPair(t)
	forged := http.Header{}
	forged.Set(outcome.HeaderOutcome, "not-run")
	forged.Set(outcome.HeaderVersion, "99")
	forged.Set(outcome.HeaderBackend, "other")
	forged.Set("Siskinspar-Unrepeatable", "false")
	response, _, err := near.do(http.MethodPost, "/repayments", "forged", forged, strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Equal(t, response.Header.Get(outcome.HeaderVersion), "1")
	assert.Equal(t, executions(t, address)["forged"], 0)
}

func TestTruncatedResponseBodyEndsInAnError(t *testing.T) {
	_, near, _, address := startPair(t)
	response, err := http.Post("http://"+address+"/standin/behaviour", "application/json", strings.NewReader(`{"cutAfter": 5000}`))
	assert.NilError(t, err)
	_ = response.Body.Close()
	_, _, err = near.do(http.MethodGet, "/status?size=100000", "cut", nil, nil)
	assert.ErrorContains(t, err, "EOF")
}

func TestACancelledRequestIsCancelledAtTheBackendServer(t *testing.T) {
	m, near, far, _ := startPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+near.callerAddress()+"/status?work=1h", nil)
	assert.NilError(t, err)
	go func() { _, _ = m.httpClient.Do(r) }()
	running := func() int {
		s, err := far.operatorClient().Status(context.Background())
		assert.NilError(t, err)
		return s.BackendServers[0].Running
	}
	eventually(t, "the request runs", func() bool { return running() == 1 })
	cancel()
	eventually(t, "the slot is free", func() bool { return running() == 0 })
}

// Whether the backend server ran the request before the deadline depends on timing; the outcome must match its count.
func TestOutcomeIsTruthfulWhenTheDeadlinePasses(t *testing.T) {
	_, near, _, address := startPair(t)
	short := http.Header{}
	short.Set(outcome.HeaderTimeout, "200")
	response, _, err := near.do(http.MethodPost, "/status?work=1h", "late", short, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun), executions(t, address)["late"] == 0)
}

func TestADrainingDaemonRefusesAtOnceAndResumes(t *testing.T) {
	_, near, far, address := startPair(t)
	output, code := run(t, "drain", "--operator", far.operatorAddress(), "--token", operatorToken)
	assert.Equal(t, code, 0, output)
	response, _, err := near.do(http.MethodGet, "/status", "drained", nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	assert.Equal(t, executions(t, address)["drained"], 0)
	output, code = run(t, "drain", "--undo", "--operator", far.operatorAddress(), "--token", operatorToken)
	assert.Equal(t, code, 0, output)
	eventually(t, "far admits requests again", func() bool {
		response, _, err := near.do(http.MethodGet, "/status", "resumed", nil, nil)
		return err == nil && response.StatusCode == http.StatusOK
	})
}

func TestSIGTERMLetsRequestsInFlightFinish(t *testing.T) {
	for _, c := range []struct {
		name string
		pick func(near, far *instance, backendServer *child.Child) *child.Child
	}{
		{"at the entry daemon", func(near, _ *instance, _ *child.Child) *child.Child { return near.Child }},
		{"at the daemon beside the backend server", func(_, far *instance, _ *child.Child) *child.Child { return far.Child }},
		{"at the backend server", func(_, _ *instance, backendServer *child.Child) *child.Child { return backendServer }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, near, far, address := startPair(t)
			backendServer := m.backends[0]
			type result struct {
				isWhole bool
				err     error
			}
			answered := make(chan result, 1)
			go func() {
				response, body, err := near.do(http.MethodGet, "/status?work=2s&size=100000", "slow", nil, nil)
				answered <- result{err == nil && load.IsWhole(response, body, "slow"), err}
			}()
			// The daemon counts a request as running before the backend server has read it.
			eventually(t, "the request runs", func() bool { return executions(t, address)["slow"] == 1 })
			stopped := c.pick(near, far, backendServer)
			stopped.Signal(syscall.SIGTERM)
			r := <-answered
			assert.NilError(t, r.err)
			assert.Assert(t, r.isWhole)
			<-stopped.Done()
			assert.Equal(t, stopped.ExitCode(), 0)
		})
	}
}

func TestSecondSIGTERMExitsAtOnceAndLogsTheNumberOfCutRequests(t *testing.T) {
	_, near, far, _ := startPair(t)
	go func() { _, _, _ = near.do(http.MethodGet, "/status?work=1h", "cut", nil, nil) }()
	eventually(t, "the request runs", func() bool {
		s, err := far.operatorClient().Status(context.Background())
		return err == nil && s.BackendServers[0].Running == 1
	})
	far.Signal(syscall.SIGTERM)
	eventually(t, "the drain has begun", func() bool { return strings.Contains(far.Text(), "daemon: draining") })
	eventually(t, "the second signal ends the daemon", func() bool {
		far.Signal(syscall.SIGTERM)
		select {
		case <-far.Done():
			return true
		default:
			return false
		}
	})
	assert.Assert(t, cmp.Contains(far.Text(), "requests-cut=1"))
	assert.Equal(t, far.ExitCode(), 1)
}

func TestRequestsWithWrongCredentialsAreRejected(t *testing.T) {
	m, near, _, _ := startPair(t)
	output, code := run(t, "apply", "--operator", near.operatorAddress(), "--token", "wrong-token", m.writeDeclarations(standardDeclarations))
	assert.Equal(t, code, 2, output)
	assert.Assert(t, cmp.Contains(output, "token is missing or wrong"))
	wrongToken := &operatorapi.Client{Address: near.operatorAddress(), Token: operatorToken, HTTP: m.httpClient}
	assert.ErrorContains(t, wrongToken.Announce(context.Background(), operatorapi.Announcement{Name: "x"}), "401")
	for _, path := range []string{"/peer/rpc", "/call/status"} {
		response, err := http.Get("http://" + near.host + ":7002" + path)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusForbidden)
	}
}

func TestTimelineListsAVersionInForceAfterItsAcceptance(t *testing.T) {
	_, near, _, _ := startPair(t)
	output, code := run(t, "timeline", "--operator", near.operatorAddress(), "--token", operatorToken, "--kind", "version-accepted", "--kind", "version-in-force")
	assert.Equal(t, code, 0, output)
	accepted := strings.Index(output, "version-accepted")
	inForce := strings.LastIndex(output, "version-in-force")
	assert.Assert(t, accepted >= 0 && inForce > accepted, output)
	assert.Assert(t, cmp.Contains(output, "far"))
}
