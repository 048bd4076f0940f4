package sidecar

import "time"

// stop answers the requests that were read, waits for the calls of other daemons and closes all listeners and
// connections.
//
// While clients are still answered, the owner accepts calls of daemons that know no other backend server of a service.
// After that it refuses new calls, so that none is cut.
//
// A request that comes too late to be answered in time is refused and not passed on, so that it can be served elsewhere.
// Shortly before the end of the drain the calls that still run are ended as by their deadlines, so that answers that have
// arrived are passed on.
//
// The listener stays open for two readiness checks, so that clients see the daemon as not ready. After that it refuses
// connections, and clients go to another daemon without a request whose outcome is unknown.
func (s *Sidecar) stop() {
	now := time.Now()
	limit := s.graceShare(stopShare)
	deadline := now.Add(limit)
	expiry := now.Add(s.graceShare(expiryShare))
	s.Logger.Info("daemon: stopping", "limit", limit)
	s.isStopping.Store(true)
	s.entry.StopBy(expiry)
	s.owner.StopBy(expiry)
	defer time.AfterFunc(time.Until(expiry), s.expireCalls).Stop()
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

// graceShare returns a share of the platform's grace period.
func (s *Sidecar) graceShare(share float64) time.Duration {
	return time.Duration(share * float64(s.Settings.Grace))
}

// expireCalls ends the calls that still run. Those of the owner are first, since the entry waits for them.
func (s *Sidecar) expireCalls() {
	s.owner.Expire()
	s.entry.Expire()
}

const (
	// expiryShare is the share of the platform's grace period after which calls that still run are ended, so that their
	// replies reach clients and other daemons by the end of stopShare. It lies in the last sixth of the period.
	expiryShare = 0.88
	// stopShare is the share of the platform's grace period in which requests are answered; the rest is for the end of the
	// process. A request that a server still runs in the last sixth of the period may be abandoned.
	stopShare = 0.9
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
