package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/rollout"
)

const (
	// rolloutPeriod is the time between two looks at a running roll-out, and calmRolloutPeriod between two at those that
	// have ended.
	rolloutPeriod     = 100 * time.Millisecond
	calmRolloutPeriod = time.Second
	// reportPeriod is the time between two reports to the roll-out controller.
	reportPeriod = 500 * time.Millisecond
	// reportTimeout limits one report. If it fails, its counts come with the next.
	reportTimeout = 400 * time.Millisecond
	// endedLifetime is how long after its end a roll-out is told to other daemons.
	endedLifetime = 5 * time.Minute
	// maximumOrderAge bounds the age of an order that is estimated from the age of the configuration.
	maximumOrderAge = 3 * time.Second
)

// rollouts joins the decisions of package rollout with the store, the other daemons and the requests of this one.
type rollouts struct {
	sidecar *Sidecar
	// wake has an element once a roll-out is new.
	wake chan struct{}
	// isKnown is true once an order is known; it saves the lock for the requests before.
	isKnown atomic.Bool
	// isReporting is true while a report is on its way.
	isReporting atomic.Bool

	mu    sync.Mutex
	book  rollout.Book
	holds rollout.Holds
	// rows holds the rows of the store by service.
	rows map[string]*rolloutRow
	// odd holds the versions of odd order rows that were logged, by key.
	odd map[string]uint64
	// reportedAt is when the latest report was sent.
	reportedAt time.Time
	// clock is the time of the store less that of this daemon, as last read.
	clock time.Duration
}

func newRollouts(s *Sidecar) *rollouts {
	r := &rollouts{sidecar: s, wake: make(chan struct{}, 1), rows: map[string]*rolloutRow{}, odd: map[string]uint64{}}
	r.book.Bounds = s.Settings.Rollout
	return r
}

// run starts the goroutine that looks at the roll-outs until the context ends. It waits until an order is known.
func (r *rollouts) run(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			var next <-chan time.Time
			if r.isKnown.Load() {
				next = time.After(r.period())
			}
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			case <-next:
			}
			r.look(ctx, time.Now())
		}
	}()
}

// period returns the time until the next look.
func (r *rollouts) period() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.book.Courses() {
		if !c.Rollout().Step.IsEnded() || !c.Rollout().IsStored {
			return rolloutPeriod
		}
	}
	return calmRolloutPeriod
}

// look judges the roll-outs, tells the other daemons of a change, reports and, as roll-out controller, keeps the store up
// to date.
func (r *rollouts) look(ctx context.Context, now time.Time) {
	controller := r.sidecar.rolloutController(now)
	isController := controller == r.sidecar.Settings.Daemons
	if r.judge(now, isController) {
		r.sidecar.prober.ProbeAll()
	}
	r.report(ctx, now, controller)
	if isController {
		r.syncAll(ctx, now)
	}
}

// judge applies the verdicts of this daemon, and reports whether a roll-out was rolled back.
func (r *rollouts) judge(now time.Time, isController bool) (isChanged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.book.Courses() {
		if isController && c.Rollout().Step.Number > 0 {
			c.Confirm(now)
		}
		if c.JudgeOwn(now) || isController && c.JudgeAll(now) {
			r.logStep(now, "rollout: target version is bad, rolled back", c)
			isChanged = true
		}
	}
	return isChanged
}

// readOrders records the orders among rows of the store.
func (r *rollouts) readOrders(now time.Time, rows []discovery.Row) {
	codec := r.sidecar.Platform.Rollouts
	if codec == nil || !r.sidecar.Settings.HasRollouts {
		return
	}
	for _, row := range rows {
		if row.IsRemoved || !codec.IsOrder(row.Key) {
			continue
		}
		o, err := codec.DecodeOrder(row.Key, row.Value, row.Version, r.sidecar.storeEra.Newest())
		if err != nil {
			r.logOdd(row, err)
			continue
		}
		r.addOrder(now, o)
	}
}

// addOrder records an order. It may be as old as the latest moment at which the store had no change to tell.
func (r *rollouts) addOrder(now time.Time, o rollout.Order) {
	age := r.sidecar.freshness.Age(now)
	if age >= discovery.UnknownAge {
		age = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.book.AddOrder(now, o, min(age, maximumOrderAge)) {
		r.begin(now, o)
	}
}

// begin prepares for a roll-out of which this daemon has heard first; the caller holds the lock.
func (r *rollouts) begin(now time.Time, o rollout.Order) {
	r.isKnown.Store(true)
	delete(r.rows, o.Service())
	r.logStep(now, "rollout: order", r.book.Course(o.Service()))
	r.registerMetrics(o.Service())
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// logOdd logs an odd order once for each of its versions.
func (r *rollouts) logOdd(row discovery.Row, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if logged, ok := r.odd[row.Key]; ok && logged == row.Version {
		return
	}
	r.odd[row.Key] = row.Version
	r.sidecar.Logger.Warn("rollout: order ignored", "key", row.Key, "version", row.Version, "error", err)
}

// learn records what another daemon tells of roll-outs.
func (r *rollouts) learn(now time.Time, told []message.Rollout) {
	if len(told) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range told {
		known, err := m.Known()
		if err != nil {
			continue
		}
		before := r.book.Course(m.Service)
		if !r.book.Learn(now, known, m.Elapsed, m.Silence) {
			continue
		}
		if c := r.book.Course(m.Service); c != before {
			r.begin(now, known.Order)
		} else {
			r.logStep(now, "rollout: step of another daemon", c)
		}
	}
}

// messages returns the roll-outs for other daemons, or none if no order is known.
func (r *rollouts) messages(now time.Time) []message.Rollout {
	if !r.isKnown.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var told []message.Rollout
	for _, c := range r.book.Courses() {
		known := c.Rollout()
		if known.Step.IsEnded() && c.InForce(now) > endedLifetime {
			continue
		}
		told = append(told, message.Rollout{
			Service: known.Order.Service(), Target: known.Order.Target(), Duration: known.Order.Duration(), Version: known.Order.Version(), Era: known.Order.Era(),
			Step: known.Step, IsStored: known.IsStored, Elapsed: c.Elapsed(now), Silence: c.Silence(now),
		})
	}
	return told
}

// Divide implements entry.Rollouts.
func (r *rollouts) Divide(now time.Time, service string, all []member.Candidate, q rollout.Request) (canary, rest []member.Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.book.Course(service); c != nil {
		return c.Divide(now, all, q)
	}
	return nil, r.holds.Divide(now, service, all)
}

// IsObserved implements entry.Rollouts.
func (r *rollouts) IsObserved(service string) bool {
	if !r.isKnown.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.book.Course(service)
	return c != nil && !c.Rollout().Step.IsEnded()
}

// Observe implements entry.Rollouts.
func (r *rollouts) Observe(service, route string, s member.Server, result rollout.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.book.Course(service); c != nil {
		c.Observe(route, s, result)
	}
}

// logStep logs the latest step of a roll-out; the caller holds the lock.
func (r *rollouts) logStep(now time.Time, text string, c *rollout.Course) {
	known := c.Rollout()
	requests, exposed := c.Totals()
	r.sidecar.Logger.Info(text, "service", known.Order.Service(), "target", known.Order.Target(), "duration", known.Order.Duration(), "order-version", known.Order.Version(),
		"elapsed", c.Elapsed(now), "state", known.Step.State.String(), "number", known.Step.Number, "share", known.Step.Share, "stored", known.IsStored, "reason", known.Step.Reason,
		"own-requests", requests, "own-exposed", exposed)
}

// registerMetrics registers the gauges of the roll-out of a service; the caller holds the lock.
func (r *rollouts) registerMetrics(service string) {
	gauge := func(name string, value func(c *rollout.Course) int64) {
		// A gauge that is registered already shows the later roll-out too, since it looks at the latest.
		_ = r.sidecar.registry.Register("rollout."+service+"."+name, metrics.NewFunctionalGauge(func() int64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			if c := r.book.Course(service); c != nil {
				return value(c)
			}
			return 0
		}))
	}
	gauge("state", func(c *rollout.Course) int64 { return int64(c.Rollout().Step.State) })
	gauge("number", func(c *rollout.Course) int64 { return int64(c.Rollout().Step.Number) })
	gauge("share-permille", func(c *rollout.Course) int64 { return int64(1000 * c.Rollout().Step.Share) })
	gauge("requests", func(c *rollout.Course) int64 { requests, _ := c.Totals(); return int64(requests) })
	gauge("exposed", func(c *rollout.Course) int64 { _, exposed := c.Totals(); return int64(exposed) })
}
