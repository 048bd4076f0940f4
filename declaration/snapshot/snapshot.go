package snapshot

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"siskinspar.example/declaration"
)

// Snapshot is the whole immutable configuration of one proxy.
type Snapshot struct {
	version declaration.Version
	digest  declaration.Digest
	routes  map[place][]Route
	carried int
	intents map[string]Route
}

// Route is one intent together with the service that it reaches.
type Route struct {
	intent  *declaration.Intent
	service *declaration.Service
}

type place struct{ host, prefix string }

// Compile builds the snapshot for a proxy with the given labels.
//
// The whole set is checked, so a set with a fault compiles on no proxy.
func Compile(v declaration.Version, s declaration.Set, proxy declaration.Labels) (*Snapshot, error) {
	if err := declaration.CheckSet(s); err != nil {
		return nil, eris.Wrapf(err, "compile version %d", v)
	}
	return build(v, s, proxy)
}

// Advance builds the snapshot that follows n when the set differs from its own by the edits.
//
// The result is that of Compile; routes are kept when no edit concerns them.
func (n *Snapshot) Advance(v declaration.Version, s declaration.Set, edits []declaration.Edit, proxy declaration.Labels) (*Snapshot, error) {
	if err := declaration.CheckChange(s, edits); err != nil {
		return nil, eris.Wrapf(err, "compile version %d", v)
	}
	if n.isConcerned(s, edits, proxy) {
		return build(v, s, proxy)
	}
	next := *n
	next.version = v
	next.digest = s.Digest()
	return &next, nil
}

// isConcerned reports whether an edit changes an intent that the proxy carries, before or after, or a service that it reaches.
func (n *Snapshot) isConcerned(s declaration.Set, edits []declaration.Edit, proxy declaration.Labels) bool {
	services := n.Services()
	for _, edit := range edits {
		if edit.Key.Kind == declaration.KindService {
			if _, ok := slices.BinarySearch(services, edit.Key.Name); ok {
				return true
			}
			continue
		}
		e, ok := s.Find(edit.Key)
		_, isCarried := n.intents[edit.Key.Name]
		if isCarried || ok && e.Intent().Proxies.Matches(proxy) {
			return true
		}
	}
	return false
}

func build(v declaration.Version, s declaration.Set, proxy declaration.Labels) (*Snapshot, error) {
	n := &Snapshot{version: v, digest: s.Digest(), routes: map[place][]Route{}, intents: map[string]Route{}}
	for e := range s.All() {
		if e.Intent() == nil || !e.Intent().Proxies.Matches(proxy) {
			continue
		}
		if err := n.add(s, e.Intent()); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (n *Snapshot) add(s declaration.Set, i *declaration.Intent) error {
	r, ok := NewRoute(s, i)
	if !ok {
		return eris.Errorf("intent/%s: no service %q", i.Name, i.Target)
	}
	at := place{strings.ToLower(i.Match.Host), i.Match.PathPrefix}
	n.routes[at] = append(n.routes[at], r)
	n.intents[i.Name] = r
	n.carried++
	return nil
}

// Version returns the version that the snapshot was compiled from.
func (n *Snapshot) Version() declaration.Version { return n.version }

// Digest returns the digest of the whole set of declarations.
func (n *Snapshot) Digest() declaration.Digest { return n.digest }

// Len returns the number of routes that the proxy carries.
func (n *Snapshot) Len() int { return n.carried }

// Services returns the sorted names of the services that the routes reach.
func (n *Snapshot) Services() []string {
	var names []string
	for _, r := range n.intents {
		names = append(names, r.service.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Find returns the route of an intent by name.
func (n *Snapshot) Find(intent string) (Route, bool) {
	r, ok := n.intents[intent]
	return r, ok
}

// Match returns the route for a request: exact host before any host, then the longest path prefix, then a named method.
func (n *Snapshot) Match(host, method, path string) (Route, bool) {
	for _, h := range []string{strings.ToLower(host), ""} {
		for prefix := path; ; prefix = parent(prefix) {
			if r, ok := pick(n.routes[place{h, prefix}], method); ok {
				return r, true
			}
			if prefix == "/" || prefix == "" {
				break
			}
		}
	}
	return Route{}, false
}

func parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}

func pick(routes []Route, method string) (Route, bool) {
	var general *Route
	for i, r := range routes {
		if slices.Contains(r.intent.Match.Methods, method) {
			return r, true
		}
		if len(r.intent.Match.Methods) == 0 {
			general = &routes[i]
		}
	}
	if general == nil {
		return Route{}, false
	}
	return *general, true
}

// NewRoute returns the route of an intent of a set, whether or not the proxy carries it; false means that its service is missing.
func NewRoute(s declaration.Set, i *declaration.Intent) (Route, bool) {
	e, ok := s.Find(declaration.Key{Kind: declaration.KindService, Name: i.Target})
	if !ok {
		return Route{}, false
	}
	return Route{intent: i, service: e.Service()}, true
}

// Intent returns the intent of the route.
func (r Route) Intent() *declaration.Intent { return r.intent }

// Service returns the service that the route reaches.
func (r Route) Service() *declaration.Service { return r.service }

// Reaches reports whether a backend server with these labels may serve the route.
func (r Route) Reaches(l declaration.Lookup) bool {
	return r.service.BackendServers.MatchesLookup(l) && r.intent.BackendServers.MatchesLookup(l)
}
