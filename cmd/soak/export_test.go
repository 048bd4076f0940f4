package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"siskinspar.example/standin/application"
	"siskinspar.example/standin/platform"
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
func (s *Soak) Freeze(index int) { s.instances[index].process.Signal(syscall.SIGSTOP) }

// Signal sends a signal to a daemon.
func (s *Soak) Signal(index int, signal syscall.Signal) { s.instances[index].process.Signal(signal) }

// Hangup changes the settings file of a daemon and sends it SIGHUP.
func (s *Soak) Hangup(index int) error {
	return hangup(context.Background(), s, s.instances[index], rand.New(rand.NewPCG(s.Seed, 0)))
}

// Ended returns a channel that is closed once a daemon has ended.
func (s *Soak) Ended(index int) <-chan struct{} { return s.instances[index].process.Done() }

// ExitCode returns the exit code of a daemon that has ended.
func (s *Soak) ExitCode(index int) int { return s.instances[index].process.ExitCode() }

// RecordSent records a request with an empty body that a test sends to a daemon, before it is sent.
func (s *Soak) RecordSent(index int, id, method, target string) {
	s.checker.recordSent(sentRequest{id: id, method: method, target: target, service: s.instances[index].service, isRepeatable: method == http.MethodGet, at: time.Now()})
}

// CheckAnswer checks the answer to a request that RecordSent recorded.
func (s *Soak) CheckAnswer(id string, status int, stamp, body string) {
	s.checker.checkAnswer(id, status, stamp, body)
}

// Executions returns how often backend servers have run a request.
func (s *Soak) Executions(id string) int {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	return len(s.checker.executions[id])
}

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

// SetStoreFault sets the fault of the store.
func (s *Soak) SetStoreFault(f platform.Fault) { s.store.SetFault(f) }

// CopyStore returns a copy of the store, which Restore brings back with the latest configuration.
func (s *Soak) CopyStore() *platform.Copy { return s.store.Copy() }

// Restore brings the store back from a copy.
func (s *Soak) Restore(c *platform.Copy) { s.restoreStore(c) }

// Server returns the backend server of an instance.
func (s *Soak) Server(index int) *application.Server { return s.instances[index].server }

// KillAll kills all daemons at once.
func (s *Soak) KillAll() { s.killAll() }

// StartDaemons starts all daemons again.
func (s *Soak) StartDaemons() error { return s.startAll() }

// AwaitReady waits until all daemons are ready.
func (s *Soak) AwaitReady() error { return s.awaitReady() }

// RecordLeave records that a daemon has acknowledged that the backend server of an instance leaves.
func (s *Soak) RecordLeave(index int, at time.Time) {
	s.checker.recordDraining(s.instances[index].server.ID, at)
}

// SendRequests makes each instance send some requests at once, several times.
func (s *Soak) SendRequests(rounds int) {
	var group conc.WaitGroup
	for n, i := range s.instances {
		for k := range clientsPerInstance {
			c := newClient(i, s.checker, fmt.Sprintf("%s-%d-%d", i.name, k, time.Now().UnixNano()), uint64(n))
			group.Go(func() {
				for range rounds {
					c.send()
				}
			})
		}
	}
	group.Wait()
}

// Answered returns the number of requests that were answered, and Violations the promises that were broken.
func (s *Soak) Answered() int { return s.checker.answered }

// Violations returns the promises that were broken.
func (s *Soak) Violations() []string { return s.checker.Violations() }
