package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The ports of each machine; its host is a loopback address of its own. The metrics of the deploy file are on 7390.
const (
	portInbound  = 8146
	portOutbound = 8147
	portReady    = 8141
	portControl  = 8144
	portApp      = 8145
	portStore    = 8142
)

// settingsTemplate is the settings file of DEPLOY, with the bounds of lamplight-kgn.
const settingsTemplate = `node=%[1]s
role=sidecar
instanceClass=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=jm-south
zones.zone-a=jm-south
zones.zone-b=jm-south
zones.zone-c=jm-south
listen.inbound=%[2]s:8146
listen.outbound=%[2]s:8147
listen.ready=%[2]s:8141
listen.control=%[2]s:8144
internalPortRange=7380,7395
seeds=
bootstrap=%[6]v
countsAsLoss=false
limits.cpuShare=0.32
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=%[7]v
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
app=%[2]s:8145
service=%[4]s
platform.address=%[5]s
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

// The bounds of the rules, as in the settings.
const (
	livenessTime = 3 * time.Second
	drainTime    = 2 * time.Second
	configTime   = 2 * time.Second
	graceTime    = 6 * time.Second
)

// machine is a sidecar machine: one daemon process, and the server beside it.
type machine struct {
	name, zone, service, host string
	storeAddress              string
	linkMbps                  float64
	directory, root           string
	record                    *record
	// isRestarted is true once the daemon was started before.
	isRestarted bool
	started     time.Time
	process     *exec.Cmd
	exited      chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.host, port) }

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	settings := filepath.Join(m.directory, m.name+".conf")
	text := fmt.Sprintf(settingsTemplate, m.name, m.host, m.zone, m.service, m.storeAddress, !m.isRestarted, m.linkMbps)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command(filepath.Join(m.root, "target/siskinspar"), "sidecar", "--metrics-port", "7390")
	p.Dir = m.root
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.directory, "SISKINSPAR_NODE_FILE=" + settings}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	m.isRestarted = true
	m.started = time.Now()
	m.process = p
	exited := make(chan struct{})
	m.exited = exited
	go func() {
		// The exit status is not used.
		_ = p.Wait()
		close(exited)
	}()
	m.record.add("daemon %s: started", m.name)
	return nil
}

// kill ends the daemon with SIGKILL and waits for its end.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	// It may have ended already.
	_ = m.process.Process.Kill()
	<-m.exited
	m.record.add("daemon %s: killed", m.name)
}

// terminate ends the daemon with SIGTERM, and with SIGKILL after graceS.
func (m *machine) terminate() {
	m.record.add("daemon %s: SIGTERM", m.name)
	// It may have ended already.
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
		m.record.add("daemon %s: ended", m.name)
	case <-time.After(graceTime):
		m.kill()
	}
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + m.address(portReady) + "/readyz")
	if err != nil {
		return false
	}
	// Nothing of the body is used.
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// network claims a network of loopback addresses, whose first address is held by a listener until the process ends.
type network struct {
	octet int
	claim net.Listener
	hosts int
}

func newNetwork() (*network, error) {
	for octet := 150; octet < 250; octet++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", octet))
		if err == nil {
			return &network{octet: octet, claim: l}, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// host returns the next address of the network.
func (n *network) host() string {
	n.hosts++
	return fmt.Sprintf("127.%d.1.%d", n.octet, n.hosts)
}
