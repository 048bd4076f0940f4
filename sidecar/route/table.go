package route

import (
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/organisation"
)

// Version is the number of a configuration; a later configuration has a greater number.
type Version uint64

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the first byte of a request on an open connection, and then the time from the end
	// of the headers to the end of the body.
	IdleTimeout time.Duration
}

// Service holds what the operator declared of one service.
type Service struct {
	Name string
	// MaximumConnections is the number of connections that a backend server of the service accepts.
	MaximumConnections int
}

// Table is one whole configuration; it is immutable.
type Table struct {
	version  Version
	limits   Limits
	services map[string]Service
	// organisations is nil if the configuration holds none.
	organisations *organisation.Directory
	hosts         map[string][]*prefixRoute
}

type prefixRoute struct {
	prefix string
	route  Route
}

// NewTable checks and compiles a configuration. It returns an error for the first fault and then no table, so that a
// configuration is never in force in part.
func NewTable(v Version, l Limits, services []Service, routes []Declared, organisations ...organisation.Declared) (*Table, error) {
	t := &Table{version: v, limits: l, services: map[string]Service{}, hosts: map[string][]*prefixRoute{}}
	if l.HeaderBytes <= 0 || l.BodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return nil, eris.Errorf("version %d: limits out of range: %+v", v, l)
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, d := range routes {
		if err := t.add(d); err != nil {
			return nil, eris.Wrapf(err, "version %d: route %q", v, d.Name)
		}
	}
	if len(organisations) == 0 {
		return t, nil
	}
	directory, err := organisation.NewDirectory(organisations)
	if err != nil {
		return nil, eris.Wrapf(err, "version %d", v)
	}
	t.organisations = directory
	return t, nil
}

func (t *Table) add(d Declared) error {
	if err := t.check(d); err != nil {
		return err
	}
	r := Route{declared: d}
	for _, c := range d.Clusters {
		r.totalWeight += c.Weight
	}
	if r.totalWeight <= 0 {
		return eris.Errorf("none of %d clusters has a weight above 0", len(d.Clusters))
	}
	host := strings.ToLower(d.Host)
	t.hosts[host] = append(t.hosts[host], &prefixRoute{prefix: d.Prefix, route: r})
	return nil
}

func (t *Table) check(d Declared) error {
	switch {
	case d.Host == "":
		return eris.New("no host")
	case !strings.HasPrefix(d.Prefix, "/") || !strings.HasSuffix(d.Prefix, "/"):
		return eris.Errorf("prefix %q does not begin and end with a slash", d.Prefix)
	case d.Timeout < 0 || d.Target < 0:
		return eris.Errorf("timeout %v or target latency %v below 0", d.Timeout, d.Target)
	case len(d.Clusters) == 0:
		return eris.New("no service")
	case d.Attempts < 1:
		return eris.Errorf("%d attempts, want at least 1", d.Attempts)
	}
	for _, c := range d.Clusters {
		if _, ok := t.services[c.Service]; !ok {
			return eris.Errorf("unknown service %q", c.Service)
		}
		if c.Weight < 0 {
			return eris.Errorf("service %q has the weight %d", c.Service, c.Weight)
		}
	}
	return nil
}

// Version returns the number of the configuration.
func (t *Table) Version() Version { return t.version }

// Limits returns the limits for requests and connections of clients.
func (t *Table) Limits() Limits { return t.limits }

// MaximumConnections returns how many connections a backend server of the service accepts, or 0 for an unknown service.
func (t *Table) MaximumConnections(service string) int { return t.services[service].MaximumConnections }

// Organisations returns the organisations of the configuration, or nil if it holds none. Requests then need no key.
func (t *Table) Organisations() *organisation.Directory { return t.organisations }

// Match returns the route of the host whose prefix is the longest that the path begins with, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	var best *prefixRoute
	for _, e := range t.hosts[normalise(host)] {
		if strings.HasPrefix(path, e.prefix) && (best == nil || len(e.prefix) > len(best.prefix)) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return &best.route
}

// normalise returns the host in lower case and without a port.
func normalise(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
