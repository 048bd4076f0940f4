package exchange

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/organisation"
	"siskinspar.example/sidecar/quota"
)

// Entry admits the requests that clients send to one daemon. Its exported fields are set before Run.
type Entry struct {
	// Address is the host and port at which other daemons reach this one.
	Address string
	// Local is the coordinator of this daemon.
	Local  *Coordinator
	Mesh   Mesh
	Peers  Peers
	Meter  Meter
	Logger *slog.Logger
	// Lifetime is how long leased tokens may be spent.
	Lifetime time.Duration
	// Tolerance is what a quota may be exceeded by.
	Tolerance quota.Tolerance

	view view
	mu   sync.Mutex
	// The fields below are guarded by mu.
	decisions quota.Borrower
	waiters   map[string][]chan verdict
	// previous holds the daemon that last leased tokens, by organisation.
	previous map[string]string
	// suspected holds when a daemon did not reply.
	suspected map[string]time.Time
	// isolatedSince is when a request for tokens first failed since the last reply, or zero.
	isolatedSince time.Time
	refusals      refusals
}

// verdict is the decision on a request that waited.
type verdict struct {
	isAdmitted bool
	until      time.Time
	retryAfter time.Duration
}

// Run prepares the entry; it starts nothing.
func (e *Entry) Run() {
	e.view = view{address: e.Address, mesh: e.Mesh}
	e.decisions = quota.Borrower{Lifetime: e.Lifetime}
	e.waiters = map[string][]chan verdict{}
	e.previous = map[string]string{}
	e.suspected = map[string]time.Time{}
}

// Admit implements entry.Quotas.
func (e *Entry) Admit(ctx context.Context, o *organisation.Organisation) quota.Admission {
	now := time.Now()
	e.view.look(now)
	e.mu.Lock()
	d := e.decisions.Arrive(now, o.Name(), e.ownPart(now, o))
	var waiter chan verdict
	if d.Action == quota.Wait {
		waiter = make(chan verdict, 1)
		e.waiters[o.Name()] = append(e.waiters[o.Name()], waiter)
	}
	isFlood := e.decisions.IsFlood(o.Name())
	e.mu.Unlock()
	if d.Wanted > 0 {
		go e.ask(o, d.Wanted)
	}
	v := verdict{isAdmitted: d.Action == quota.Admit, until: d.Until, retryAfter: d.RetryAfter}
	if waiter != nil {
		v = e.await(ctx, o, waiter)
	}
	if !v.isAdmitted && ctx.Err() == nil {
		e.countRefusal(time.Now(), o.Name())
	}
	return quota.Admission{IsAdmitted: v.isAdmitted, Until: v.until, RetryAfter: v.retryAfter, IsFlood: isFlood}
}

// Return implements entry.Quotas.
func (e *Entry) Return(o *organisation.Organisation, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decisions.Return(time.Now(), o.Name(), until)
}

// undecidedRetryAfter is the time after which a request may be sent again whose context ended before the coordinator replied;
// the reply has come by then, or the time-out of the call has passed.
const undecidedRetryAfter = leaseTimeout

// await waits for the decision on a request. If the context ends before, the request is not admitted.
func (e *Entry) await(ctx context.Context, o *organisation.Organisation, waiter chan verdict) verdict {
	select {
	case v := <-waiter:
		return v
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case v := <-waiter:
		return v
	default:
	}
	waiters := e.waiters[o.Name()]
	for i, w := range waiters {
		if w == waiter {
			e.waiters[o.Name()] = append(waiters[:i:i], waiters[i+1:]...)
			e.decisions.Abandon(o.Name())
		}
	}
	return verdict{retryAfter: undecidedRetryAfter}
}

// ownPart returns the part of a quota that this daemon may use without a coordinator; the caller holds the lock.
func (e *Entry) ownPart(now time.Time, o *organisation.Organisation) quota.OwnPart {
	isolated := time.Duration(0)
	if !e.isolatedSince.IsZero() {
		isolated = now.Sub(e.isolatedSince)
	}
	_, known := e.view.all()
	return quota.NewOwnPart(o.Name(), e.Address, o.Quota(), e.Tolerance, known, isolated)
}

// ask leases tokens until no request needs further ones.
func (e *Entry) ask(o *organisation.Organisation, wanted int) {
	for wanted > 0 {
		e.Meter.Add(CounterLeases)
		l, ok := e.lease(o.Name(), wanted)
		var delay time.Duration
		wanted, delay = e.settle(o, l, ok)
		time.Sleep(delay)
	}
}

// settle decides on the requests that wait after a reply, or after none came. It returns how many further tokens to ask for,
// and the delay before that.
func (e *Entry) settle(o *organisation.Organisation, l message.QuotaLease, ok bool) (wanted int, delay time.Duration) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var s quota.Settlement
	if ok {
		e.isolatedSince = time.Time{}
		s = e.decisions.HandleLease(now, o.Name(), quota.Lease{Granted: l.Granted, RetryAfter: l.RetryAfter, IsFlood: l.IsFlood})
	} else {
		if e.isolatedSince.IsZero() {
			e.isolatedSince = now
		}
		s = e.decisions.HandleFailure(now, o.Name(), e.ownPart(now, o))
	}
	waiters := e.waiters[o.Name()]
	for i, w := range waiters {
		switch {
		case i < s.Admitted:
			w <- verdict{isAdmitted: true, until: s.Until[i]}
		case s.Wanted == 0:
			w <- verdict{retryAfter: s.RetryAfter}
		}
	}
	if s.Wanted > 0 {
		e.waiters[o.Name()] = waiters[s.Admitted:]
	} else {
		delete(e.waiters, o.Name())
	}
	return s.Wanted, s.Delay
}

// maximumCalls is the largest number of daemons that are asked for one lease.
const maximumCalls = 3

// lease asks the coordinator of an organisation for tokens, and the next one if it does not reply. It reports false if none
// leases any.
func (e *Entry) lease(organisation string, wanted int) (message.QuotaLease, bool) {
	living, _ := e.view.all()
	first, second := quota.FirstTwo(organisation, living)
	r := e.newRequest(organisation, wanted)
	target := first
	if e.isSuspected(first) {
		target, r.Suspected = second, first
	}
	for range maximumCalls {
		if target == "" {
			break
		}
		l, err := e.call(target, r)
		switch {
		case err != nil:
			e.suspect(target, err)
			if target == second {
				return message.QuotaLease{}, false
			}
			target, r.Suspected = second, target
		case !l.IsRefused:
			return l, true
		case l.Coordinator == "" || l.Coordinator == r.Suspected:
			return message.QuotaLease{}, false
		case e.isSuspected(l.Coordinator):
			r.Suspected = l.Coordinator
		default:
			target = l.Coordinator
		}
	}
	return message.QuotaLease{}, false
}

// call sends a request for tokens to a daemon, which may be this one.
func (e *Entry) call(address string, r message.QuotaRequest) (message.QuotaLease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	var l message.QuotaLease
	var err error
	if address == e.Address {
		l = e.Local.Lease(ctx, r)
	} else {
		l, err = e.Peers.LeaseQuota(ctx, address, r)
	}
	if l.Granted > 0 {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.previous[r.Organisation] = address
	}
	return l, err
}

// newRequest returns a request for tokens.
func (e *Entry) newRequest(organisation string, wanted int) message.QuotaRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return message.QuotaRequest{
		Organisation: organisation, Entry: e.Address, Wanted: wanted, Refused: e.decisions.TakeRefused(organisation),
		Previous: e.previous[organisation],
	}
}

func (e *Entry) isSuspected(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.suspected[address]) < suspicionLifetime
}

// suspect records that a daemon did not reply.
func (e *Entry) suspect(address string, err error) {
	e.Meter.Add(CounterUnreachable)
	e.mu.Lock()
	e.suspected[address] = time.Now()
	e.mu.Unlock()
	e.Logger.Info("quota: coordinator does not reply", "daemon", address, "error", err)
}
