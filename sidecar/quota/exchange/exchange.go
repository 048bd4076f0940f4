package exchange

import (
	"context"
	"time"

	"siskinspar.example/sidecar/message"
)

const (
	// callTimeout limits the wait of a coordinator for another one.
	callTimeout = 150 * time.Millisecond
	// leaseTimeout limits the wait for a coordinator, which may have to wait for another one before it replies.
	leaseTimeout = 250 * time.Millisecond
	// suspicionLifetime is how long a daemon that did not reply is not asked again.
	suspicionLifetime = time.Second
)

// Peers calls other daemons.
type Peers interface {
	// LeaseQuota asks a coordinator for tokens.
	LeaseQuota(ctx context.Context, address string, r message.QuotaRequest) (message.QuotaLease, error)
	// TakeOverQuota asks a daemon for the tokens that it had as a coordinator.
	TakeOverQuota(ctx context.Context, address string, t message.QuotaTakeover) (message.QuotaLevel, error)
}

// Mesh knows the other daemons.
type Mesh interface {
	// Living returns the addresses of the other daemons that answer and do not stop, and the number of known ones.
	Living(now time.Time) (addresses []string, known int)
	// IsStopping reports whether this daemon has announced its end, after which the others no longer count it as living.
	IsStopping() bool
}

// Meter counts events.
type Meter interface {
	// Add adds one to the counter of a name.
	Add(counter string)
}

// The names of the counters.
const (
	// CounterRefused counts requests over the quota of their organisation.
	CounterRefused = "quota.refused"
	// CounterLeases counts the requests for tokens that this daemon sent.
	CounterLeases = "quota.leases"
	// CounterUnreachable counts those to which no coordinator replied.
	CounterUnreachable = "quota.unreachable"
	// CounterTakeovers counts the organisations that this daemon began to coordinate.
	CounterTakeovers = "quota.takeovers"
)
