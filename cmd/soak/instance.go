package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"siskinspar.example/standin/application"
	"siskinspar.example/standin/child"
)

// The ports that every instance uses on its own loopback address. The daemon listens for clients, for other daemons,
// for readiness checks and, on portControl, for the heartbeats of its backend server, which listens on portServer. The
// proxies to the backend server and to the store listen on portToServer and portToStore.
const (
	portClients  = 7811
	portDaemons  = 7812
	portReady    = 7813
	portControl  = 7814
	portServer   = 7815
	portToServer = 7816
	portToStore  = 7817
)

// settingsTemplate is the settings file of an instance, with the arguments of writeSettings.
const settingsTemplate = `node=%[1]s
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

// instance is a daemon process with its backend server. Toxiproxy proxies carry its connections to the backend server
// and to the store.
type instance struct {
	name, zone, service, host string
	directory, binary         string
	// environment holds variables of the daemon's environment.
	environment       []string
	process           *daemonProcess
	checker           *Checker
	server            *application.Server
	toServer, toStore *toxiproxy.Proxy
	incarnation       int // number of the present incarnation of the backend server, from 1
}

// address returns the address of one of the ports of the instance.
func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.host, port) }

func (i *instance) settingsPath() string { return filepath.Join(i.directory, i.name+".conf") }

// writeSettings writes the settings file with extra lines at its end.
func (i *instance) writeSettings(extra string) error {
	text := fmt.Sprintf(settingsTemplate, i.name, i.zone, i.service, i.host, portClients, portDaemons, portReady, portControl, portToStore)
	return eris.Wrap(os.WriteFile(i.settingsPath(), []byte(text+extra), 0o600), "write the settings")
}

// discardProxyLogs discards the log of the proxies, which would have a line for each connection that a fault ends.
func discardProxyLogs() { logrus.SetOutput(io.Discard) }

// newProxy starts a proxy that listens on one address and connects to the upstream address.
func newProxy(name, listen, upstream string) (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy()
	p.Name = name
	p.Listen = listen
	p.Upstream = upstream
	return p, eris.Wrapf(p.Start(), "start proxy %s", name)
}

// daemonProcess is one run of a daemon, with the last signal that was meant to end it.
type daemonProcess struct {
	child.Child
	last atomic.Int32
}

// Signal sends a signal to the process.
func (p *daemonProcess) Signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.last.Store(int32(s))
	}
	p.Child.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *daemonProcess) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// start starts the daemon process and appends its output to the log file of the instance.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	i.process = &daemonProcess{Child: child.Child{
		Path: i.binary, Arguments: []string{"sidecar", "--settings", i.settingsPath()}, Environment: i.environment, Ready: "daemon: started", Output: log,
	}}
	if err := i.process.Run(); err != nil {
		return err
	}
	process := i.process
	go func() {
		<-process.Done()
		i.checker.checkEnd(i.name, syscall.Signal(process.last.Load()), process.ExitCode())
		// The error is ignored: what is lost is the end of a log.
		_ = log.Close()
	}()
	return nil
}

// bindTimeout is how long the address of a backend server may stay in use after its end: a daemon that is being started
// holds copies of all sockets until its process executes its own program.
const bindTimeout = time.Second

// startServer starts the next incarnation of the backend server, which breaks the connection of each n-th request that
// it has run, where n is failEvery; 0 never does.
func (i *instance) startServer(failEvery int) error {
	i.incarnation++
	server := &application.Server{
		ID: serverID(i.name, i.incarnation), Service: i.service, Address: i.address(portServer), AdvertisedAddress: i.address(portToServer),
		DaemonAddress: i.address(portControl), DataCentre: i.zone, Slots: serverSlots, ProcessingTime: serverProcessingTime, Heartbeat: heartbeat, Observer: i.checker, FailEvery: failEvery,
		OnBreakOff: i.checker.recordBreakOff,
	}
	err := server.Start()
	for began := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(began) < bindTimeout; err = server.Start() {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		return err
	}
	i.server = server
	return nil
}
