package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinspar.example/standin/loopback"
	"siskinspar.example/standin/platform"
)

// The ports of every machine, on its own loopback address, and that of the store.
const (
	portOutbound = 7921
	portInbound  = 7922
	portReady    = 7923
	portControl  = 7924
	portServer   = 7925
	portStore    = 7926
)

// settingsText is the settings file of a machine, in the form of the page DEPLOY.
const settingsText = `node=%[1]s
role=sidecar
instanceClass=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=jm-south
zones.jm-south-a=jm-south
zones.jm-south-b=jm-south
zones.jm-south-c=jm-south
listen.inbound=%[2]s:7922
listen.outbound=%[2]s:7921
listen.ready=%[2]s:7923
listen.control=%[2]s:7924
internalPortRange=7380,7395
seeds=
bootstrap=%[4]t
countsAsLoss=false
limits.cpuShare=0.32
limits.cores=1
limits.memoryMb=%[5]d
limits.maxFds=4100
limits.linkMbps=%[6]v
limits.diskMb=0
discovery=static
entry=static
heartbeatS=1.5
contracts=base,drain,config,cost,retry,recover,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.livenessS=3
bounds.ackS=4
bounds.catchUpS=4
bounds.drainS=2
bounds.graceS=6
bounds.lossSlackS=0.2
bounds.configS=2
bounds.rollbackSlackS=0.25
bounds.outerS=5
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=60
bounds.recoverS=15
app=%[2]s:7925
service=%[7]s
platform.address=%[8]s
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txnS=0.005
platform.partitionWritesS=200
platform.rowBytes=65536
platform.across=false
platform.retentionS=20
platform.blobBytes=8388608
platform.blobS=0.025
platform.blobMbS=80.0
`

// The limits of a machine on the sheet of the deployment lamplight-kgn.
const (
	sheetMemoryMB = 284
	sheetLinkMbps = 1000.0
)

// fleet is a small deployment: the store, the machines and the record of the run.
type fleet struct {
	binary    string
	directory string
	record    *record
	store     *platform.Server
	storeHTTP *http.Server
	storeAt   string
	machines  []*machine
	// extra is added to the settings of each machine.
	extra string
}

// machine is one machine of the deployment with its daemon and its backend server.
type machine struct {
	fleet               *fleet
	name, zone, service string
	host                string
	memoryMB            int
	linkMbps            float64
	server              *server

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

// newFleet starts the store.
func newFleet(r *record) (*fleet, error) {
	binary, err := filepath.Abs(os.Getenv("SISKINSPAR"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{binary: binary, directory: directory, record: r, store: &platform.Server{WritesPerSecond: 400, ReadsPerSecond: 2000, PartWritesPerSecond: 200}}
	f.storeAt = fmt.Sprintf("%s:%d", loopback.Host(), portStore)
	l, err := net.Listen("tcp", f.storeAt)
	if err != nil {
		return nil, err
	}
	f.storeHTTP = &http.Server{Handler: f.store}
	go func() { _ = f.storeHTTP.Serve(l) }()
	return f, nil
}

// add adds a machine with a backend server of a service.
func (f *fleet) add(service string, s *server) *machine {
	n := len(f.machines)
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%d", n+1), zone: "jm-south-" + string(rune('a'+n%3)), service: service, host: loopback.Host(),
		memoryMB: sheetMemoryMB, linkMbps: sheetLinkMbps, server: s,
	}
	s.machine = m
	s.service = service
	f.machines = append(f.machines, m)
	return m
}

// putConfiguration writes the operator's configuration.
func (f *fleet) putConfiguration(text string) {
	f.store.PutAsOperator("op", "config", []byte(text))
	f.record.line("operator: configuration %s", text)
}

// start starts all daemons and servers, and waits until all daemons are ready and know the servers.
func (f *fleet) start() error { return f.startWith(f.machines) }

// startWith is start with the servers of some machines only.
func (f *fleet) startWith(some []*machine) error {
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range some {
		if err := m.server.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// stop ends all processes and servers.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
		m.server.crash()
	}
	_ = f.storeHTTP.Close()
	_ = os.RemoveAll(f.directory)
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.host, port) }

// start starts the daemon with the command of the deploy file.
func (m *machine) start(isFirst bool) error {
	path := filepath.Join(m.fleet.directory, m.name+".conf")
	text := fmt.Sprintf(settingsText, m.name, m.host, m.zone, isFirst, m.memoryMB, m.linkMbps, m.service, m.fleet.storeAt)
	if err := os.WriteFile(path, []byte(text+m.fleet.extra), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(m.fleet.binary, "sidecar", "--metrics-port", "7390")
	c.Env = append(os.Environ(), "SISKINSPAR_NODE_FILE="+path)
	c.Stdout, c.Stderr = log, log
	if err := startChild(c); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = c, exited
	m.starts++
	m.mu.Unlock()
	m.fleet.record.line("platform: started the daemon of %s, process %d", m.name, c.Process.Pid)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		m.fleet.record.line("platform: the daemon of %s ended: %v", m.name, c.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	c := m.command
	m.mu.Unlock()
	_ = c.Process.Signal(s)
}

// kill ends the daemon with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, exited := m.command, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command.Process.Pid
}

// awaitReady waits until the daemon answers the platform's question with 200.
func (m *machine) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + m.address(portReady) + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				m.fleet.record.line("platform: %s is ready", m.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// residentMB returns the anonymous memory of the daemon in megabytes, as the kernel states it.
func (m *machine) residentMB() float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// call makes one call of the backend server to the daemon on its machine.
func call(address, name, id string, body any) error {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return err
		}
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+address+"/rpc?call="+name+"&of="+id, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
