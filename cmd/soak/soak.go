package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"siskinspar.example/standin/loopback"
	"siskinspar.example/standin/platform"
)

const (
	// serverSlots is the number of requests that a backend server runs at once, serverProcessingTime the time that
	// each takes.
	serverSlots          = 12
	serverProcessingTime = 30 * time.Millisecond
	// heartbeat is the interval between two announcements of a backend server.
	heartbeat = 500 * time.Millisecond
	// clientTimeout is the deadline that a client sends with a request; the client itself waits one second longer.
	clientTimeout = 2 * time.Second
	// clientPause is the mean pause of a client between two requests.
	clientPause = 60 * time.Millisecond
	// graceTime is how long a daemon may take to exit after SIGTERM, and bounds the drain of a backend server.
	graceTime = 6 * time.Second
	// recoveryTime is how long the daemons have to recover after the last fault.
	recoveryTime = 8 * time.Second
	// recoveryWindow is how long requests are counted after recoveryTime; most of them must be answered.
	recoveryWindow = 2 * time.Second
	// readyTimeout bounds the time until all daemons are ready.
	readyTimeout = 20 * time.Second
	// instancesAtFullRate is the number of instances up to which a client pauses for clientPause.
	instancesAtFullRate = 20
	// instancesPerSeries is the number of instances for which there is one series of planned work, up to mostPlannedSeries.
	instancesPerSeries = 3
	mostPlannedSeries  = 4
	// hostName is the Host header of all requests; configurationTemplate routes it.
	hostName = "soak.example"
	// clientsPerInstance is the number of clients without an organisation of each daemon.
	clientsPerInstance = 2
)

// Soak runs one seed; its exported fields are set before Run.
type Soak struct {
	// Seed seeds the order of the faults and of the clients' requests.
	Seed uint64
	// Span is how long faults are injected.
	Span time.Duration
	// Instances is the number of daemon processes, 2 to 200.
	Instances int
	// IsPlannedOnly leaves out all faults but planned work.
	IsPlannedOnly bool
	// Binary is the path of the siskinspar binary that the daemons run.
	Binary string
	// Directory holds the settings file and the log of each daemon.
	Directory string
	// Out gets a line for each fault and the result.
	Out io.Writer

	store *platform.Server
	// storeAddress is where the stand-in for the store listens; the proxies of all instances lead to it.
	storeAddress string
	storeHTTP    *http.Server
	instances    []*instance
	checker      *Checker
	mu           sync.Mutex
	// inUse holds the instances on which a fault is in progress.
	inUse map[*instance]bool
	// storeInUse is held while a fault is in progress for which the state of the store matters; it is acquired before mu.
	storeInUse sync.Mutex
	// version is the number of the last configuration in the store.
	version int
}

// Run starts the store and the daemons, sends requests while it injects faults, and ends all processes. It writes the
// violations to Out, and returns an error if there are any, if a fault could not be injected or repaired, or if the
// daemons did not start.
func (s *Soak) Run(ctx context.Context) error {
	s.checker = NewChecker()
	s.inUse = map[*instance]bool{}
	discardProxyLogs()
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var group conc.WaitGroup
	s.startClients(clients, &group)
	// Each run has a version that withdraws a key early enough to check it at the end, whatever its faults.
	time.AfterFunc(s.Span/3, s.putConfiguration)
	faultErr := s.injectFaults(ctx)
	time.Sleep(recoveryTime)
	s.checkConfiguration()
	s.checker.startRecoveryWindow()
	time.Sleep(recoveryWindow)
	stopClients()
	group.Wait()
	s.checker.checkRecovery("")
	s.checker.checkRecovery(usualOrganisation)
	return s.report(faultErr)
}

// report writes the result to Out, where a violation is called a broken promise, and returns faultErr if it is set, or
// else an error if there are violations.
func (s *Soak) report(faultErr error) error {
	s.checkQuotas()
	fmt.Fprintf(s.Out, "seed %d: requests without a whole answer by excuse: %v\n", s.Seed, s.checker.checkLosses())
	violations := s.checker.Violations()
	fmt.Fprintf(s.Out, "seed %d: %d answered, %d not, %d promises broken\n", s.Seed, s.checker.answered, s.checker.failed, len(violations))
	for _, v := range violations {
		fmt.Fprintln(s.Out, " ", v)
	}
	if faultErr != nil {
		return faultErr
	}
	if len(violations) > 0 {
		return eris.Errorf("seed %d: %d promises broken; logs in %s", s.Seed, len(violations), s.Directory)
	}
	return nil
}

// injectFaults injects faults for Span in concurrent series, so that faults overlap: two of any fault, unless
// IsPlannedOnly is set, and some of planned work.
func (s *Soak) injectFaults(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, s.Span)
	defer cancel()
	series := [][]fault{faults(), faults()}
	if s.IsPlannedOnly {
		series = nil
	}
	for range min(mostPlannedSeries, (s.Instances+instancesPerSeries-1)/instancesPerSeries) {
		series = append(series, plannedFaults())
	}
	group := pool.New().WithErrors()
	for n, f := range series {
		group.Go(func() error { return s.injectSeries(limited, f, rand.New(rand.NewPCG(s.Seed, uint64(n)))) })
	}
	return group.Wait()
}

// injectSeries injects random faults of a list one after the other until the context ends; a fault in progress is
// completed.
func (s *Soak) injectSeries(ctx context.Context, faults []fault, r *rand.Rand) error {
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		fmt.Fprintf(s.Out, "seed %d: %s %s\n", s.Seed, time.Now().Format(time.TimeOnly), f.name)
		if err := f.inject(context.WithoutCancel(ctx), s, r); err != nil {
			return eris.Wrapf(err, "inject fault %q", f.name)
		}
		pause(r, time.Second)
	}
	return nil
}

// acquire picks a random instance for a fault and marks it as in use. It returns false if that instance is in use
// already.
func (s *Soak) acquire(r *rand.Rand) (*instance, bool) {
	i := s.instances[r.IntN(len(s.instances))]
	if !s.tryAcquire(i) {
		return nil, false
	}
	return i, true
}

// release marks an instance as free for the next fault.
func (s *Soak) release(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, i)
}

// acquireAll marks all instances as in use, once the faults on them have ended. Only one fault at a time may call it.
func (s *Soak) acquireAll() {
	for _, i := range s.instances {
		for !s.tryAcquire(i) {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// tryAcquire marks an instance as in use and reports false if it is in use already.
func (s *Soak) tryAcquire(i *instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[i] {
		return false
	}
	s.inUse[i] = true
	return true
}

// releaseAll marks all instances as free.
func (s *Soak) releaseAll() {
	for _, i := range s.instances {
		s.release(i)
	}
}

// killAll kills all daemons at once.
func (s *Soak) killAll() {
	for _, i := range s.instances {
		i.process.Signal(syscall.SIGKILL)
	}
	for _, i := range s.instances {
		<-i.process.Done()
	}
}

// startAll starts all daemons again.
func (s *Soak) startAll() error {
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the store, the daemons and their backend servers, and waits until all daemons are ready and have had
// time for two announcements.
func (s *Soak) start() error {
	if err := s.startStore(); err != nil {
		return err
	}
	s.putConfiguration()
	for n := range s.Instances {
		if err := s.startInstance(n); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * heartbeat)
	return nil
}

// awaitReady waits until all daemons are ready.
func (s *Soak) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range s.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return eris.Errorf("%s did not become ready in time", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startInstance starts the proxies, the daemon and the backend server of the n-th instance. Every second daemon uses one
// processor only: it learns of a signal before it reads what has arrived in its sockets.
func (s *Soak) startInstance(n int) error {
	i := &instance{
		name: fmt.Sprintf("i%d", n), zone: fmt.Sprintf("zone-%d", n%3), service: "desk", host: loopback.Host(),
		directory: s.Directory, binary: s.Binary, checker: s.checker,
	}
	if n%2 == 1 {
		i.environment = []string{"GOMAXPROCS=1"}
	}
	var err error
	if i.toStore, err = newProxy("store", i.address(portToStore), s.storeAddress); err != nil {
		return err
	}
	if i.toServer, err = newProxy("server", i.address(portToServer), i.address(portServer)); err != nil {
		return err
	}
	if err := i.writeSettings(""); err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	if err := i.start(); err != nil {
		return err
	}
	return i.startServer(0)
}

// stop ends every process that this soak started.
func (s *Soak) stop() {
	for _, i := range s.instances {
		if i.process != nil {
			i.process.Kill()
		}
		if i.server != nil {
			i.server.Crash()
		}
		i.toStore.Stop()
		i.toServer.Stop()
	}
	if s.storeHTTP != nil {
		// The store is in memory, so an error on Close loses nothing.
		_ = s.storeHTTP.Close()
	}
}

// Binary returns the path of the running program, which the daemons of a soak run too.
func Binary() (string, error) {
	path, err := os.Executable()
	return path, eris.Wrap(err, "find the path of the running program")
}
