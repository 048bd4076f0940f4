package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/commit"
	"siskinspar.example/daemon/convergence"
	"siskinspar.example/daemon/directory"
	"siskinspar.example/daemon/link"
	"siskinspar.example/daemon/peer"
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
	*link.Link
	Storage      *storage.Storage
	Claims       Claims
	Notices      Notices
	Seeds        []string
	Membership   membership.Timing
	Distribution distribution.Timing

	spreader    *spread.Spreader
	directory   *directory.Directory
	counter     *convergence.Counter
	committer   *commit.Committer
	centreTurn  atomic.Uint64
	isReady     atomic.Bool
	lastTick    atomic.Int64
	isSuspended atomic.Bool
	done        chan struct{}
}

// Claims tells what became of this daemon's own attempts to run unrepeatable requests.
type Claims interface {
	// State waits until the attempt has ended, or the context does.
	State(ctx context.Context, t claim.Token) claim.State
}

// Notices takes in what other daemons tell of crashes.
type Notices interface {
	// Receive reports whether the notice was new.
	Receive(n quarantine.Notice) bool
}

// workerCount is the number of workers that make calls to peers and the store.
const workerCount = 32

// Start starts the loops, which end with the context.
func (n *Node) Start(ctx context.Context) {
	n.done = make(chan struct{})
	n.Workers = work.NewPool(workerCount)
	n.spreader = &spread.Spreader{Link: n.Link, Storage: n.Storage, Timing: n.Distribution}
	n.spreader.Start()
	n.directory = &directory.Directory{Link: n.Link, Hearer: n.spreader}
	n.counter = &convergence.Counter{Link: n.Link, Own: n}
	n.committer = &commit.Committer{Link: n.Link, Storage: n.Storage, Distributor: n.spreader}
	n.committer.Start(ctx)
	n.lastTick.Store(time.Now().UnixNano())
	go n.run(ctx)
}

// Done returns a channel that is closed once the loops have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// IsReady reports whether a configuration is in force that is not older than the one before a restart.
func (n *Node) IsReady() bool { return n.isReady.Load() }

// IsStoreUp reports whether the last call to the store got an answer.
func (n *Node) IsStoreUp() bool { return n.Storage.IsUp() }

// Held returns the highest version that this daemon was asked to hold.
func (n *Node) Held() declaration.Version { return n.spreader.Held() }

// Converge counts the daemons of all data centres that have a version in force.
func (n *Node) Converge(v declaration.Version) peer.ConvergeReply { return n.counter.Count(v) }

// SpreadNotice passes a notice on to all daemons.
func (n *Node) SpreadNotice(notice quarantine.Notice) { n.spreader.SpreadNotice(notice) }

// Submit commits a submission and returns its result.
func (n *Node) Submit(ctx context.Context, s versionlog.Submission) versionlog.Result {
	if !n.IsReady() {
		return versionlog.NewRefused(eris.New("daemon is not ready"))
	}
	return n.committer.Submit(ctx, s)
}
