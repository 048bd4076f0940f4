package integration_test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/standin/child"
	"siskinspar.example/standin/loopback"
)

// waitTimeout bounds each wait for a condition, a command or an HTTP answer. Passing tests end their waits earlier.
const waitTimeout = 60 * time.Second

// The secrets differ from run to run, so that processes of two runs refuse each other.
var (
	operatorToken = "integration-operator-" + rand.Text()
	backendToken  = "integration-backend-" + rand.Text()
	peerKey       = "integration-peer-" + rand.Text()
	// keySuffix ends all idempotency keys.
	keySuffix = rand.Text()
)

// binary is the path of the siskinspar binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "siskinspar-integration-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "siskinspar")
	build := exec.Command("go", "build", "-o", binary, "siskinspar.example/cmd/siskinspar")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// run executes the binary, waits until it exits and returns its combined output and exit code.
func run(t testing.TB, arguments ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, binary, arguments...)
	output, _ := c.CombinedOutput()
	return string(output), c.ProcessState.ExitCode()
}

// The texts by which a process of the binary says that it serves.
const (
	daemonReady  = "daemon: started"
	standinReady = "standin: listening"
)

// start starts the binary and waits until it says that it is ready. When the test ends it is killed, and its output is
// logged if the test has failed.
func start(t testing.TB, ready string, arguments ...string) *child.Child {
	t.Helper()
	p := &child.Child{Path: binary, Arguments: arguments, Ready: ready}
	assert.NilError(t, p.Run())
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("%v:\n%s", arguments, p.Text())
		}
	})
	return p
}

// mesh is a platform stand-in with daemons and backend servers, each running as a separate process.
type mesh struct {
	t testing.TB
	// platformAddress is the address of the platform stand-in, which holds the store.
	platformAddress string
	httpClient      *http.Client
	daemons         []*instance
	// backends holds the backend server processes in start order.
	backends []*child.Child
}

// instance is a daemon process with its own loopback address and settings file.
type instance struct {
	*child.Child
	mesh         *mesh
	name         string
	host         string
	settingsPath string
}

// newMesh starts a platform stand-in. Each process of the mesh uses a loopback host of its own, so that the fixed ports
// never clash.
func newMesh(t testing.TB) *mesh {
	t.Helper()
	m := &mesh{t: t, httpClient: &http.Client{Timeout: waitTimeout}}
	m.platformAddress = loopback.Host() + ":7900"
	start(t, standinReady, "standin", "platform", "--listen", m.platformAddress)
	return m
}

// instanceTemplate is the settings file of a daemon. Its short intervals let the daemons detect failures quickly.
var instanceTemplate = `
[instance]
name = %s
data-centre = %s
labels = site=test
[callers]
listen = %s:7001
[peers]
listen = %s:7002
advertise = %s
seeds = %s
key = ` + peerKey + `
[operators]
listen = %s:7003
token = ` + operatorToken + `
backend-token = ` + backendToken + `
[platform]
address = %s
timeout = 1s
[control]
probe-period = 200ms
suspicion = 1s
poll-period = 200ms
[drain]
notice = 300ms
`

// addDaemon starts a daemon with all earlier ones as seeds. Its peers reach it at the address advertised, or at its
// peer listener when advertised is empty.
func (m *mesh) addDaemon(name, centre, advertised string) *instance {
	m.t.Helper()
	return m.addDaemonAt(loopback.Host(), name, centre, advertised)
}

// addDaemonAt does the same on a host.
func (m *mesh) addDaemonAt(host, name, centre, advertised string) *instance {
	m.t.Helper()
	i := &instance{mesh: m, name: name, host: host}
	if advertised == "" {
		advertised = i.host + ":7002"
	}
	var seeds []string
	for _, other := range m.daemons {
		seeds = append(seeds, other.host+":7002")
	}
	i.settingsPath = filepath.Join(m.t.TempDir(), name+".ini")
	text := fmt.Sprintf(instanceTemplate, name, centre, i.host, i.host, advertised, strings.Join(seeds, ","), i.host, m.platformAddress)
	assert.NilError(m.t, os.WriteFile(i.settingsPath, []byte(text), 0o600))
	i.restart()
	m.daemons = append(m.daemons, i)
	return i
}

func (i *instance) restart() {
	i.Child = start(i.mesh.t, daemonReady, "daemon", "--settings", i.settingsPath)
}

func (i *instance) callerAddress() string { return i.host + ":7001" }

func (i *instance) operatorAddress() string { return i.host + ":7003" }

func (i *instance) operatorClient() *operatorapi.Client {
	return &operatorapi.Client{Address: i.operatorAddress(), Token: operatorToken, HTTP: i.mesh.httpClient}
}

// addBackend starts a backend server process that announces itself to the daemon, and returns it with its address.
func (i *instance) addBackend(name string, extraArguments ...string) (*child.Child, string) {
	address := i.host + ":7010"
	arguments := append([]string{
		"standin", "backend", "--name", name, "--listen", address, "--daemon", i.operatorAddress(), "--token", backendToken, "--labels", "service=desk",
	}, extraArguments...)
	p := start(i.mesh.t, standinReady, arguments...)
	i.mesh.backends = append(i.mesh.backends, p)
	return p, address
}

// eventually waits until the condition holds and fails the test after waitTimeout.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// awaitMembership waits until each running daemon is ready, lists exactly the running daemons as members and knows the
// given number of backend servers. Without running, all daemons count as running.
func (m *mesh) awaitMembership(backends int, running ...*instance) {
	m.t.Helper()
	if len(running) == 0 {
		running = m.daemons
	}
	for _, i := range running {
		eventually(m.t, i.name+" knows the running daemons and backend servers", func() bool {
			s, err := i.operatorClient().Status(context.Background())
			if err != nil || !s.IsReady || len(s.Members) != len(running) {
				return false
			}
			known := 0
			for _, n := range s.Members {
				known += len(n.BackendServers)
			}
			return known == backends
		})
	}
}

// standardDeclarations declares one service with a repeatable and an unrepeatable route.
const standardDeclarations = `
kind: service
name: desk
backendServers: {service: desk}
---
kind: intent
name: status
proxies: {site: test}
target: desk
match: {pathPrefix: /status}
timeout: 10s
---
kind: intent
name: repayment
proxies: {site: test}
target: desk
match: {pathPrefix: /repayments, methods: [POST]}
timeout: 10s
unrepeatable: true
`

// writeDeclarations writes a declarations file and returns its directory.
func (m *mesh) writeDeclarations(text string) string {
	m.t.Helper()
	directory := m.t.TempDir()
	assert.NilError(m.t, os.WriteFile(filepath.Join(directory, "all.yaml"), []byte(text), 0o600))
	return directory
}

// apply runs the apply command with --wait against the daemon and returns its output and exit code.
func (i *instance) apply(directory string, extraArguments ...string) (string, int) {
	arguments := append([]string{"apply", "--operator", i.operatorAddress(), "--token", operatorToken, "--wait"}, extraArguments...)
	return run(i.mesh.t, append(arguments, directory)...)
}

// version returns the version in force on the daemon, or 0 when the daemon does not answer.
func (i *instance) version() declaration.Version {
	s, err := i.operatorClient().Status(context.Background())
	if err != nil {
		return 0
	}
	return s.Version
}

// do sends a request to the caller listener and returns the answer and its body.
func (i *instance) do(method, path, id string, header http.Header, body io.Reader) (*http.Response, []byte, error) {
	r, err := http.NewRequest(method, "http://"+i.callerAddress()+path, body)
	assert.NilError(i.mesh.t, err)
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("X-Request-Id", id)
	response, err := i.mesh.httpClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

// executions returns how often the backend server at the address ran each request, by request id.
func executions(t testing.TB, address string) map[string]int {
	t.Helper()
	response, err := http.Get("http://" + address + "/standin/executions")
	assert.NilError(t, err)
	defer response.Body.Close()
	counts := map[string]int{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}
