package spread

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinspar.example/daemon/link"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/daemon/storage"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
)

// Spreader carries versions and notices between this daemon and the others; its exported fields are set before use.
type Spreader struct {
	*link.Link
	Storage *storage.Storage
	Timing  distribution.Timing

	mu        sync.Mutex
	follower  *distribution.Follower
	forwarded forwarding
	images    imageCache
	held      heldVersion
}

// forwarding remembers the newest version that was passed on, and to which interval.
type forwarding struct {
	version  declaration.Version
	interval distribution.Interval
}

// Start prepares the spreader; it is called before any other method.
func (s *Spreader) Start() {
	s.follower = distribution.NewFollower(s.Timing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Tick reads the head of the store when this daemon is a relay and a read is due.
func (s *Spreader) Tick(isRelay bool) {
	s.mu.Lock()
	step := s.follower.Tick(time.Now(), isRelay)
	s.mu.Unlock()
	s.perform(step)
}

// Held returns the highest version that this daemon was asked to hold.
func (s *Spreader) Held() declaration.Version { return s.held.version() }

// Hold remembers a version that is about to come in force in the data centre.
func (s *Spreader) Hold(v declaration.Version) { s.held.raise(v) }

// Image returns the encoded image of the version in force.
func (s *Spreader) Image() ([]byte, error) { return s.images.get(s.Configuration) }

// Hear takes note of a message's header and pulls when its sender holds a newer version.
func (s *Spreader) Hear(h peer.Header) {
	s.Clock.Receive(h.Stamp)
	s.mu.Lock()
	s.follower.HandleInForce(s.Configuration.Version())
	step := s.follower.HandleHeard(time.Now(), h.From, h.Version)
	s.mu.Unlock()
	s.perform(step)
}

func (s *Spreader) perform(step distribution.Step) {
	switch step.Kind() {
	case distribution.StepPull:
		s.Workers.Try(func() { s.pull(step.From()) })
	case distribution.StepReadHead:
		s.Workers.Try(s.readHead)
	}
}
