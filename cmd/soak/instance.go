package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/Shopify/toxiproxy"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"siskinspar.example/standin/application"
)

// The ports of each instance; every instance has a loopback address of its own.
const (
	portClients  = 7811
	portDaemons  = 7812
	portReady    = 7813
	portControl  = 7814
	portServer   = 7815
	portToServer = 7816
	portToStore  = 7817
)

const settingsText = `node=%[1]s
zone=%[2]s
service=%[3]s
listen.outbound=%[4]s:%[5]d
listen.inbound=%[4]s:%[6]d
listen.ready=%[4]s:%[7]d
listen.control=%[4]s:%[8]d
seeds=
bounds.graceS=6
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=60
platform.address=%[4]s:%[9]d
`

// instance is a daemon process with its backend server, its links to both and to the store led through proxies.
type instance struct {
	name, zone, service, host string
	directory, binary         string
	process                   *exec.Cmd
	ended                     chan struct{}
	isStopped                 bool
	server                    *application.Server
	toServer, toStore         *toxiproxy.Proxy
	generation                int
}

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.host, port) }

func (i *instance) settingsPath() string { return filepath.Join(i.directory, i.name+".conf") }

func (i *instance) writeSettings(extra string) error {
	text := fmt.Sprintf(settingsText, i.name, i.zone, i.service, i.host, portClients, portDaemons, portReady, portControl, portToStore)
	return eris.Wrap(os.WriteFile(i.settingsPath(), []byte(text+extra), 0o600), "write the settings")
}

// quietProxies keeps the proxies from logging each connection that a fault ends.
func quietProxies() { logrus.SetOutput(io.Discard) }

func newProxy(name, listen, upstream string) (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy()
	p.Name = name
	p.Listen = listen
	p.Upstream = upstream
	return p, eris.Wrapf(p.Start(), "start proxy %s", name)
}

// start starts the daemon process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	defer log.Close()
	i.process = exec.Command(i.binary, "sidecar", "--settings", i.settingsPath())
	i.process.Stdout = log
	i.process.Stderr = log
	if err := i.process.Start(); err != nil {
		return eris.Wrapf(err, "start %s", i.name)
	}
	i.isStopped = false
	ended := make(chan struct{})
	i.ended = ended
	process := i.process
	go func() {
		// How the process ended is part of the fault.
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemon process, which this soak started.
func (i *instance) signal(s syscall.Signal) {
	// The process may have ended already.
	_ = i.process.Process.Signal(s)
}

// startServer starts another incarnation of the backend server.
func (i *instance) startServer(o application.Observer, failEvery int) error {
	i.generation++
	i.server = &application.Server{
		ID: fmt.Sprintf("%s-%d", i.name, i.generation), Service: i.service, Address: i.address(portServer), Announced: i.address(portToServer),
		Control: i.address(portControl), DataCentre: i.zone, Slots: serverSlots, Work: serverWork, Heartbeat: heartbeat, Observer: o, FailEvery: failEvery,
	}
	return i.server.Start()
}
