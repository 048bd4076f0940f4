package exchange

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/organisation"
	"siskinspar.example/sidecar/quota"
)

// Organisations provides the organisations of the configuration in force.
type Organisations interface {
	// Organisation returns the organisation of a name, or nil if there is none.
	Organisation(name string) *organisation.Organisation
}

// Coordinator leases the quotas of organisations to entry daemons. Its exported fields are set before Run.
type Coordinator struct {
	// Address is the host and port at which other daemons reach this one.
	Address       string
	Organisations Organisations
	Mesh          Mesh
	Peers         Peers
	Meter         Meter
	Logger        *slog.Logger
	// Lifetime is how long leased tokens may be spent.
	Lifetime time.Duration
	// Spare is the number of tokens that a bucket holds beyond the burst of a quota.
	Spare float64

	view view
	mu   sync.Mutex
	// decisions is guarded by mu.
	decisions quota.Coordinator
	// gone holds the daemons that should coordinate and were found not to reply.
	gone   map[string]absence
	checks singleflight.Group
	// takeovers has one takeover run for each organisation at a time: a daemon gives its tokens to the first that asks.
	takeovers singleflight.Group
	// successors holds the daemons that took over from this one, by organisation.
	successors map[string]successor
	done       chan struct{}
}

// successor is a daemon that coordinates in place of this one, as of a moment.
type successor struct {
	address string
	at      time.Time
}

// successorLifetime is how long a successor counts that is not among the living daemons: as long as a new daemon may take to
// be known.
const successorLifetime = 4 * time.Second

// Run starts the goroutine that watches which daemons live, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.view = view{address: c.Address, mesh: c.Mesh}
	c.decisions = quota.Coordinator{Lifetime: c.Lifetime, Spare: c.Spare, Started: time.Now()}
	c.gone = map[string]absence{}
	c.successors = map[string]successor{}
	c.done = make(chan struct{})
	c.look(time.Now())
	go func() {
		defer close(c.done)
		c.loop(ctx)
	}()
}

// Done returns a channel that is closed once the goroutine of Run has ended.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

func (c *Coordinator) loop(ctx context.Context) {
	ticker := time.NewTicker(viewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.look(time.Now())
		}
	}
}

// look takes a look at the living daemons. It holds the lock meanwhile, so that no lease comes between a change and its
// record: after a pause that lease would be of the tokens of the whole pause.
func (c *Coordinator) look(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch hasChanged, wasPaused := c.view.look(now); {
	case wasPaused:
		c.decisions.HandlePause(now)
	case hasChanged:
		c.decisions.HandleChange(now)
	}
}

// Lease answers the request of an entry daemon for tokens.
func (c *Coordinator) Lease(ctx context.Context, r message.QuotaRequest) message.QuotaLease {
	o := c.Organisations.Organisation(r.Organisation)
	if o == nil || !o.Quota().IsLimited() {
		// The configuration of the entry daemon is another one. It uses its own part until they agree.
		return message.QuotaLease{IsRefused: true}
	}
	c.look(time.Now())
	living, _ := c.view.all()
	first, second := quota.FirstTwo(r.Organisation, c.withSuccessor(living, r.Organisation))
	share := 1.0
	if first != c.Address {
		var mayReplace bool
		if share, mayReplace = c.replacementShare(ctx, r, first); !mayReplace {
			return message.QuotaLease{IsRefused: true, Coordinator: first}
		}
	}
	c.takeOver(ctx, o, c.predecessor(r, first, second))
	c.mu.Lock()
	defer c.mu.Unlock()
	request := quota.Request{Organisation: r.Organisation, Entry: r.Entry, Wanted: r.Wanted, Refused: r.Refused}
	now := time.Now()
	l := c.decisions.Lease(now, request, o.Quota(), share*c.view.share(now))
	return message.QuotaLease{Granted: l.Granted, RetryAfter: l.RetryAfter, IsFlood: l.IsFlood}
}

// withSuccessor returns the living daemons with the one that lately took over an organisation from this one, which may not be
// known here yet.
func (c *Coordinator) withSuccessor(living []string, organisation string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.successors[organisation]
	if !ok || time.Since(s.at) > successorLifetime || slices.Contains(living, s.address) {
		return living
	}
	return append(slices.Clone(living), s.address)
}

// predecessor returns the daemon that may have coordinated before: the one that leased to the entry daemon, or the next one
// in order. It is empty if this daemon replaces one that does not reply.
func (c *Coordinator) predecessor(r message.QuotaRequest, first, second string) quota.Takeover {
	switch {
	case first != c.Address:
		return quota.Takeover{IsReplacement: true, Silent: callTimeout}
	case r.Previous == c.Address:
		return quota.Takeover{}
	case r.Previous != "":
		return quota.Takeover{From: r.Previous}
	}
	return quota.Takeover{From: second}
}

// takeOver takes over the tokens of an organisation from the daemon that may have coordinated before, where that is needed
// before Lease.
func (c *Coordinator) takeOver(ctx context.Context, o *organisation.Organisation, t quota.Takeover) {
	for range maximumTakeovers {
		if !c.mustTakeOver(o, t) {
			return
		}
		_, _, _ = c.takeovers.Do(o.Name(), func() (any, error) {
			c.runTakeover(ctx, o, t)
			return nil, nil
		})
	}
}

// maximumTakeovers is the number of takeovers that one lease waits for: one that already runs, perhaps from another daemon,
// and its own.
const maximumTakeovers = 2

// runTakeover asks the daemon that may have coordinated before for its tokens, and sets the level of the bucket.
func (c *Coordinator) runTakeover(ctx context.Context, o *organisation.Organisation, t quota.Takeover) {
	if t.From != "" {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		level, err := c.Peers.TakeOverQuota(limited, t.From, message.QuotaTakeover{Organisation: o.Name(), Address: c.Address})
		if err != nil {
			c.Logger.Info("quota: no tokens taken over", "organisation", o.Name(), "from", t.From, "error", err)
		}
		t.IsKnown, t.Level = level.IsKnown, level.Level
	}
	c.Meter.Add(CounterTakeovers)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.decisions.MustTakeOver(now, o.Name(), t.From) {
		c.decisions.TakeOver(now, o.Name(), o.Quota(), t)
	}
}

func (c *Coordinator) mustTakeOver(o *organisation.Organisation, t quota.Takeover) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decisions.MustTakeOver(time.Now(), o.Name(), t.From)
}

// TakeOver answers a daemon that is going to coordinate an organisation.
func (c *Coordinator) TakeOver(t message.QuotaTakeover) message.QuotaLevel {
	if t.Organisation == "" {
		return message.QuotaLevel{}
	}
	if quota.IsBefore(t.Organisation, c.Address, t.Address) {
		return message.QuotaLevel{IsRefused: true}
	}
	o := c.Organisations.Organisation(t.Organisation)
	if o == nil {
		return message.QuotaLevel{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.successors[t.Organisation] = successor{address: t.Address, at: time.Now()}
	level, ok := c.decisions.Release(time.Now(), t.Organisation, o.Quota())
	return message.QuotaLevel{Level: level, IsKnown: ok}
}
