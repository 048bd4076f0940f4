// Command lab plays the cases of the review: daemons as separate processes, with stand-ins of the platform's store, of
// the servers and of the clients. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab holds what a case starts.
type lab struct {
	record    *record
	directory string
	root      string
	network   *network
	store     *store
	machines  []*machine
	servers   []*server
	// isTrouble is false if the case is played without its disruption.
	isTrouble bool
}

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(*lab) (bool, error){
	"drain": playDrain, "config": playConfig, "crash": playCrash, "mixed": playMixed, "path": playPath,
}

func main() {
	os.Exit(play())
}

// play plays the case that the arguments name: its name and the folder for its record.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab CASE FOLDER")
		return exitNotRun
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	defer l.stop()
	go l.stopOnSignal()
	isBroken, err := cases[os.Args[1]](l)
	switch {
	case err != nil:
		l.record.say("could not run: %v", err)
		return exitNotRun
	case isBroken:
		l.record.say("the rule was broken")
		return exitBroken
	}
	l.record.say("the rule held")
	return exitHeld
}

func newLab(folder string) (*lab, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	l := &lab{record: r, directory: directory, root: root, network: n, isTrouble: os.Getenv("TROUBLE") != "0"}
	l.record.say("with the disruption: %v", l.isTrouble)
	l.store = newStore(r)
	return l, nil
}

// stop ends all processes and removes the temporary folder, unless KEEP names that it shall stay.
func (l *lab) stop() {
	for _, m := range l.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.directory)
	} else {
		fmt.Println("logs in", l.directory)
	}
}

// stopOnSignal ends all processes when the case is interrupted.
func (l *lab) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	l.stop()
	os.Exit(exitNotRun)
}

// add adds a machine with a server of a service and starts both.
func (l *lab) add(name, zone, service string, configure func(*server)) error {
	return l.addThin(name, zone, service, 1000, configure)
}

// addThin is add with the capacity of the link of the machine.
func (l *lab) addThin(name, zone, service string, linkMbps float64, configure func(*server)) error {
	m := &machine{name: name, zone: zone, service: service, host: l.network.host(), storeAddress: fmt.Sprintf("%s:%d", l.network.host(), portStore), linkMbps: linkMbps, directory: l.directory, root: l.root, record: l.record}
	s := &server{id: "i-" + name, machine: m, record: l.record, slots: 9}
	if configure != nil {
		configure(s)
	}
	if err := l.store.listen(m.storeAddress); err != nil {
		return err
	}
	l.machines = append(l.machines, m)
	l.servers = append(l.servers, s)
	if err := m.start(); err != nil {
		return err
	}
	return s.start()
}

// awaitReady waits until all daemons are ready.
func (l *lab) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range l.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return errors.New(m.name + " did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.record.add("all daemons are ready")
	return nil
}
