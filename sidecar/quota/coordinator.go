package quota

import (
	"math"
	"slices"
	"time"

	"siskinspar.example/sidecar/organisation"
)

const (
	// initialTokens is what the bucket of a new coordinator holds, so that an organisation with few requests is served at
	// once. Several daemons may end within one window, and each time another one may coordinate.
	initialTokens = 1
	// currentUse is how long after its last lease the level of a bucket counts when that of another coordinator is known.
	currentUse = time.Second
	// consultTime is how long after another coordinator was asked for its tokens it is not asked again.
	consultTime = 2 * time.Second
	// activeTime is how long an entry daemon counts as one of those that share an empty bucket.
	activeTime = time.Second
	// scarceLevel is the share of the burst below which each lease is bounded by an equal part of the inflow.
	scarceLevel = 0.25
	// minimumRetry and maximumRetry bound the time after which an entry daemon without tokens asks again.
	minimumRetry = 40 * time.Millisecond
	maximumRetry = 500 * time.Millisecond
)

// Request asks for tokens of one organisation.
type Request struct {
	Organisation string
	// Entry is the address of the entry daemon.
	Entry string
	// Wanted is the number of tokens.
	Wanted int
	// Refused is the number of requests that the entry daemon has refused since it asked last.
	Refused int
}

// Lease is the reply to a Request.
type Lease struct {
	// Granted is the number of tokens, at most those wanted.
	Granted int
	// RetryAfter is the time after which there are further tokens if none are left, or 0.
	RetryAfter time.Duration
	// IsFlood is true if the organisation asks for much more than its quota.
	IsFlood bool
}

// Coordinator keeps the buckets of the organisations whose quota one daemon coordinates. It is not safe for concurrent
// use.
type Coordinator struct {
	// Lifetime is how long leased tokens may be spent; it is set before use.
	Lifetime time.Duration
	// Started is the start of the daemon; it is set before use.
	Started time.Time
	// Spare is the number of tokens that a bucket holds beyond the burst of the quota, so that an organisation with few
	// requests is not refused because some of its tokens expired. It is set before use.
	Spare float64

	accounts map[string]*account
	// changedAt is when other daemons last came or went, or this one was paused: an organisation that this one has not
	// coordinated yet may have had another coordinator until then.
	changedAt time.Time
	// pausedAt is when this daemon last was paused, so that others may have coordinated in its place.
	pausedAt time.Time
}

// account is the state of one organisation at its coordinator.
type account struct {
	bucket
	// leased is when tokens were last asked for.
	leased time.Time
	// consulted holds when other daemons were asked for the tokens that they had as coordinators.
	consulted map[string]time.Time
	// released is when the tokens went to another coordinator, or zero if they are here.
	released time.Time
	// entries holds when each entry daemon last asked.
	entries map[string]time.Time
	// refusals is the average number of refused requests a second as of refusedAt.
	refusals  float64
	refusedAt time.Time
	// line holds the entry daemons that were refused, the first one first. One token is kept for each.
	line []string
}

// HandlePause records that this daemon was paused.
func (c *Coordinator) HandlePause(now time.Time) {
	c.pausedAt = now
	c.HandleChange(now)
}

// HandleChange records that other daemons have come or gone. The tokens of the organisations that this one coordinates stay
// as they are: entry daemons that leased from another one meanwhile say so.
func (c *Coordinator) HandleChange(now time.Time) {
	c.changedAt = now
	for name, a := range c.accounts {
		if now.Sub(a.leased) > accountLifetime {
			delete(c.accounts, name)
		}
	}
}

// accountLifetime is how long the account of an organisation without requests is kept.
const accountLifetime = time.Minute

// MustTakeOver reports whether another daemon has to be asked for the tokens that it has as a coordinator, and the result
// passed to TakeOver, before Lease. Other is the daemon that leased tokens to the entry daemon before, or empty if that was
// this one or none.
func (c *Coordinator) MustTakeOver(now time.Time, organisation, other string) bool {
	a, ok := c.accounts[organisation]
	if !ok || !a.released.IsZero() {
		return true
	}
	if other != "" {
		return now.Sub(a.consulted[other]) > consultTime
	}
	return c.pausedAt.After(a.leased)
}

// Takeover is what is known of the use of a quota before this daemon coordinates.
type Takeover struct {
	// From is the daemon that was asked for its tokens, or empty if there is none.
	From string
	// IsKnown is true if From has coordinated; Level is then the number of its tokens.
	IsKnown bool
	Level   float64
	// IsReplacement is true if another daemon should coordinate, and has not replied for the time Silent.
	IsReplacement bool
	Silent        time.Duration
}

// TakeOver sets the level of a bucket from what is known of its use.
func (c *Coordinator) TakeOver(now time.Time, organisation string, q organisation.Quota, t Takeover) {
	if c.accounts == nil {
		c.accounts = map[string]*account{}
	}
	a, ok := c.accounts[organisation]
	if !ok {
		a = &account{entries: map[string]time.Time{}, consulted: map[string]time.Time{}}
		c.accounts[organisation] = a
	}
	isOwn := ok && a.released.IsZero() && !c.pausedAt.After(a.leased)
	isCurrent := isOwn && now.Sub(a.leased) <= currentUse
	if isOwn {
		a.refill(now, c.withSpare(q))
	}
	switch {
	case t.IsKnown && isCurrent:
		a.level = min(a.level, t.Level)
	case t.IsKnown:
		a.level = t.Level
	case !isOwn, t.IsReplacement && !isCurrent:
		a.level = c.unknownLevel(now, a, q, t)
	}
	a.consulted[t.From] = now
	a.released = time.Time{}
	a.updated = now
	a.leased = now
}

// unknownLevel returns the level of a bucket for which no other coordinator was found. None has coordinated since the
// daemons last changed, unless it is replaced right now.
func (c *Coordinator) unknownLevel(now time.Time, a *account, q organisation.Quota, t Takeover) float64 {
	if t.IsReplacement {
		return min(initialTokens, c.Spare) + q.Rate*t.Silent.Seconds()
	}
	since := c.Started
	for _, t := range []time.Time{c.changedAt, a.released} {
		if t.After(since) {
			since = t
		}
	}
	return min(initialTokens, c.Spare) + q.Rate*now.Sub(since).Seconds()
}

// Release returns the level of a bucket to the daemon that now coordinates. It reports false if there is none.
func (c *Coordinator) Release(now time.Time, organisation string, q organisation.Quota) (level float64, ok bool) {
	a, ok := c.accounts[organisation]
	if !ok || !a.released.IsZero() {
		return 0, false
	}
	a.refill(now, c.withSpare(q))
	a.released = now
	return a.level, true
}

// Lease grants tokens under the part of a quota that belongs to the daemons that this one reaches. TakeOver comes first
// where MustTakeOver says so; if the tokens have gone since, none are granted.
func (c *Coordinator) Lease(now time.Time, r Request, q organisation.Quota, reached float64) Lease {
	a, ok := c.accounts[r.Organisation]
	if !ok || !a.released.IsZero() {
		return Lease{RetryAfter: minimumRetry}
	}
	q = part(q, reached)
	a.refill(now, c.withSpare(q))
	a.leased = now
	a.entries[r.Entry] = now
	a.recordRefusals(now, r.Refused)
	available, wanted := whole(a.level), r.Wanted
	if a.level < scarceLevel*q.Burst {
		available -= a.ahead(now, r.Entry)
		equal := whole(q.Rate * c.Lifetime.Seconds() / float64(a.active(now)))
		wanted = min(wanted, max(1, equal))
	}
	l := Lease{Granted: a.take(min(wanted, available)), IsFlood: a.refusals > floodShare*q.Rate}
	switch {
	case l.Granted > 0:
		a.leaveLine(r.Entry)
	case !slices.Contains(a.line, r.Entry):
		a.line = append(a.line, r.Entry)
	}
	if l.Granted < r.Wanted && available-l.Granted < 1 {
		l.RetryAfter = a.retryAfter(now, r.Entry, q)
	}
	return l
}

// floodShare is the number of refused requests from which an organisation floods, as a share of its quota. Less is refused
// of an organisation that only just exceeds its quota.
const floodShare = 0.5

// recordRefusals counts requests that an entry daemon has refused.
func (a *account) recordRefusals(now time.Time, count int) {
	a.refusals *= math.Exp(-now.Sub(a.refusedAt).Seconds() / demandMemory.Seconds())
	a.refusals += float64(count) / demandMemory.Seconds()
	a.refusedAt = now
}

// withSpare returns a quota with the burst that a bucket holds.
func (c *Coordinator) withSpare(q organisation.Quota) organisation.Quota {
	q.Burst += c.Spare
	return q
}

// active returns the number of entry daemons that asked lately and forgets the others.
func (a *account) active(now time.Time) int {
	for entry, at := range a.entries {
		if now.Sub(at) > activeTime {
			delete(a.entries, entry)
		}
	}
	return max(1, len(a.entries))
}

// ahead returns the number of entry daemons that were refused before one that now asks. Those that do not ask again leave
// the line.
func (a *account) ahead(now time.Time, entry string) int {
	a.line = slices.DeleteFunc(a.line, func(e string) bool { return now.Sub(a.entries[e]) > activeTime })
	if i := slices.Index(a.line, entry); i >= 0 {
		return i
	}
	return len(a.line)
}

func (a *account) leaveLine(entry string) {
	a.line = slices.DeleteFunc(a.line, func(e string) bool { return e == entry })
}

// retryAfter returns the time until there is a token for an entry daemon, after those that were refused before it.
func (a *account) retryAfter(now time.Time, entry string, q organisation.Quota) time.Duration {
	if q.Rate <= 0 {
		return maximumRetry
	}
	missing := float64(a.ahead(now, entry)+1) - a.level
	return max(minimumRetry, inflowTime(missing, q.Rate, maximumRetry))
}
