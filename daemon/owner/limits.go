package owner

import (
	"slices"
	"sync"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/membership"
	"siskinspar.example/request/limit"
	"siskinspar.example/request/outcome"
	"siskinspar.example/request/routing"
	"siskinspar.example/versionlog"
)

// Configuration provides the version of the configuration that is in force.
type Configuration interface {
	// State returns the declarations of that version.
	State() versionlog.State
	// Snapshot returns the compiled configuration, or nil before the first version is in force.
	Snapshot() *snapshot.Snapshot
}

// CandidateSource lists the backend servers that may serve a route; it is the roster.
type CandidateSource interface {
	// Candidates returns the backend servers of the route that are not draining, in the same order at all daemons.
	Candidates(n *snapshot.Snapshot, r snapshot.Route) []routing.Candidate
}

// Limits enforces this daemon's shares of the rate and concurrency limits of intents; its exported fields are set
// before use.
//
// A limit is divided over the owners of the intent's backend servers, not over the entry daemons: the owners are few,
// each request passes one of them, and an entry daemon that one owner refuses tries another.
type Limits struct {
	Self            membership.ID
	Configuration   Configuration
	CandidateSource CandidateSource

	mu sync.Mutex
	// shares holds the shares by the name of the intent and that of the backend server, with a line break between them.
	shares map[string]*limit.Share
}

// Acquire counts the call against this daemon's share of the limits of its intent and returns the function that ends
// the call. If the share is used up, it returns a refusal with the reason limit reached.
func (l *Limits) Acquire(c Call) (func(), *outcome.Failure) {
	entry, ok := l.Configuration.State().Set().Find(declaration.Key{Kind: declaration.KindIntent, Name: c.Intent})
	if !ok || entry.Intent().Limits == (declaration.Limits{}) {
		return func() {}, nil
	}
	position := l.findPosition(entry.Intent(), c)
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.updateShare(entry.Intent(), c.Backend, position)
	if !share.Acquire(time.Now()) {
		return nil, outcome.NewRefusal(outcome.ReasonLimit)
	}
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		share.Release()
	}), nil
}

// updateShare returns the share of an intent at a backend server, with the given position and the limits of the intent.
// It creates the share at the first call; the caller holds the lock.
func (l *Limits) updateShare(intent *declaration.Intent, backend string, p limit.Position) *limit.Share {
	if l.shares == nil {
		l.shares = map[string]*limit.Share{}
	}
	key := intent.Name + "\n" + backend
	share, ok := l.shares[key]
	if !ok {
		share = limit.NewShare(p, intent.Limits.RequestsPerSecond, intent.Limits.Concurrency)
		l.shares[key] = share
	}
	share.Set(time.Now(), p, intent.Limits.RequestsPerSecond, intent.Limits.Concurrency)
	return share
}

// findPosition returns the position of the called backend server among the servers of the intent. A server that the
// candidate source does not list yet is counted after those that it lists.
func (l *Limits) findPosition(intent *declaration.Intent, c Call) limit.Position {
	route, ok := snapshot.NewRoute(l.Configuration.State().Set(), intent)
	if !ok {
		return limit.Position{Count: 1}
	}
	candidates := l.CandidateSource.Candidates(l.Configuration.Snapshot(), route)
	index := slices.IndexFunc(candidates, func(candidate routing.Candidate) bool {
		return candidate.Endpoint() == routing.Endpoint{Instance: l.Self, Backend: c.Backend}
	})
	if index < 0 {
		return limit.Position{Index: len(candidates), Count: len(candidates) + 1}
	}
	return limit.Position{Index: index, Count: len(candidates)}
}
