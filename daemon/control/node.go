package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/commit"
	"siskinspar.example/daemon/convergence"
	"siskinspar.example/daemon/directory"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/shared"
	"siskinspar.example/daemon/spread"
	"siskinspar.example/daemon/storage"
	"siskinspar.example/daemon/work"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/request/claim"
	"siskinspar.example/request/quarantine"
	"siskinspar.example/versionlog"
)

// Node runs the control loops of one daemon; its exported fields are set before Start.
type Node struct {
	*shared.State
	Storage *storage.Storage
	Claims  Claims
	Notices Notices
	// Seeds are the peer addresses from the settings that a joining daemon contacts first.
	Seeds []string
	// Membership holds the intervals of the failure detector.
	Membership membership.Timing
	// Distribution holds the intervals of reads of the store and of pulls.
	Distribution distribution.Timing

	spreader   *spread.Spreader
	reconciler *directory.Reconciler
	counter    *convergence.Counter
	committer  *commit.Committer
	// dataCentreTurn counts the probes of other data centres, which take turns.
	dataCentreTurn atomic.Uint64
	isReady        atomic.Bool
	// lastTick is the time of the last tick of the membership loop, in Unix nanoseconds.
	lastTick atomic.Int64
	// isSuspended is set while calls are refused after a pause of the loops.
	isSuspended atomic.Bool
	done        chan struct{}
}

// Claims returns the state of this daemon's own attempts to run unrepeatable requests.
type Claims interface {
	// State waits until the attempt or the context has ended and returns the state of the attempt.
	State(ctx context.Context, t claim.Token) claim.State
}

// Notices processes the crash notices of other daemons.
type Notices interface {
	// Receive processes a notice and reports whether it was new.
	Receive(n quarantine.Notice) bool
}

// workerCount is the number of workers that call peers and the store, and so limits the concurrent calls of the loops.
const workerCount = 32

// Start starts the control loops, which run until the context ends.
func (n *Node) Start(ctx context.Context) {
	n.done = make(chan struct{})
	n.Workers = work.NewPool(workerCount)
	n.spreader = &spread.Spreader{State: n.State, Storage: n.Storage, Timing: n.Distribution}
	n.spreader.Start()
	n.reconciler = &directory.Reconciler{State: n.State, Headers: n.spreader}
	n.counter = &convergence.Counter{State: n.State, Local: n}
	n.committer = &commit.Committer{State: n.State, Storage: n.Storage, Distributor: n.spreader}
	n.committer.Start(ctx)
	n.lastTick.Store(time.Now().UnixNano())
	go n.run(ctx)
}

// Done returns a channel that is closed once the loops and the workers have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// IsReady reports whether the daemon has joined: its configuration in force is confirmed to be no older than the one
// before a restart.
func (n *Node) IsReady() bool { return n.isReady.Load() }

// IsStoreUp reports whether the last recorded call to the store succeeded.
func (n *Node) IsStoreUp() bool { return n.Storage.IsUp() }

// Held returns the highest version that a member asked this daemon to hold, as defined in package spread, or 0.
func (n *Node) Held() declaration.Version { return n.spreader.Held() }

// CountInForce asks the daemons of all data centres whether they have version v or a later one in force, and returns
// the counts.
func (n *Node) CountInForce(v declaration.Version) peer.ConvergeReply { return n.counter.Count(v) }

// BroadcastNotice sends a crash notice to the daemons of all data centres.
func (n *Node) BroadcastNotice(notice quarantine.Notice) { n.spreader.BroadcastNotice(notice) }

// Submit commits a submission and returns its result; it refuses the submission until the daemon is ready.
func (n *Node) Submit(ctx context.Context, s versionlog.Submission) versionlog.Result {
	if !n.IsReady() {
		return versionlog.NewRefused(eris.New("daemon is not ready: its configuration is not confirmed yet"))
	}
	return n.committer.Submit(ctx, s)
}
