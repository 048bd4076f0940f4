package discovery

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/route"
)

const (
	// fetchTimeout bounds the transfer of a configuration or a list of daemons from another daemon.
	fetchTimeout = 3 * time.Second
	// probePeriod is the time from one round of probes to the next.
	probePeriod = 700 * time.Millisecond
	// probesPerRound bounds the daemons that are probed in one round; in a large mesh each waits for its turn.
	probesPerRound = 16
	// fetchDelay gives the store the time to bring a configuration before another daemon is asked for it.
	fetchDelay = 500 * time.Millisecond
	// probeTimeout bounds the wait for the answer to a probe.
	probeTimeout = time.Second
	// pauseFactor times the period without a round means that this process stood still.
	pauseFactor = 3
	// longestSilence is how long a daemon that does not answer is probed at the usual pace.
	longestSilence = 10 * time.Second
	// slowFactor is how many rounds pass from one probe of a long silent daemon to the next.
	slowFactor = 4
)

// Self tells what this daemon says of itself.
type Self interface {
	// Probe returns the message to another daemon.
	Probe(to string) message.Probe
	// Hear takes in the message of another daemon.
	Hear(p message.Probe)
}

// Configuration is the part of the configuration that spreads between daemons.
type Configuration interface {
	// Version returns the version in force, or 0.
	Version() route.Version
	// Offer puts a configuration in force if it is newer.
	Offer(content []byte, source string)
}

// Prober exchanges probes with all other daemons; its exported fields are set before Run.
type Prober struct {
	Address       string
	Members       *member.Table
	Pool          *peer.Pool
	Self          Self
	Configuration Configuration
	Logger        *slog.Logger

	mu      sync.Mutex
	running map[string]bool
	now     chan struct{}
	done    chan struct{}
	round   int
	next    int
	// isFetching is true while a configuration is fetched, or about to be.
	isFetching bool
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.running = map[string]bool{}
	p.now = make(chan struct{}, 1)
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		p.loop(ctx)
	}()
}

// Done returns a channel that is closed once the prober has ended.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Announce probes all daemons at once, to tell them of a change.
func (p *Prober) Announce() {
	select {
	case p.now <- struct{}{}:
	default:
	}
}

func (p *Prober) loop(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		isForAll := false
		t := time.NewTimer(jitter(probePeriod))
		select {
		case <-ctx.Done():
		case <-p.now:
			isForAll = true
		case <-t.C:
		}
		t.Stop()
		now := time.Now()
		if now.Sub(last) > pauseFactor*probePeriod {
			p.Logger.Warn("discovery: this process stood still", "for", now.Sub(last))
		}
		last = now
		p.round++
		addresses := p.Members.Addresses()
		if !isForAll {
			addresses = p.turn(addresses)
		}
		for _, a := range addresses {
			p.start(ctx, a)
		}
	}
}

// turn returns the daemons whose turn it is in this round.
func (p *Prober) turn(addresses []string) []string {
	if len(addresses) <= probesPerRound {
		return addresses
	}
	p.next %= len(addresses)
	turn := slices.Concat(addresses[p.next:], addresses[:p.next])[:probesPerRound]
	p.next += probesPerRound
	now := time.Now()
	for _, a := range addresses {
		if p.Members.SilentFor(now, a) > 0 && len(turn) < 2*probesPerRound && !slices.Contains(turn, a) {
			turn = append(turn, a)
		}
	}
	return turn
}

// start probes a daemon unless a probe of it is on its way.
func (p *Prober) start(ctx context.Context, address string) {
	if address == p.Address {
		return
	}
	if p.Members.SilentFor(time.Now(), address) > longestSilence && p.round%slowFactor != 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[address] {
		return
	}
	p.running[address] = true
	go func() {
		p.probe(ctx, address, peer.LaneControl)
		if p.Pool.Link(address, peer.LaneBulk).IsBusy() {
			p.probe(ctx, address, peer.LaneBulk)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running, address)
	}()
}

func (p *Prober) probe(ctx context.Context, address string, lane peer.Lane) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	link := p.Pool.Link(address, lane)
	own := p.Self.Probe(address)
	var reply message.Probe
	started := time.Now()
	err := link.Call(limited, peer.ServiceName+".Probe", &own, &reply)
	if err == nil {
		p.Self.Hear(reply)
		p.catchUp(ctx, address, reply)
		return
	}
	if ctx.Err() != nil || time.Since(started) > pauseFactor*probeTimeout {
		return
	}
	if p.Members.NoteSilent(time.Now(), address) {
		p.Logger.Warn("discovery: daemon lost", "daemon", address, "error", err)
	}
	if errors.Is(limited.Err(), context.DeadlineExceeded) {
		link.Close()
	}
}

// catchUp takes a newer configuration, or unknown daemons, from a daemon that has them.
func (p *Prober) catchUp(ctx context.Context, address string, reply message.Probe) {
	if reply.Version > p.Configuration.Version() {
		p.fetchOnce(ctx, address, reply.Version)
	}
	if reply.Known > p.Members.Len() {
		p.fetchMembers(ctx, address)
	}
}

// fetchOnce fetches a configuration unless the store brings it first or another fetch is under way.
func (p *Prober) fetchOnce(ctx context.Context, address string, v route.Version) {
	p.mu.Lock()
	isFetching := p.isFetching
	p.isFetching = true
	p.mu.Unlock()
	if isFetching {
		return
	}
	if p.Configuration.Version() > 0 {
		sleep(ctx, fetchDelay)
	}
	if p.Configuration.Version() < v && ctx.Err() == nil {
		p.fetch(ctx, address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isFetching = false
}

func (p *Prober) fetch(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d message.Document
	if err := p.Pool.Link(address, peer.LaneBulk).Call(limited, peer.ServiceName+".Configuration", &message.Empty{}, &d); err != nil {
		p.Logger.Warn("discovery: configuration could not be fetched", "daemon", address, "error", err)
		return
	}
	p.Configuration.Offer(d.Content, address)
}

func (p *Prober) fetchMembers(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var addresses []string
	if err := p.Pool.Link(address, peer.LaneControl).Call(limited, peer.ServiceName+".Members", &message.Empty{}, &addresses); err != nil {
		p.Logger.Warn("discovery: list of daemons could not be fetched", "daemon", address, "error", err)
		return
	}
	for _, a := range addresses {
		if p.Members.Add(a) {
			p.Logger.Info("discovery: daemon found", "daemon", a, "through", address)
		}
	}
}
