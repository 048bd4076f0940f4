package snapshot

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"siskinspar.example/declaration"
)

// Snapshot is the immutable route table of one daemon, compiled from one version of the declarations.
//
// It is not the stored snapshot of package versionlog/record, which holds the declarations themselves.
type Snapshot struct {
	version declaration.Version
	digest  declaration.Digest
	// routes holds the routes by host and path prefix.
	routes     map[hostPrefix][]Route
	routeCount int
	// routesByIntent holds the same routes by the name of their intent.
	routesByIntent map[string]Route
}

// Route is one intent together with the service that is its target.
type Route struct {
	intent  *declaration.Intent
	service *declaration.Service
}

// hostPrefix is the host, in lower case, and the path prefix of the requests that a route matches.
type hostPrefix struct{ host, prefix string }

// Compile builds the snapshot of version v and set s for a daemon with the given labels.
//
// It checks the whole set, not only the intents of the daemon, so that an invalid
// set is refused by all daemons alike. The error wraps a *declaration.InvalidError.
func Compile(v declaration.Version, s declaration.Set, labels declaration.Labels) (*Snapshot, error) {
	if err := declaration.CheckSet(s); err != nil {
		return nil, eris.Wrapf(err, "compile version %d", v)
	}
	return build(v, s, labels)
}

// Advance builds the snapshot of version v and set s, which is the set of n with the edits applied.
//
// The result equals that of Compile. The routes of n are reused when no edit
// affects them, and only what the edits can have made invalid is checked.
func (n *Snapshot) Advance(v declaration.Version, s declaration.Set, edits []declaration.Edit, labels declaration.Labels) (*Snapshot, error) {
	if err := declaration.CheckChange(s, edits); err != nil {
		return nil, eris.Wrapf(err, "compile version %d", v)
	}
	if n.needsRebuild(s, edits, labels) {
		return build(v, s, labels)
	}
	next := *n
	next.version = v
	next.digest = s.Digest()
	return &next, nil
}

// needsRebuild reports whether an edit changes a service of the snapshot, or an intent that selects the daemon
// before or after the edit.
func (n *Snapshot) needsRebuild(s declaration.Set, edits []declaration.Edit, labels declaration.Labels) bool {
	services := n.Services()
	for _, edit := range edits {
		if edit.Key.Kind == declaration.KindService {
			if _, ok := slices.BinarySearch(services, edit.Key.Name); ok {
				return true
			}
			continue
		}
		e, ok := s.Find(edit.Key)
		_, hasRoute := n.routesByIntent[edit.Key.Name]
		if hasRoute || ok && e.Intent().Proxies.Matches(labels) {
			return true
		}
	}
	return false
}

// build compiles a set that has been checked.
func build(v declaration.Version, s declaration.Set, labels declaration.Labels) (*Snapshot, error) {
	n := &Snapshot{version: v, digest: s.Digest(), routes: map[hostPrefix][]Route{}, routesByIntent: map[string]Route{}}
	for e := range s.All() {
		if e.Intent() == nil || !e.Intent().Proxies.Matches(labels) {
			continue
		}
		if err := n.addRoute(s, e.Intent()); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (n *Snapshot) addRoute(s declaration.Set, i *declaration.Intent) error {
	r, ok := NewRoute(s, i)
	if !ok {
		return eris.Errorf("intent/%s: no service %q", i.Name, i.Target)
	}
	key := hostPrefix{strings.ToLower(i.Match.Host), i.Match.PathPrefix}
	n.routes[key] = append(n.routes[key], r)
	n.routesByIntent[i.Name] = r
	n.routeCount++
	return nil
}

// Version returns the version that the snapshot was compiled from.
func (n *Snapshot) Version() declaration.Version { return n.version }

// Digest returns the digest of the whole set that the snapshot was compiled from.
func (n *Snapshot) Digest() declaration.Digest { return n.digest }

// Len returns the number of routes.
func (n *Snapshot) Len() int { return n.routeCount }

// Services returns the sorted names of the services of the routes, without duplicates.
func (n *Snapshot) Services() []string {
	var names []string
	for _, r := range n.routesByIntent {
		names = append(names, r.service.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Find returns the route of the intent with a name and whether the snapshot has one.
func (n *Snapshot) Find(intent string) (Route, bool) {
	r, ok := n.routesByIntent[intent]
	return r, ok
}

// Match returns the route of a request and whether there is one.
//
// A route with the host of the request is preferred to one without host, then
// the one with the longest path prefix, then one that names the method. A path
// prefix matches whole segments of the path.
func (n *Snapshot) Match(host, method, path string) (Route, bool) {
	for _, h := range []string{strings.ToLower(host), ""} {
		for prefix := path; ; prefix = parentPath(prefix) {
			if r, ok := selectByMethod(n.routes[hostPrefix{h, prefix}], method); ok {
				return r, true
			}
			if prefix == "/" || prefix == "" {
				break
			}
		}
	}
	return Route{}, false
}

// parentPath returns a path without its last segment, or "/" when no segment is left.
func parentPath(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}

// selectByMethod returns the route that names a method, or else the route without methods.
func selectByMethod(routes []Route, method string) (Route, bool) {
	var anyMethod *Route
	for i, r := range routes {
		if slices.Contains(r.intent.Match.Methods, method) {
			return r, true
		}
		if len(r.intent.Match.Methods) == 0 {
			anyMethod = &routes[i]
		}
	}
	if anyMethod == nil {
		return Route{}, false
	}
	return *anyMethod, true
}

// NewRoute returns the route of an intent to its service in a set, and false when the set lacks that service.
func NewRoute(s declaration.Set, i *declaration.Intent) (Route, bool) {
	e, ok := s.Find(declaration.Key{Kind: declaration.KindService, Name: i.Target})
	if !ok {
		return Route{}, false
	}
	return Route{intent: i, service: e.Service()}, true
}

// Intent returns the intent of the route.
func (r Route) Intent() *declaration.Intent { return r.intent }

// Service returns the service that is the target of the route.
func (r Route) Service() *declaration.Service { return r.service }

// Selects reports whether a backend server with these labels may serve the route.
//
// Both the selector of the service and that of the intent must match.
func (r Route) Selects(l declaration.Lookup) bool {
	return r.service.BackendServers.MatchesLookup(l) && r.intent.BackendServers.MatchesLookup(l)
}
