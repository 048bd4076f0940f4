package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/standin/platform"
)

// patience bounds every wait; it decides only how long a failing test takes to fail.
const patience = 60 * time.Second

const (
	operatorToken = "integration-operator-token"
	backendToken  = "integration-backend-token"
	peerKey       = "integration-peer-key"
)

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

// run runs a command to its end and returns its output and exit code.
func run(t testing.TB, arguments ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c := exec.CommandContext(ctx, binary, arguments...)
	output, _ := c.CombinedOutput()
	return string(output), c.ProcessState.ExitCode()
}

// process is a running process of the binary.
type process struct {
	command *exec.Cmd
	output  *safeBuffer
	ended   chan struct{}
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func start(t testing.TB, arguments ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(binary, arguments...), output: &safeBuffer{}, ended: make(chan struct{})}
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	assert.NilError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			t.Logf("%v:\n%s", arguments, p.output.String())
		}
	})
	return p
}

func (p *process) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// mesh is a platform stand-in with daemons and backend servers, each a process of its own.
type mesh struct {
	t       testing.TB
	subnet  int
	host    int
	store   string
	control *http.Client
	daemons []*instance
	// backends are the backend server processes in the order in which they were started.
	backends []*process
}

// instance is a daemon process on an IP number of its own.
type instance struct {
	*process
	mesh     *mesh
	name     string
	host     string
	settings string
}

var subnets atomic.Int32

// newMesh starts a platform stand-in; each mesh has a loopback network of its own, so that ports never clash.
func newMesh(t testing.TB) *mesh {
	t.Helper()
	m := &mesh{t: t, subnet: int(subnets.Add(1)), control: &http.Client{Timeout: patience}}
	m.store = m.nextHost() + ":7900"
	start(t, "standin", "platform", "--listen", m.store)
	return m
}

func (m *mesh) nextHost() string {
	m.host++
	return fmt.Sprintf("127.%d.%d.%d", 100+m.pid(), m.subnet, m.host)
}

func (m *mesh) pid() int { return os.Getpid() % 100 }

// instanceTemplate has short intervals, so that tests of failures don't take long.
const instanceTemplate = `
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

// add starts a daemon; advertised is the peer address that others use, empty for its own.
func (m *mesh) add(name, centre, advertised string) *instance {
	m.t.Helper()
	i := &instance{mesh: m, name: name, host: m.nextHost()}
	if advertised == "" {
		advertised = i.host + ":7002"
	}
	var seeds []string
	for _, other := range m.daemons {
		seeds = append(seeds, other.host+":7002")
	}
	i.settings = filepath.Join(m.t.TempDir(), name+".ini")
	text := fmt.Sprintf(instanceTemplate, name, centre, i.host, i.host, advertised, strings.Join(seeds, ","), i.host, m.store)
	assert.NilError(m.t, os.WriteFile(i.settings, []byte(text), 0o600))
	i.restart()
	m.daemons = append(m.daemons, i)
	return i
}

func (i *instance) restart() { i.process = start(i.mesh.t, "daemon", "--settings", i.settings) }

func (i *instance) callers() string { return i.host + ":7001" }

func (i *instance) operators() string { return i.host + ":7003" }

func (i *instance) client() *operatorapi.Client {
	return &operatorapi.Client{Address: i.operators(), Token: operatorToken, HTTP: i.mesh.control}
}

// addBackend starts a backend server process beside the daemon.
func (i *instance) addBackend(name string, more ...string) (*process, string) {
	address := i.host + ":7010"
	arguments := append([]string{
		"standin", "backend", "--name", name, "--listen", address, "--daemon", i.operators(), "--token", backendToken, "--labels", "service=desk",
	}, more...)
	p := start(i.mesh.t, arguments...)
	i.mesh.backends = append(i.mesh.backends, p)
	return p, address
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(20*time.Millisecond))
}

// settle waits until every running daemon is ready and knows all others and the given number of backend servers.
func (m *mesh) settle(backends int, running ...*instance) {
	m.t.Helper()
	if len(running) == 0 {
		running = m.daemons
	}
	for _, i := range running {
		eventually(m.t, i.name+" settles", func() bool {
			s, err := i.client().Status(context.Background())
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

func (m *mesh) fault(f platform.Fault) {
	m.t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(m.t, err)
	response, err := m.control.Post("http://"+m.store+"/standin/fault", "application/json", bytes.NewReader(body))
	assert.NilError(m.t, err)
	_ = response.Body.Close()
}

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

func (m *mesh) declare(text string) string {
	m.t.Helper()
	directory := m.t.TempDir()
	assert.NilError(m.t, os.WriteFile(filepath.Join(directory, "all.yaml"), []byte(text), 0o600))
	return directory
}

func (i *instance) apply(directory string, more ...string) (string, int) {
	arguments := append([]string{"apply", "--operator", i.operators(), "--token", operatorToken, "--wait"}, more...)
	return run(i.mesh.t, append(arguments, directory)...)
}

func (i *instance) version() declaration.Version {
	s, err := i.client().Status(context.Background())
	if err != nil {
		return 0
	}
	return s.Version
}

// get sends a request to the caller listener and returns the answer with its whole body.
func (i *instance) do(method, path, id string, header http.Header, body io.Reader) (*http.Response, []byte, error) {
	r, err := http.NewRequest(method, "http://"+i.callers()+path, body)
	assert.NilError(i.mesh.t, err)
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("X-Request-Id", id)
	response, err := i.mesh.control.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

func executions(t testing.TB, address string) map[string]int {
	t.Helper()
	response, err := http.Get("http://" + address + "/standin/executions")
	assert.NilError(t, err)
	defer response.Body.Close()
	counts := map[string]int{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}
