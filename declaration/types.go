package declaration

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind names the type of a declaration.
type Kind string

// The kinds of declaration.
const (
	KindService Kind = "service"
	KindIntent  Kind = "intent"
)

// Key identifies a declaration by kind and name.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// CompareKeys orders keys by kind, then by name.
func CompareKeys(a, b Key) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Labels are the key and value pairs that a proxy or backend server carries.
type Labels map[string]string

// Selector matches labels; every pair has to be present, and an empty selector matches everything.
type Selector map[string]string

// Lookup returns the value of a label and whether it is present.
type Lookup func(key string) (string, bool)

// Lookup returns the labels as a Lookup.
func (l Labels) Lookup() Lookup {
	return func(key string) (string, bool) {
		value, ok := l[key]
		return value, ok
	}
}

// Matches reports whether the labels carry every pair of the selector.
func (s Selector) Matches(l Labels) bool { return s.MatchesLookup(l.Lookup()) }

// MatchesLookup is Matches for labels that are not held in a map.
func (s Selector) MatchesLookup(l Lookup) bool {
	for key, value := range s {
		if found, ok := l(key); !ok || found != value {
			return false
		}
	}
	return true
}

// IsDisjoint reports whether no labels can match both selectors.
func (s Selector) IsDisjoint(o Selector) bool {
	for key, value := range s {
		if other, ok := o[key]; ok && other != value {
			return true
		}
	}
	return false
}

// String returns the selector as sorted key=value pairs.
func (s Selector) String() string {
	pairs := make([]string, 0, len(s))
	for key, value := range s {
		pairs = append(pairs, key+"="+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ",")
}

// Priority orders requests when capacity is short.
type Priority string

// The priorities, from the first to be served to the first to be refused.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Priorities lists all priorities, highest first.
func Priorities() []Priority { return []Priority{PriorityHigh, PriorityNormal, PriorityLow} }

// Rank returns the position of the priority, 0 being the highest.
func (p Priority) Rank() int {
	if i := slices.Index(Priorities(), p); i >= 0 {
		return i
	}
	return 1
}

// Service declares a pool of backend servers chosen by their labels.
type Service struct {
	Kind           Kind     `json:"kind" yaml:"kind"`
	Name           string   `json:"name" yaml:"name"`
	Labels         Labels   `json:"labels,omitempty" yaml:"labels"`
	BackendServers Selector `json:"backendServers" yaml:"backendServers"`
}

// Intent declares which proxies route which requests to which service, and how.
//
// ProtectedShare is the share of each backend server's slots, from 0 to 1, that only intents with such a share may take.
type Intent struct {
	Kind           Kind          `json:"kind" yaml:"kind"`
	Name           string        `json:"name" yaml:"name"`
	Labels         Labels        `json:"labels,omitempty" yaml:"labels"`
	Proxies        Selector      `json:"proxies,omitempty" yaml:"proxies"`
	Target         string        `json:"target" yaml:"target"`
	BackendServers Selector      `json:"backendServers,omitempty" yaml:"backendServers"`
	Match          Match         `json:"match" yaml:"match"`
	Limits         Limits        `json:"limits,omitzero" yaml:"limits"`
	Priority       Priority      `json:"priority,omitempty" yaml:"priority"`
	Timeout        time.Duration `json:"timeout,omitempty" yaml:"timeout"`
	Unrepeatable   bool          `json:"unrepeatable,omitempty" yaml:"unrepeatable"`
	ProtectedShare float64       `json:"protectedShare,omitempty" yaml:"protectedShare"`
}

// Match selects requests by host, path prefix and method; an empty host or method list matches all.
type Match struct {
	Host       string   `json:"host,omitempty" yaml:"host"`
	PathPrefix string   `json:"pathPrefix" yaml:"pathPrefix"`
	Methods    []string `json:"methods,omitempty" yaml:"methods"`
}

// Limits bound the requests of an intent over all proxies; zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond"`
	Concurrency       int     `json:"concurrency,omitempty" yaml:"concurrency"`
}

// DefaultTimeout bounds a request whose intent names no timeout.
const DefaultTimeout = 15 * time.Second

// MaximumTimeout is the longest timeout that an intent may declare.
const MaximumTimeout = time.Hour
