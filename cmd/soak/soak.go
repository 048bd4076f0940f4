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

	"siskinspar.example/standin/platform"
)

const (
	// serverSlots and serverWork size each backend server.
	serverSlots = 6
	serverWork  = 30 * time.Millisecond
	// heartbeat is the time from one announcement of a backend server to the next.
	heartbeat = 500 * time.Millisecond
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = 2 * time.Second
	// clientPause is the mean pause of a client between two requests.
	clientPause = 60 * time.Millisecond
	// graceTime is how long a daemon may take to stop.
	graceTime = 6 * time.Second
	// settleTime is how long the daemons are given after the last fault.
	settleTime = 8 * time.Second
	// countedTime is the time over which the answers after that are counted.
	countedTime = 2 * time.Second
	// startTimeout bounds the start of all daemons.
	startTimeout = 20 * time.Second
	// hostName is the host of all requests.
	hostName = "soak.example"
	// clientsPerInstance is the number of clients of each daemon.
	clientsPerInstance = 2
)

// Soak is one run; its exported fields are set before Run.
type Soak struct {
	Seed uint64
	// Span is how long faults are played.
	Span time.Duration
	// Instances is the number of daemon processes, 2 to 200.
	Instances int
	// Binary is the program that the daemons run.
	Binary string
	// Directory keeps settings and logs.
	Directory string
	Out       io.Writer

	store     *platform.Server
	storeHTTP *http.Server
	instances []*instance
	ledger    *Ledger
	mu        sync.Mutex
	held      map[*instance]bool
	version   int
}

// Run plays the seed and returns an error that names the broken promises.
func (s *Soak) Run(ctx context.Context) error {
	s.ledger = NewLedger()
	s.held = map[*instance]bool{}
	quietProxies()
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var group conc.WaitGroup
	for n, i := range s.instances {
		for k := range clientsPerInstance {
			c := newClient(i, s.ledger, fmt.Sprintf("%s-%d", i.name, k), s.Seed+uint64(n*clientsPerInstance+k))
			group.Go(func() { c.run(clients) })
		}
	}
	err := s.playAll(ctx)
	time.Sleep(settleTime)
	s.ledger.startRecovery()
	time.Sleep(countedTime)
	stopClients()
	group.Wait()
	s.ledger.checkRecovery()
	return s.report(err)
}

func (s *Soak) report(failure error) error {
	broken := s.ledger.Broken()
	fmt.Fprintf(s.Out, "seed %d: %d answered, %d not, %d promises broken\n", s.Seed, s.ledger.answered, s.ledger.failed, len(broken))
	for _, b := range broken {
		fmt.Fprintln(s.Out, " ", b)
	}
	if failure != nil {
		return failure
	}
	if len(broken) > 0 {
		return eris.Errorf("seed %d: %d promises broken; logs in %s", s.Seed, len(broken), s.Directory)
	}
	return nil
}

// playAll plays faults in two series that overlap.
func (s *Soak) playAll(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, s.Span)
	defer cancel()
	const seriesCount = 2
	failures := make([]error, seriesCount)
	var group conc.WaitGroup
	for n := range seriesCount {
		group.Go(func() { failures[n] = s.playSeries(limited, rand.New(rand.NewPCG(s.Seed, uint64(n)))) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) playSeries(ctx context.Context, r *rand.Rand) error {
	all := faults()
	for ctx.Err() == nil {
		f := all[r.IntN(len(all))]
		fmt.Fprintf(s.Out, "seed %d: %s %s\n", s.Seed, time.Now().Format(time.TimeOnly), f.name)
		if err := f.play(context.WithoutCancel(ctx), s, r); err != nil {
			return eris.Wrapf(err, "play %s", f.name)
		}
		pause(r, time.Second)
	}
	return nil
}

// take picks an instance that no other fault holds.
func (s *Soak) take(r *rand.Rand) (*instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.instances[r.IntN(len(s.instances))]
	if s.held[i] {
		return nil, false
	}
	s.held[i] = true
	return i, true
}

func (s *Soak) give(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, i)
}

func (s *Soak) start() error {
	if err := s.startStore(); err != nil {
		return err
	}
	s.configure()
	for n := range s.Instances {
		if err := s.startInstance(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, i := range s.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return eris.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * heartbeat)
	return nil
}

func (s *Soak) startInstance(n int) error {
	i := &instance{
		name: fmt.Sprintf("i%d", n), zone: fmt.Sprintf("zone-%d", n%3), service: "desk", host: fmt.Sprintf("127.0.%d.%d", 100+n/200, 1+n%200),
		directory: s.Directory, binary: s.Binary,
	}
	var err error
	if i.toStore, err = newProxy("store", i.address(portToStore), storeAddress); err != nil {
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
	return i.startServer(s.ledger, 0)
}

// stop ends every process that this soak started, by its ID.
func (s *Soak) stop() {
	for _, i := range s.instances {
		if i.process != nil && i.process.Process != nil {
			i.signal(syscall.SIGCONT)
			i.signal(syscall.SIGKILL)
			<-i.ended
		}
		if i.server != nil {
			i.server.Crash()
		}
		i.toStore.Stop()
		i.toServer.Stop()
	}
	if s.storeHTTP != nil {
		// The store keeps nothing that is needed.
		_ = s.storeHTTP.Close()
	}
}

// Binary returns the program that is running, for the daemons of a soak.
func Binary() (string, error) {
	path, err := os.Executable()
	return path, eris.Wrap(err, "find the own program")
}
