package sidecar

import "time"

// stop answers the requests that were read, lets the calls of other daemons finish, and closes everything.
//
// Clients are given the time in which readiness is asked for twice; then the listener refuses them, and they turn to
// another daemon without a request in doubt.
func (s *Sidecar) stop() {
	deadline := time.Now().Add(s.Settings.Grace - stopMargin)
	s.Logger.Info("daemon: stopping", "limit", s.Settings.Grace-stopMargin)
	s.isStopping.Store(true)
	s.announce()
	s.ingress.Drain()
	time.Sleep(min(noticeTime, time.Until(deadline)/2))
	s.ingress.Stop(time.Until(deadline))
	s.awaitCalls(deadline)
	s.peers.Stop()
	s.owner.Stop()
	s.pool.Close()
	for _, server := range s.servers {
		if err := server.Close(); err != nil {
			s.Logger.Warn("daemon: close of a listener failed", "error", err)
		}
	}
	s.Logger.Info("daemon: stopped")
}

const (
	// stopMargin is kept from the grace period of the platform.
	stopMargin = time.Second
	// noticeTime is how long clients and other daemons are given to turn to others.
	noticeTime = 2200 * time.Millisecond
	// idlePeriod is how often the daemon looks whether calls still run.
	idlePeriod = 50 * time.Millisecond
)

// awaitCalls waits until no call of another daemon runs any more.
func (s *Sidecar) awaitCalls(deadline time.Time) {
	for time.Now().Before(deadline) {
		if _, load := s.owner.Server(); load.Running == 0 && load.Waiting == 0 {
			return
		}
		time.Sleep(idlePeriod)
	}
	s.Logger.Warn("daemon: calls are cut at the end of the drain")
}
