package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// Start starts the store, the daemons and their backend servers, as Run does, for tests that inject faults of their own.
func (s *Soak) Start() error {
	s.checker = NewChecker()
	s.inUse = map[*instance]bool{}
	discardProxyLogs()
	return s.start()
}

// Stop ends what Start started.
func (s *Soak) Stop() { s.stop() }

// Freeze suspends a daemon with SIGSTOP.
func (s *Soak) Freeze(index int) { s.instances[index].signal(syscall.SIGSTOP) }

// SilenceStoreConnections makes all open connections of the store silent for good.
func (s *Soak) SilenceStoreConnections() { s.store.SilenceConnections() }

// WaitingCalls returns the number of calls that wait at the store for changes.
func (s *Soak) WaitingCalls() int { return len(s.store.WaitingCallers()) }

// Configure writes the next version of the configuration.
func (s *Soak) Configure() { s.putConfiguration() }

// TimeToForce returns how long it takes until a daemon has the latest configuration in force, at most limit.
func (s *Soak) TimeToForce(index int, limit time.Duration) time.Duration {
	expected := fmt.Sprintf("configuration in force: version %d\n", s.version)
	began := time.Now()
	for time.Since(began) < limit && !strings.Contains(s.instances[index].status(), expected) {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}
