package route

import "time"

// Kind says whether a request may run more than once and whether its answer is large.
type Kind int

// The kinds of request.
const (
	// Unrepeatable requests run at most once for each attempt of the client.
	Unrepeatable Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have large answers; see slot.Job.IsBulk.
	Download
	// Upload requests have large bodies and run at most once, like Unrepeatable ones.
	Upload
)

// String returns the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	case Upload:
		return "upload"
	}
	return "unrepeatable"
}

// IsRepeatable reports whether a request of the kind may run again.
func (k Kind) IsRepeatable() bool { return k == Idempotent || k == Download }

// IsLarge reports whether the body of a request of the kind, or its answer, is usually large.
func (k Kind) IsLarge() bool { return k == Download || k == Upload }

// Cluster is a service that gets a part of the requests of a route, by its weight.
type Cluster struct {
	Service string
	// Weight is relative to the weights of the other clusters of the route.
	Weight int
}

// Declared is a route as the operator declared it.
type Declared struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the latency up to which an answer has its full value.
	Target time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the largest number of backend servers that one request may reach.
	Attempts int
	Clusters []Cluster
	// IsPublic is true for a route whose requests need no key of an organisation.
	IsPublic bool
}

// Route is one route in force; it is immutable.
type Route struct {
	declared    Declared
	totalWeight int
}

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.declared.Name }

// Kind returns the kind of the requests of the route.
func (r *Route) Kind() Kind { return r.declared.Kind }

// Timeout returns the longest time that a request is kept waiting.
func (r *Route) Timeout() time.Duration { return r.declared.Timeout }

// Target returns the latency up to which an answer has its full value.
func (r *Route) Target() time.Duration { return r.declared.Target }

// Priority returns the rank of the route; 0 is the highest.
func (r *Route) Priority() int { return r.declared.Priority }

// Attempts returns the largest number of backend servers that one request may reach.
func (r *Route) Attempts() int { return r.declared.Attempts }

// IsPublic reports whether the requests of the route need no key of an organisation.
func (r *Route) IsPublic() bool { return r.declared.IsPublic }

// Service picks a service by weight, for a random draw from 0 up to but not including 1.
func (r *Route) Service(draw float64) string {
	left := draw * float64(r.totalWeight)
	for _, c := range r.declared.Clusters {
		left -= float64(c.Weight)
		if left < 0 {
			return c.Service
		}
	}
	return r.declared.Clusters[len(r.declared.Clusters)-1].Service
}
