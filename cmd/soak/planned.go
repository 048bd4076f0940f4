package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

const (
	// longestSeries is the largest number of daemons that restartInSeries stops.
	longestSeries = 8
	// shortestGap and longestGap bound the time between two signals of a series. A daemon drains for longer, so that
	// several drain at a time.
	shortestGap = 200 * time.Millisecond
	longestGap  = 1300 * time.Millisecond
	// shortestHalt and longestHalt bound how long a daemon gets no processor time before SIGTERM.
	shortestHalt = 100 * time.Millisecond
	longestHalt  = 500 * time.Millisecond
	// throttleTime is how long a daemon gets little processor time from SIGTERM on: runSlice, then none for haltSlice, again
	// and again.
	throttleTime = 800 * time.Millisecond
	runSlice     = 4 * time.Millisecond
	haltSlice    = 40 * time.Millisecond
	// longestOverlap is the longest time between two signals, or a configuration and a signal, that meet at one daemon.
	longestOverlap = 300 * time.Millisecond
)

// plannedFaults returns the faults that are planned work, which excuses no lost request.
func plannedFaults() []fault {
	return []fault{
		{"stops and starts in series", restartInSeries},
		{"stop and start", onInstance(restart)},
		{"hangup", onInstance(hangup)},
		{"configuration", func(_ context.Context, s *Soak, _ *rand.Rand) error { s.putConfiguration(); return nil }},
		{"server replaced", onInstance(replaceServer)},
	}
}

// terminations returns the ways in which a daemon gets SIGTERM.
func terminations() []func(s *Soak, i *instance, r *rand.Rand) error {
	return []func(s *Soak, i *instance, r *rand.Rand) error{
		func(_ *Soak, i *instance, _ *rand.Rand) error { i.terminate(); return nil },
		terminateHalted, terminateThrottled, terminateDuringHangup, terminateDuringConfiguration, terminateTwice,
	}
}

// terminateHalted sends SIGTERM to a daemon that gets no processor time for a while, so that requests lie unread in its
// sockets when it begins to drain.
func terminateHalted(_ *Soak, i *instance, r *rand.Rand) error {
	i.process.Signal(syscall.SIGSTOP)
	time.Sleep(between(r, shortestHalt, longestHalt))
	i.terminate()
	i.process.Signal(syscall.SIGCONT)
	return nil
}

// terminateThrottled is as terminateHalted, but the daemon gets little processor time after SIGTERM too.
func terminateThrottled(s *Soak, i *instance, r *rand.Rand) error {
	if err := terminateHalted(s, i, r); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < throttleTime; {
		time.Sleep(runSlice)
		i.process.Signal(syscall.SIGSTOP)
		time.Sleep(haltSlice)
		i.process.Signal(syscall.SIGCONT)
	}
	return nil
}

// terminateDuringHangup sends SIGTERM while the daemon reads its changed settings.
func terminateDuringHangup(s *Soak, i *instance, r *rand.Rand) error {
	if err := hangup(context.Background(), s, i, r); err != nil {
		return err
	}
	pause(r, longestOverlap)
	i.terminate()
	return nil
}

// terminateDuringConfiguration sends SIGTERM while a configuration comes into force.
func terminateDuringConfiguration(s *Soak, i *instance, r *rand.Rand) error {
	s.putConfiguration()
	pause(r, longestOverlap)
	i.terminate()
	return nil
}

// terminateTwice sends SIGTERM, then SIGHUP and another SIGTERM while the daemon drains.
func terminateTwice(s *Soak, i *instance, r *rand.Rand) error {
	i.terminate()
	pause(r, longestOverlap)
	if err := hangup(context.Background(), s, i, r); err != nil {
		return err
	}
	pause(r, longestOverlap)
	i.terminate()
	return nil
}

// terminate sends SIGTERM to the daemon.
func (i *instance) terminate() {
	i.checker.recordTermination(i.name)
	i.process.Signal(syscall.SIGTERM)
}

// between returns a random time from shortest to longest.
func between(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

// restart stops the daemon with SIGTERM and starts it again.
func restart(_ context.Context, _ *Soak, i *instance, _ *rand.Rand) error {
	i.terminate()
	return i.startAfterEnd()
}

// restartInSeries stops up to half of the daemons, one shortly after the other in random ways, so that several drain at a
// time. It starts each again as soon as it has ended.
func restartInSeries(_ context.Context, s *Soak, r *rand.Rand) error {
	ways := terminations()
	group := pool.New().WithErrors()
	for range min(longestSeries, len(s.instances)/2) {
		i, ok := s.acquire(r)
		if !ok {
			continue
		}
		terminate := ways[r.IntN(len(ways))]
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() error {
			defer s.release(i)
			if err := terminate(s, i, own); err != nil {
				return err
			}
			return i.startAfterEnd()
		})
		time.Sleep(between(r, shortestGap, longestGap))
	}
	return group.Wait()
}

// startAfterEnd starts the daemon again once it has ended after SIGTERM; it returns an error if the daemon outlives
// graceTime.
func (i *instance) startAfterEnd() error {
	select {
	case <-i.process.Done():
	case <-time.After(graceTime):
		i.process.Kill()
		return eris.Errorf("%s did not exit within its grace time after SIGTERM", i.name)
	}
	return i.start()
}
