package organisation

import "math"

// Quota bounds the requests of an organisation over all daemons together.
type Quota struct {
	// Rate is the number of requests a second, or 0 for no limit.
	Rate float64
	// Burst is the number of requests that may run at once after a time of little use.
	Burst float64
}

// IsLimited reports whether there is a limit.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// isValid reports whether both numbers are finite and not below 0.
func (q Quota) isValid() bool { return isCount(q.Rate) && isCount(q.Burst) }

func isCount(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

// Declared is an organisation as the operator declared it.
type Declared struct {
	Name string
	// Keys are the API keys of the organisation. Without any, it can't send requests.
	Keys []string
	// Priority is the rank of the organisation; 0 is the highest. It goes before the priority of the route.
	Priority int
	Quota    Quota
}

// Organisation is one organisation of the configuration in force; it is immutable.
type Organisation struct {
	name     string
	priority int
	quota    Quota
}

// Name returns the operator's name of the organisation.
func (o *Organisation) Name() string { return o.name }

// Priority returns the rank of the organisation; 0 is the highest.
func (o *Organisation) Priority() int { return o.priority }

// Quota returns the bound on the requests of the organisation.
func (o *Organisation) Quota() Quota { return o.quota }
