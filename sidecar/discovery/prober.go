package discovery

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/route"
)

const (
	// probePeriod is the mean time between two rounds of probes; each is jittered.
	probePeriod = 700 * time.Millisecond
	// smallMesh is the number of other daemons up to which each round probes all.
	smallMesh = 16
	// probesPerRound is the number of daemons probed in a round of a larger mesh, besides the relays and unreachable ones.
	// The rounds go through the daemons in order of address.
	probesPerRound = 16
	// unreachablePerRound is the number of unreachable daemons probed in a round of a larger mesh.
	unreachablePerRound = 16
	// probeTimeout limits the wait for the reply to a probe.
	probeTimeout = time.Second
	// askTimeout limits the wait for the reply to Ask.
	askTimeout = 150 * time.Millisecond
	// pauseFactor is the multiple of probePeriod for a round, or of probeTimeout for a probe, above which the duration
	// shows that this process itself was paused. The failure of such a probe is then not held against the other daemon.
	pauseFactor = 3
	// slowProbeAfter is how long a daemon that does not answer is still probed at the usual rate; after that it is probed
	// only in one of slowProbeRounds rounds.
	slowProbeAfter = 10 * time.Second
	// slowProbeRounds is the number of rounds from one probe to the next of a daemon that has not answered for longer than
	// slowProbeAfter. The rounds that ProbeAll starts count too.
	slowProbeRounds = 4
)

// StateExchange exchanges the state of this daemon for that of others.
type StateExchange interface {
	// Probe returns the probe with the state of this daemon, for the daemon at the address to.
	Probe(to string) message.Probe
	// ReceiveProbe records the state of another daemon from its reply to a probe.
	ReceiveProbe(p message.Probe)
}

// Configuration holds the configuration in force, as far as the prober needs it to spread newer versions.
type Configuration interface {
	// Version returns the version in force, or 0 if there is none.
	Version() route.Version
	// Install puts a configuration in force if it is newer; source is the address of the daemon that it came from.
	Install(content []byte, source string)
}

// Prober exchanges probes with all other daemons. The exported fields are set before Run.
type Prober struct {
	// Address is the address at which other daemons reach this one; it is not probed.
	Address string
	// DataCentre is that of this daemon.
	DataCentre    string
	Members       *member.Table
	Pool          *peer.Pool
	StateExchange StateExchange
	Configuration Configuration
	// Freshness is raised by the replies of daemons that have no newer configuration than this one; it is set before Run,
	// or nil.
	Freshness *Freshness
	Logger    *slog.Logger
	// Relays returns the addresses of the relays of this data centre, which are probed in each round.
	Relays func() []string
	// IsHurried reports whether a configuration of another data centre is fetched without delay, since the relays of the own
	// one may not deliver it; it is set before Run, or nil for never.
	IsHurried func() bool

	mu sync.Mutex
	// inFlight holds the addresses of daemons with an unanswered probe, and whether another probe has to follow it: the
	// state of this daemon may have changed since.
	inFlight map[string]bool
	probeAll chan struct{}
	// probeNeighbours starts a round for the daemons of this data centre.
	probeNeighbours chan struct{}
	done            chan struct{}
	round           atomic.Int64
	// cursor is the index of the first address of the next round.
	cursor int
	// fetching counts the configurations that are being fetched, including the delay before, from daemons of this data
	// centre (true) and of others (false).
	fetching map[bool]int
	// ctx is the context of Run.
	ctx context.Context
}

// Run starts a goroutine that probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.ctx = ctx
	if p.Freshness == nil {
		p.Freshness = &Freshness{}
	}
	p.inFlight = map[string]bool{}
	p.fetching = map[bool]int{}
	p.probeAll = make(chan struct{}, 1)
	p.probeNeighbours = make(chan struct{}, 1)
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		p.loop(ctx)
	}()
}

// Done returns a channel that is closed once the goroutine of Run has ended.
func (p *Prober) Done() <-chan struct{} { return p.done }

// ProbeAll starts a round that probes all daemons without delay, so that they learn of a change of this daemon.
func (p *Prober) ProbeAll() {
	select {
	case p.probeAll <- struct{}{}:
	default:
	}
}

// ProbeNeighbours starts a round that probes all daemons of this data centre without delay, so that they learn of a new
// configuration.
func (p *Prober) ProbeNeighbours() {
	select {
	case p.probeNeighbours <- struct{}{}:
	default:
	}
}

// HandleProbe fetches a newer configuration from a daemon that has sent a probe, without waiting for the end.
func (p *Prober) HandleProbe(received message.Probe) {
	if received.Version > p.Configuration.Version() {
		go p.fetchNewer(p.ctx, received.Record, received.Version)
	}
}

// loop runs one round of probes per period, and one at once after calls of ProbeAll.
func (p *Prober) loop(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		var addresses []string
		isChange := true
		timer := time.NewTimer(jitter(probePeriod))
		select {
		case <-ctx.Done():
		case <-p.probeAll:
			addresses = p.Members.Addresses()
		case <-p.probeNeighbours:
			addresses = p.neighbours()
		case <-timer.C:
			isChange = false
			addresses = p.due(p.Members.Addresses())
		}
		timer.Stop()
		now := time.Now()
		if now.Sub(last) > pauseFactor*probePeriod {
			p.Logger.Warn("discovery: this process was paused", "for", now.Sub(last))
		}
		last = now
		p.round.Add(1)
		for _, a := range addresses {
			p.startProbe(ctx, a, isChange)
		}
	}
}

// neighbours returns the addresses of the daemons of this data centre that are alive.
func (p *Prober) neighbours() []string {
	var addresses []string
	for _, n := range p.Members.Neighbours(p.DataCentre) {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// due returns the daemons to probe in this round: the relays, the next probesPerRound in order, and up to as many
// unreachable ones.
func (p *Prober) due(addresses []string) []string {
	if len(addresses) <= smallMesh {
		return addresses
	}
	p.cursor %= len(addresses)
	due := slices.Concat(addresses[p.cursor:], addresses[:p.cursor])[:probesPerRound]
	p.cursor += probesPerRound
	for _, a := range p.Relays() {
		if !slices.Contains(due, a) {
			due = append(due, a)
		}
	}
	now := time.Now()
	most := len(due) + unreachablePerRound
	for _, a := range addresses {
		if p.Members.UnreachableFor(now, a) > 0 && len(due) < most && !slices.Contains(due, a) {
			due = append(due, a)
		}
	}
	return due
}

// startProbe starts to probe a daemon unless a probe of it is in flight, or it has been unreachable for longer than
// slowProbeAfter and this is not one of the rounds for it. A change of this daemon is told by another probe once the one
// in flight has ended, and told again if the probe times out, since only its connection may be silent.
func (p *Prober) startProbe(ctx context.Context, address string, isChange bool) {
	if address == p.Address {
		return
	}
	if p.Members.UnreachableFor(time.Now(), address) > slowProbeAfter && p.round.Load()%slowProbeRounds != 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.inFlight[address]; ok {
		p.inFlight[address] = p.inFlight[address] || isChange
		return
	}
	p.inFlight[address] = false
	go func() {
		for isDue := true; isDue && ctx.Err() == nil; isDue = p.endProbe(address) {
			if hasTimedOut := p.probe(ctx, address, peer.TrafficControl); hasTimedOut && isChange {
				isChange = false
				p.repeatProbe(address)
			}
			if p.Pool.Connection(address, peer.TrafficBulk).IsBusy() {
				p.probe(ctx, address, peer.TrafficBulk)
			}
		}
	}()
}

// repeatProbe makes another probe follow the one in flight.
func (p *Prober) repeatProbe(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[address] = true
}

// endProbe records that a probe has ended, and reports whether another has to follow it.
func (p *Prober) endProbe(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[address] {
		p.inFlight[address] = false
		return true
	}
	delete(p.inFlight, address)
	return false
}

// probe sends a probe and handles the reply. A probe that times out closes the connection; hasTimedOut says so.
func (p *Prober) probe(ctx context.Context, address string, class peer.TrafficClass) (hasTimedOut bool) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection := p.Pool.Connection(address, class)
	started := time.Now()
	reply, err := p.exchange(callCtx, connection, address)
	if err == nil {
		p.catchUp(ctx, address, reply)
		p.recordAge(started, reply)
		return false
	}
	// After a pause of this process the failure says nothing about the other daemon.
	if ctx.Err() != nil || time.Since(started) > pauseFactor*probeTimeout {
		return false
	}
	if p.Members.RecordUnreachable(time.Now(), address) {
		p.Logger.Warn("discovery: daemon does not answer probes", "daemon", address, "error", err)
	}
	hasTimedOut = errors.Is(callCtx.Err(), context.DeadlineExceeded)
	if hasTimedOut {
		connection.Close()
	}
	return hasTimedOut
}

// exchange sends a probe over a connection and records the state in the reply.
func (p *Prober) exchange(ctx context.Context, c *peer.Connection, address string) (message.Probe, error) {
	own := p.StateExchange.Probe(address)
	var reply message.Probe
	if err := c.Call(ctx, peer.ServiceName+".Probe", &own, &reply); err != nil {
		return message.Probe{}, err
	}
	p.StateExchange.ReceiveProbe(reply)
	return reply, nil
}

// Ask asks a daemon at once how old its configuration is, and waits for the reply for askTimeout. A daemon that does not
// reply in that time does not count as unreachable.
func (p *Prober) Ask(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	started := time.Now()
	reply, err := p.exchange(callCtx, p.Pool.Connection(address, peer.TrafficControl), address)
	if err != nil {
		p.Logger.Info("discovery: daemon does not say how old its configuration is", "daemon", address, "error", err)
		return
	}
	p.recordAge(started, reply)
	if reply.Version > p.Configuration.Version() {
		go p.fetchNewer(ctx, reply.Record, reply.Version)
	}
}
