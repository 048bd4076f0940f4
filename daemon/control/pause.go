package control

import (
	"time"

	"siskinspar.example/daemon/peer"
)

// suspendAfterPeriods is the number of probe periods without a tick after which the daemon refuses calls.
const suspendAfterPeriods = 4

// recordTick records the time of a tick, and suspends the daemon when the previous tick is too long ago, as after a
// pause of the process. A suspended daemon without other members asks the store for confirmation.
func (n *Node) recordTick(now time.Time) {
	last := time.Unix(0, n.lastTick.Load())
	if now.Sub(last) >= suspendAfterPeriods*n.Membership.Period {
		n.suspend()
	}
	// Calls are refused for the old tick until the daemon is suspended.
	n.lastTick.Store(now.UnixNano())
	if n.isSuspended.Load() && len(n.Roster.Serving()) <= 1 {
		n.Workers.Try(n.confirmWithStore)
	}
}

// confirmWithStore ends the suspension when the store has no newer version. A daemon whose other members were all
// removed has no peer that could confirm its version.
func (n *Node) confirmWithStore() {
	ctx, cancel := n.Storage.Context()
	defer cancel()
	head, err := n.Storage.Log.Head(ctx)
	n.Storage.RecordResult(err)
	if err == nil {
		n.resumeIfCurrent(peer.Header{Version: head.Version})
	}
}

// suspend makes the daemon refuse calls, at once and with outcome.ReasonNotReady, until a peer, or the store when no
// peer is left, has confirmed that the version in force is current. A daemon that knows no other member when the loops
// run again is not suspended.
func (n *Node) suspend() {
	if len(n.Roster.Serving()) > 1 {
		n.isSuspended.Store(true)
		n.Logger.Warn("control: loops were paused; calls are held until a peer confirms the configuration version")
	}
}

// resumeIfCurrent ends the suspension when the header of an answer shows no newer version than the one in force.
func (n *Node) resumeIfCurrent(h peer.Header) {
	if n.isSuspended.Load() && h.Version <= n.Configuration.Version() {
		n.isSuspended.Store(false)
		n.Logger.Info("control: calls are served again", "version", n.Configuration.Version())
	}
}

// IsServing reports whether calls are served, and not refused: the daemon is ready and not suspended, and its last tick
// is less than suspendAfterPeriods probe periods ago.
func (n *Node) IsServing() bool {
	// The tick is looked at first, since a daemon is suspended before a tick that ends a pause.
	isRecent := time.Now().UnixNano()-n.lastTick.Load() < int64(suspendAfterPeriods*n.Membership.Period)
	return isRecent && n.isReady.Load() && !n.isSuspended.Load()
}
