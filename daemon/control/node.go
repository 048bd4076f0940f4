package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/request/claim"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog/record"
)

// Node holds what the control loops of one daemon share; its exported fields are set before Run.
type Node struct {
	Roster        *roster.Roster
	Configuration *configuration.Holder
	Pool          *peer.Pool
	Log           *record.Log
	Clock         *timeline.Clock
	Recorder      *timeline.Recorder
	Logger        *slog.Logger
	Claims        Claims
	Notices       Notices
	Seeds         []string
	StoreTimeout  time.Duration
	Membership    membership.Timing
	Distribution  distribution.Timing

	workers     *workers
	committer   *committer
	mu          sync.Mutex
	follower    *distribution.Follower
	forwarded   forwarding
	images      imageCache
	held        heldVersion
	centreTurn  atomic.Uint64
	isReady     atomic.Bool
	isStoreUp   atomic.Bool
	lastTick    atomic.Int64
	isSuspended atomic.Bool
	done        chan struct{}
}

// Claims tells what became of this daemon's own attempts to run unrepeatable requests.
type Claims interface {
	// State waits until the attempt has ended, or the context does.
	State(ctx context.Context, t claim.Token) claim.State
}

// workerCount is the number of workers that make calls to peers and the store.
const workerCount = 32

// Start starts the loops, which end with the context.
func (n *Node) Start(ctx context.Context) {
	n.done = make(chan struct{})
	n.follower = distribution.NewFollower(n.Distribution, newRandom())
	n.workers = newWorkers(workerCount)
	n.committer = newCommitter(n)
	n.isStoreUp.Store(true)
	n.lastTick.Store(time.Now().UnixNano())
	go n.run(ctx)
}

// Done returns a channel that is closed once the loops have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// IsReady reports whether a configuration is in force that is not older than the one before a restart.
func (n *Node) IsReady() bool { return n.isReady.Load() }

// IsStoreUp reports whether the last call to the store got an answer.
func (n *Node) IsStoreUp() bool { return n.isStoreUp.Load() }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) header() peer.Header {
	return peer.Header{From: n.Roster.Self().ID, Stamp: n.Clock.Stamp(), Version: n.Configuration.Version()}
}

// hear takes note of a message's header and pulls when its sender holds a newer version.
func (n *Node) hear(h peer.Header) {
	n.Clock.Receive(h.Stamp)
	n.mu.Lock()
	n.follower.HandleInForce(n.Configuration.Version())
	step := n.follower.HandleHeard(time.Now(), h.From, h.Version)
	n.mu.Unlock()
	n.perform(step)
}

func (n *Node) perform(s distribution.Step) {
	switch s.Kind() {
	case distribution.StepPull:
		n.workers.try(func() { n.pull(s.From()) })
	case distribution.StepReadHead:
		n.workers.try(n.readHead)
	}
}

// noteStore records the moments at which the store goes down and comes back.
func (n *Node) noteStore(err error) {
	isUp := err == nil
	if n.isStoreUp.Swap(isUp) == isUp {
		return
	}
	if isUp {
		n.Recorder.Record(timeline.Event{Kind: timeline.KindStoreBack})
		n.Logger.Info("control: store is back")
		return
	}
	n.Recorder.Record(timeline.Event{Kind: timeline.KindStoreDown, Detail: err.Error()})
	n.Logger.Warn("control: store is down", "error", err)
}

func (n *Node) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), n.StoreTimeout)
}

// forwarding remembers the newest version that was passed on, and to which interval.
type forwarding struct {
	version  declaration.Version
	interval distribution.Interval
}
