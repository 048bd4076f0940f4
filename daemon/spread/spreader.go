package spread

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/shared"
	"siskinspar.example/daemon/storage"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
)

// Spreader sends versions and crash notices to other daemons and receives versions from them; its exported fields are
// set before Start.
//
// It is the commit.Distributor of the daemon, and control.Node, the crash.Broadcaster, passes notices on to it.
type Spreader struct {
	*shared.State
	Storage *storage.Storage
	Timing  distribution.Timing

	mu        sync.Mutex
	follower  *distribution.Follower
	forwarded forwardRecord
	images    imageCache
	held      heldVersion
}

// forwardRecord is the newest version that was forwarded, and the interval of members that it was forwarded to.
type forwardRecord struct {
	version  declaration.Version
	interval distribution.Interval
}

// Start creates the follower, which schedules pulls and reads of the store; it is called before any other method.
func (s *Spreader) Start() {
	s.follower = distribution.NewFollower(s.Timing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Tick queues a read of the head of the version log when this daemon is a relay and a read is due.
func (s *Spreader) Tick(isRelay bool) {
	s.mu.Lock()
	step := s.follower.Tick(time.Now(), isRelay)
	s.mu.Unlock()
	s.runStep(step)
}

// Held returns the highest version that a member asked this daemon to hold, or 0.
func (s *Spreader) Held() declaration.Version { return s.held.version() }

// Hold holds version v, which a member of the data centre is about to put in force.
func (s *Spreader) Hold(v declaration.Version) { s.held.raise(v) }

// Image returns the image of the version in force, or the error of encoding it.
func (s *Spreader) Image() ([]byte, error) { return s.images.get(s.Configuration) }

// HandleHeader processes the header of a received message: it advances the clock, records the era of the store, and
// queues a pull when the sender has a newer version in force.
func (s *Spreader) HandleHeader(h peer.Header) {
	s.Clock.Receive(h.Stamp)
	s.StoreEra.Record(h.StoreEra)
	s.mu.Lock()
	s.follower.HandleInForce(s.Configuration.Version())
	step := s.follower.HandlePeerVersion(time.Now(), h.From, h.Version)
	s.mu.Unlock()
	s.runStep(step)
}

// runStep queues the job that the follower asks for.
func (s *Spreader) runStep(step distribution.Step) {
	switch step.Kind() {
	case distribution.StepPull:
		s.Workers.Try(func() { s.pull(step.From()) })
	case distribution.StepReadHead:
		s.Workers.Try(s.syncToHead)
	}
}
