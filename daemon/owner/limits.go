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

// State gives the version in force.
type State interface {
	// State returns the declarations in force.
	State() versionlog.State
	// Snapshot returns the compiled configuration, or nil before the first one.
	Snapshot() *snapshot.Snapshot
}

// Directory gives the backend servers of a route.
type Directory interface {
	// Candidates returns the backend servers that are not draining, in an order that all daemons see alike.
	Candidates(n *snapshot.Snapshot, r snapshot.Route) []routing.Candidate
}

// Limits keeps this daemon's shares of the limits of intents; its exported fields are set before use.
//
// A limit is divided over the daemons beside the backend servers of the intent's service: there are few of them,
// they see each request, and an entry daemon that is refused by one tries another.
type Limits struct {
	Self      membership.ID
	State     State
	Directory Directory

	mu     sync.Mutex
	shares map[string]*limit.Share
}

// Enter takes a place under the limit of the call's intent and returns the function that gives it back.
func (l *Limits) Enter(c Call) (func(), *outcome.Failure) {
	e, ok := l.State.State().Set().Find(declaration.Key{Kind: declaration.KindIntent, Name: c.Intent})
	if !ok || e.Intent().Limits == (declaration.Limits{}) {
		return func() {}, nil
	}
	place := l.place(e.Intent(), c)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.share(e.Intent(), c.Backend, place)
	if !s.Enter(time.Now()) {
		return nil, outcome.NewRefusal(outcome.ReasonLimit)
	}
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.Leave()
	}), nil
}

func (l *Limits) share(i *declaration.Intent, backend string, p limit.Place) *limit.Share {
	if l.shares == nil {
		l.shares = map[string]*limit.Share{}
	}
	key := i.Name + "\n" + backend
	s, ok := l.shares[key]
	if !ok {
		s = limit.NewShare(p, i.Limits.RequestsPerSecond, i.Limits.Concurrency)
		l.shares[key] = s
	}
	s.Set(time.Now(), p, i.Limits.RequestsPerSecond, i.Limits.Concurrency)
	return s
}

// place finds the called backend server among those of the intent; one that the directory lacks counts itself in.
func (l *Limits) place(i *declaration.Intent, c Call) limit.Place {
	route, ok := snapshot.NewRoute(l.State.State().Set(), i)
	if !ok {
		return limit.Place{Count: 1}
	}
	candidates := l.Directory.Candidates(l.State.Snapshot(), route)
	at := slices.IndexFunc(candidates, func(one routing.Candidate) bool {
		return one.Endpoint() == routing.Endpoint{Instance: l.Self, Backend: c.Backend}
	})
	if at < 0 {
		return limit.Place{Index: len(candidates), Count: len(candidates) + 1}
	}
	return limit.Place{Index: at, Count: len(candidates)}
}
