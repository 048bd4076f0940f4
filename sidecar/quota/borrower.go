package quota

import (
	"math"
	"slices"
	"time"

	"siskinspar.example/sidecar/organisation"
)

const (
	// demandMemory is the time over which the requests of an organisation are averaged.
	demandMemory = time.Second
	// prefetchTime is the time for which the tokens have to last when further ones are asked for ahead of need.
	prefetchTime = 100 * time.Millisecond
	// leasedShare is the share of the lifetime of tokens for which they are asked for in advance.
	leasedShare = 0.75
	// fallbackTime is how long an entry daemon that got no reply spends from its own bucket before it asks again.
	fallbackTime = 300 * time.Millisecond
	// askAgainTime is the longest time that requests wait, once, for a coordinator that has too few tokens.
	askAgainTime = 200 * time.Millisecond
)

// Action is what becomes of a request.
type Action int

// The actions for a request.
const (
	// Admit serves the request.
	Admit Action = iota
	// Refuse answers that the request is over the quota.
	Refuse
	// Wait keeps the request until HandleLease or HandleFailure is called.
	Wait
)

// Admission says whether the quota of an organisation allows a request.
type Admission struct {
	IsAdmitted bool
	// Until is when the token of an admitted request expires; Borrower.Return needs it.
	Until time.Time
	// RetryAfter is the time after which a request that is not admitted may be sent again.
	RetryAfter time.Duration
	// IsFlood is true if the organisation asks for much more than its quota.
	IsFlood bool
}

// Decision is the decision on a request.
type Decision struct {
	// Action says what becomes of the request.
	Action Action
	// Until is when the token of an admitted request expires.
	Until time.Time
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// Wanted is the number of tokens to ask the coordinator for now, or 0.
	Wanted int
}

// Settlement is the decision on the requests that wait, the first ones first.
type Settlement struct {
	// Admitted is the number of requests to serve.
	Admitted int
	// Until holds when the token of each of them expires.
	Until []time.Time
	// Wanted is the number of tokens to ask the coordinator for after Delay, while the other requests go on waiting. If it is
	// 0, they are refused.
	Wanted int
	Delay  time.Duration
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// admit adds a request to serve with a token that expires at a time.
func (s *Settlement) admit(until time.Time) {
	s.Admitted++
	s.Until = append(s.Until, until)
}

// Borrower decides for an entry daemon which requests of organisations are within their quotas, and when to lease
// tokens. It is not safe for concurrent use.
type Borrower struct {
	// Lifetime is how long leased tokens may be spent; it is set before use.
	Lifetime time.Duration

	balances map[string]*balance
}

// balance is the state of one organisation at an entry daemon.
type balance struct {
	// leases holds the tokens, those that expire first at the start.
	leases []lease
	// demand is the average number of requests a second as of demandAt.
	demand   float64
	demandAt time.Time
	// waiting is the number of requests that wait for tokens.
	waiting int
	// isAsking is true while a request for tokens is out, since askedAt.
	isAsking bool
	askedAt  time.Time
	// hasAskedAgain is true if that request is for requests that the coordinator had too few tokens for.
	hasAskedAgain bool
	// blockedUntil is when the coordinator may be asked again after it had no tokens.
	blockedUntil time.Time
	// inLine is the number of requests refused since the last lease, which return one after the other.
	inLine int
	// refused is the number of requests refused since the coordinator was asked.
	refused int
	// isFlood is what the last lease says of the organisation.
	isFlood bool
	// unreachableUntil is when the coordinator is asked again after it did not reply; until then own is used. It is zero since
	// the last reply.
	unreachableUntil time.Time
	own              bucket
}

// lease is a number of tokens with their end.
type lease struct {
	tokens int
	end    time.Time
}

// Arrive decides on a request. Own is that of HandleFailure.
func (b *Borrower) Arrive(now time.Time, organisation string, own OwnPart) Decision {
	a := b.balanceOf(organisation)
	a.recordDemand(now)
	if until, ok := a.spend(now); ok {
		return Decision{Action: Admit, Until: until, Wanted: a.prefetch(now, b.Lifetime)}
	}
	if now.Before(a.unreachableUntil) {
		if a.spendOwn(now, own) {
			return Decision{Action: Admit, Until: now.Add(b.Lifetime)}
		}
		return Decision{Action: Refuse, RetryAfter: a.unreachableUntil.Sub(now)}
	}
	if !a.isAsking && now.Before(a.blockedUntil) {
		a.refused++
		return Decision{Action: Refuse, RetryAfter: a.returnTime(now, own.Quota)}
	}
	a.waiting++
	return Decision{Action: Wait, Wanted: a.ask(now, a.waiting+a.expected(b.Lifetime))}
}

// balanceOf returns the balance of an organisation, which it creates if needed.
func (b *Borrower) balanceOf(organisation string) *balance {
	if b.balances == nil {
		b.balances = map[string]*balance{}
	}
	a, ok := b.balances[organisation]
	if !ok {
		a = &balance{}
		b.balances[organisation] = a
	}
	return a
}

// IsFlood reports whether an organisation asked for much more than its quota as of the last lease.
func (b *Borrower) IsFlood(organisation string) bool { return b.balanceOf(organisation).isFlood }

// TakeRefused returns the number of requests of an organisation that were refused since the last call, for the next
// request to the coordinator.
func (b *Borrower) TakeRefused(organisation string) int {
	a := b.balanceOf(organisation)
	refused := a.refused
	a.refused = 0
	return refused
}

// HandleLease adds the tokens of a lease and decides on the requests that wait.
func (b *Borrower) HandleLease(now time.Time, organisation string, l Lease) Settlement {
	a := b.balanceOf(organisation)
	a.isAsking = false
	a.unreachableUntil = time.Time{}
	a.isFlood = l.IsFlood
	if l.Granted > 0 {
		a.add(l.Granted, a.askedAt.Add(b.Lifetime))
		a.inLine = 0
	}
	if l.RetryAfter > 0 {
		a.blockedUntil = now.Add(l.RetryAfter)
	}
	s := Settlement{RetryAfter: max(minimumRetry, l.RetryAfter)}
	for s.Admitted < a.waiting {
		until, ok := a.spend(now)
		if !ok {
			break
		}
		s.admit(until)
	}
	a.waiting -= s.Admitted
	if a.waiting > 0 && a.mayAskAgain(l) {
		s.Delay = l.RetryAfter
		s.Wanted = a.ask(now.Add(s.Delay), a.waiting)
		return s
	}
	a.hasAskedAgain = false
	a.refused += a.waiting
	a.waiting = 0
	return s
}

// mayAskAgain reports whether the requests that wait go on waiting after a lease: it has all the tokens that were wanted,
// and more requests came since, or the coordinator soon has further ones.
func (a *balance) mayAskAgain(l Lease) bool {
	if l.RetryAfter == 0 {
		return l.Granted > 0
	}
	isFirst := !a.hasAskedAgain
	a.hasAskedAgain = true
	return isFirst && l.RetryAfter <= askAgainTime
}

// HandleFailure records that the coordinator did not reply, and decides on the requests that wait by the own bucket.
func (b *Borrower) HandleFailure(now time.Time, organisation string, own OwnPart) Settlement {
	a := b.balanceOf(organisation)
	a.isAsking = false
	a.hasAskedAgain = false
	if a.unreachableUntil.IsZero() {
		a.beginOwn(now, own)
	}
	a.unreachableUntil = now.Add(fallbackTime)
	s := Settlement{RetryAfter: fallbackTime}
	for s.Admitted < a.waiting && a.spendOwn(now, own) {
		s.admit(now.Add(b.Lifetime))
	}
	a.waiting = 0
	return s
}

// Abandon records that a request no longer waits.
func (b *Borrower) Abandon(organisation string) {
	a := b.balanceOf(organisation)
	a.waiting = max(0, a.waiting-1)
}

// Return gives back the token of a request that has not run. The token still expires at the time that came with its
// admission, however often it is spent and returned.
func (b *Borrower) Return(now time.Time, organisation string, until time.Time) {
	if now.Before(until) {
		b.balanceOf(organisation).add(1, until)
	}
}

// add adds tokens that expire at a time, in order of expiry.
func (a *balance) add(tokens int, end time.Time) {
	i, isPresent := slices.BinarySearchFunc(a.leases, end, func(l lease, end time.Time) int { return l.end.Compare(end) })
	if !isPresent {
		a.leases = slices.Insert(a.leases, i, lease{end: end})
	}
	a.leases[i].tokens += tokens
}

// recordDemand counts one request.
func (a *balance) recordDemand(now time.Time) {
	a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandMemory.Seconds())
	a.demand += 1 / demandMemory.Seconds()
	a.demandAt = now
}

// spend takes one leased token, the one that expires first, and returns when that is.
func (a *balance) spend(now time.Time) (until time.Time, ok bool) {
	for len(a.leases) > 0 && (a.leases[0].tokens == 0 || !now.Before(a.leases[0].end)) {
		a.leases = a.leases[1:]
	}
	if len(a.leases) == 0 {
		return time.Time{}, false
	}
	a.leases[0].tokens--
	return a.leases[0].end, true
}

// beginOwn prepares the own bucket for the time without a coordinator. What has flowed in before counts up to the initial
// number only: all daemons that lose their coordinator at once would spend it together.
func (a *balance) beginOwn(now time.Time, own OwnPart) {
	if a.own.updated.IsZero() {
		a.own = bucket{level: own.Initial, updated: now}
	}
	a.refillOwn(now, own)
	a.own.level = min(a.own.level, own.Initial)
}

// refillOwn adds what has flowed into the own bucket. Its capacity leaves out the part of the burst, which the daemon may
// have spent before through the coordinator.
func (a *balance) refillOwn(now time.Time, own OwnPart) {
	a.own.refill(now, organisation.Quota{Rate: own.Quota.Rate, Burst: max(own.Initial, own.Quota.Rate*fallbackTime.Seconds())})
}

// spendOwn takes one token of the own bucket.
func (a *balance) spendOwn(now time.Time, own OwnPart) bool {
	a.refillOwn(now, own)
	return a.own.take(1) == 1
}

// tokens returns the number of leased tokens, some of which may have expired.
func (a *balance) tokens() int {
	total := 0
	for _, l := range a.leases {
		total += l.tokens
	}
	return total
}

// expected returns the number of requests that are expected while leased tokens may be spent.
func (a *balance) expected(lifetime time.Duration) int {
	return int(a.demand * leasedShare * lifetime.Seconds())
}

// prefetch returns the number of tokens to ask for ahead of need, or 0 while there are enough.
func (a *balance) prefetch(now time.Time, lifetime time.Duration) int {
	left := a.tokens()
	expected := a.expected(lifetime)
	if expected == 0 || float64(left) > a.demand*prefetchTime.Seconds() || now.Before(a.blockedUntil) {
		return 0
	}
	return a.ask(now, expected)
}

// ask returns the number of tokens to ask for, which is 0 while a request for tokens is out.
func (a *balance) ask(now time.Time, wanted int) int {
	if a.isAsking {
		return 0
	}
	a.isAsking = true
	a.askedAt = now
	return wanted
}

// returnTime returns when one more refused request may return: after those refused before it, one for each token of an
// equal part of the quota.
func (a *balance) returnTime(now time.Time, q organisation.Quota) time.Duration {
	a.inLine++
	wait := a.blockedUntil.Sub(now)
	if q.Rate > 0 {
		wait += inflowTime(float64(a.inLine), q.Rate, maximumReturn)
	}
	return min(maximumReturn, wait)
}

// maximumReturn is the longest time after which a refused request is asked to return.
const maximumReturn = 2 * time.Second
