package sidecar

import "time"

// stop answers the requests that were read, waits for the calls of other daemons and closes all listeners and
// connections.
//
// While clients are still answered, the owner accepts calls of daemons that know no other backend server of a service.
// After that it refuses new calls, so that none is cut.
//
// The listener stays open for two readiness checks, so that clients see the daemon as not ready. After that it refuses
// connections, and clients go to another daemon without a request whose outcome is unknown.
func (s *Sidecar) stop() {
	deadline := time.Now().Add(s.Settings.Grace - stopMargin)
	s.Logger.Info("daemon: stopping", "limit", s.Settings.Grace-stopMargin)
	s.isStopping.Store(true)
	s.sendRecord()
	s.ingress.Drain()
	time.Sleep(min(noticeTime, time.Until(deadline)/2))
	s.ingress.Stop(time.Until(deadline))
	s.owner.Refuse()
	s.awaitCalls(deadline)
	s.peers.Stop(max(replyTime, time.Until(deadline)))
	s.owner.Stop()
	s.pool.Close()
	for _, server := range s.servers {
		if err := server.Close(); err != nil {
			s.Logger.Warn("daemon: closing a listener failed", "error", err)
		}
	}
	s.Logger.Info("daemon: stopped")
}

const (
	// stopMargin is the part of the platform's grace period that is kept free for the end of the process.
	stopMargin = time.Second
	// noticeTime is how long clients and other daemons have, after the daemon is not ready, to use other daemons instead.
	// It covers two readiness checks of the platform. The announcement to the other daemons is sent before.
	noticeTime = 2200 * time.Millisecond
	// replyTime is the shortest time that is left for replies to other daemons, also when the deadline has passed.
	replyTime = 100 * time.Millisecond
	// callsPollPeriod is the time between two checks for calls that still run.
	callsPollPeriod = 50 * time.Millisecond
)

// awaitCalls waits until the backend server has no running or waiting request, or until the deadline.
func (s *Sidecar) awaitCalls(deadline time.Time) {
	for time.Now().Before(deadline) {
		if _, load := s.owner.Server(); load.Running == 0 && load.Waiting == 0 {
			return
		}
		time.Sleep(callsPollPeriod)
	}
	s.Logger.Warn("daemon: calls still running at the end of the drain are cut")
}
