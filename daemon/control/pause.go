package control

import (
	"time"

	"siskinspar.example/daemon/peer"
)

// pausePeriods is the number of probe periods without a step after which the daemon holds its calls.
const pausePeriods = 4

// noteTick marks that the loops run, and holds calls when they had stood still.
func (n *Node) noteTick(now time.Time) {
	last := time.Unix(0, n.lastTick.Swap(now.UnixNano()))
	if now.Sub(last) >= pausePeriods*n.Membership.Period {
		n.suspend()
	}
}

// suspend keeps the daemon from serving until a peer has confirmed what is current.
func (n *Node) suspend() {
	if len(n.Roster.Serving()) > 1 {
		n.isSuspended.Store(true)
		n.Logger.Warn("control: loops stood still; calls are held until a peer answers")
	}
}

// noteContact ends the hold when a peer answered that has nothing newer.
func (n *Node) noteContact(h peer.Header) {
	if n.isSuspended.Load() && h.Version <= n.Configuration.Version() {
		n.isSuspended.Store(false)
		n.Logger.Info("control: calls are served again", "version", n.Configuration.Version())
	}
}

// IsServing reports whether calls may be served: the daemon is ready, and its loops have not stood still
// since it last heard what is current.
func (n *Node) IsServing() bool {
	if !n.isReady.Load() || n.isSuspended.Load() {
		return false
	}
	return time.Now().UnixNano()-n.lastTick.Load() < int64(pausePeriods*n.Membership.Period)
}
