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
	// KindService is the kind of a Service.
	KindService Kind = "service"
	// KindIntent is the kind of an Intent.
	KindIntent Kind = "intent"
)

// Key identifies a declaration by kind and name.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// CompareKeys orders keys by kind, then by name, in the manner of cmp.Compare.
func CompareKeys(a, b Key) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Labels are the key and value pairs of a daemon, a backend server or a declaration.
type Labels map[string]string

// Selector matches labels that have all of its pairs; an empty selector matches all labels.
type Selector map[string]string

// Lookup returns the value of the label with a key and whether there is one.
type Lookup func(key string) (string, bool)

// Lookup returns a function that looks up a label of l.
func (l Labels) Lookup() Lookup {
	return func(key string) (string, bool) {
		value, ok := l[key]
		return value, ok
	}
}

// Matches reports whether the labels have every pair of the selector.
func (s Selector) Matches(l Labels) bool { return s.MatchesLookup(l.Lookup()) }

// MatchesLookup is Matches for labels that are stored in another form than Labels.
func (s Selector) MatchesLookup(l Lookup) bool {
	for key, value := range s {
		if found, ok := l(key); !ok || found != value {
			return false
		}
	}
	return true
}

// IsDisjoint reports whether the selectors want different values of one key, so that no labels match both.
func (s Selector) IsDisjoint(o Selector) bool {
	for key, value := range s {
		if other, ok := o[key]; ok && other != value {
			return true
		}
	}
	return false
}

// String returns the selector as key=value pairs, sorted and separated by commas.
func (s Selector) String() string {
	pairs := make([]string, 0, len(s))
	for key, value := range s {
		pairs = append(pairs, key+"="+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ",")
}

// Priority decides which requests are served first, and which refused first, under overload.
type Priority string

// The priorities, highest first; under overload the lowest is refused first.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Priorities returns all priorities, highest first.
func Priorities() []Priority { return []Priority{PriorityHigh, PriorityNormal, PriorityLow} }

// Rank returns the position of the priority in Priorities, 0 being the highest; an unknown one ranks as normal.
func (p Priority) Rank() int {
	if i := slices.Index(Priorities(), p); i >= 0 {
		return i
	}
	return 1
}

// Service declares a pool of backend servers, which BackendServers selects by their labels.
type Service struct {
	Kind           Kind     `json:"kind" yaml:"kind"`
	Name           string   `json:"name" yaml:"name"`
	Labels         Labels   `json:"labels,omitempty" yaml:"labels"`
	BackendServers Selector `json:"backendServers" yaml:"backendServers"`
}

// Intent declares that the daemons which Proxies selects route the requests of Match to the service named Target.
//
// BackendServers narrows the service's selection of backend servers further.
// Timeout bounds each request; 0 becomes DefaultTimeout. An unrepeatable request
// must carry an idempotency key and runs at most once for each key within the
// intent. Once the request may have run, a repetition with its key gets the stored
// answer or an error, until the claim of the key expires after Lifetime of package
// request/claim. The requests of an upload have large bodies, which are passed on
// as they arrive: they need no key, and are not sent again once they may have run.
// ProtectedShare is the share of each backend server's slots, from
// 0 to 1, that only intents with such a share may take.
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
	Upload         bool          `json:"upload,omitempty" yaml:"upload"`
	ProtectedShare float64       `json:"protectedShare,omitempty" yaml:"protectedShare"`
}

// IsRepeatable reports whether the requests of the intent may run again after they may have run.
func (i *Intent) IsRepeatable() bool { return !i.Unrepeatable && !i.Upload }

// Match selects requests by host, path prefix and method; an empty host or an empty list of methods matches all.
type Match struct {
	Host       string   `json:"host,omitempty" yaml:"host"`
	PathPrefix string   `json:"pathPrefix" yaml:"pathPrefix"`
	Methods    []string `json:"methods,omitempty" yaml:"methods"`
}

// Limits bound the requests of an intent over all daemons together; zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond"`
	Concurrency       int     `json:"concurrency,omitempty" yaml:"concurrency"`
}

// DefaultTimeout is the timeout of an intent that declares none.
const DefaultTimeout = 15 * time.Second

// MaximumTimeout is the longest timeout that an intent may declare.
const MaximumTimeout = time.Hour
