package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a crash counts and a quarantine lasts.
	Lifetime = 10 * time.Minute
	// repeatableCrashes and unrepeatableCrashes are the crashes after which a request is stopped.
	repeatableCrashes   = 2
	unrepeatableCrashes = 1
	// maximumEntries bounds the requests that are remembered.
	maximumEntries = 10000
)

// Fingerprint identifies a request by its content.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request; a body that is not held whole doesn't count.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\n" + target + "\n")
	_, _ = d.Write(body)
	return Fingerprint(fmt.Sprintf("%016x", d.Sum64()))
}

// Notice tells that a request ran at a backend server when it crashed, or that it is cleared.
type Notice struct {
	Fingerprint Fingerprint
	// Crash identifies the crash; it is empty in a notice that clears the request.
	Crash string
	// At is in milliseconds since 1970; a clearance covers the crashes up to its time.
	At             int64
	IsUnrepeatable bool
	Target         string
}

// IsClearance reports whether the notice clears the request.
func (n Notice) IsClearance() bool { return n.Crash == "" }

// Entry is a request that ran during crashes.
type Entry struct {
	Fingerprint    Fingerprint `json:"fingerprint"`
	Target         string      `json:"target"`
	Crashes        int         `json:"crashes"`
	IsUnrepeatable bool        `json:"isUnrepeatable"`
	IsQuarantined  bool        `json:"isQuarantined"`
	Since          time.Time   `json:"since"`
}

type record struct {
	crashes        map[string]int64
	cleared        int64
	isUnrepeatable bool
	target         string
}

// Registry is the view that one daemon has of crashes; the shell serialises its calls.
type Registry struct {
	// Crashes is the number of crashes after which any request is stopped; 0 tells repeatable requests from others.
	Crashes int

	records map[Fingerprint]*record
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[Fingerprint]*record{}} }

// Merge takes in a notice and reports whether it was new.
func (r *Registry) Merge(now time.Time, n Notice) bool {
	r.expire(now)
	e, ok := r.records[n.Fingerprint]
	if !ok {
		if len(r.records) >= maximumEntries {
			return false
		}
		e = &record{crashes: map[string]int64{}}
		r.records[n.Fingerprint] = e
	}
	if n.IsClearance() {
		return e.clear(n.At)
	}
	if _, known := e.crashes[n.Crash]; known || n.At <= e.cleared {
		return false
	}
	e.crashes[n.Crash] = n.At
	e.isUnrepeatable = e.isUnrepeatable || n.IsUnrepeatable
	e.target = n.Target
	return true
}

func (e *record) clear(at int64) bool {
	if at <= e.cleared {
		return false
	}
	e.cleared = at
	for crash, crashed := range e.crashes {
		if crashed <= at {
			delete(e.crashes, crash)
		}
	}
	return true
}

func (r *Registry) expire(now time.Time) {
	oldest := now.Add(-Lifetime).UnixMilli()
	for f, e := range r.records {
		for crash, at := range e.crashes {
			if at < oldest {
				delete(e.crashes, crash)
			}
		}
		if len(e.crashes) == 0 && e.cleared < oldest {
			delete(r.records, f)
		}
	}
}

// IsSuspected reports whether the request ran during a crash and has not been cleared since.
func (r *Registry) IsSuspected(f Fingerprint) bool {
	e, ok := r.records[f]
	return ok && len(e.crashes) > 0
}

// IsQuarantined reports whether the request must not run.
func (r *Registry) IsQuarantined(f Fingerprint) bool {
	e, ok := r.records[f]
	return ok && r.isStopped(e)
}

func (r *Registry) isStopped(e *record) bool {
	if r.Crashes > 0 {
		return len(e.crashes) >= r.Crashes
	}
	if e.isUnrepeatable {
		return len(e.crashes) >= unrepeatableCrashes
	}
	return len(e.crashes) >= repeatableCrashes
}

// Entries returns the requests that ran during crashes, in order of fingerprint.
func (r *Registry) Entries() []Entry {
	var entries []Entry
	for f, e := range r.records {
		if len(e.crashes) == 0 {
			continue
		}
		since := int64(0)
		for _, at := range e.crashes {
			since = max(since, at)
		}
		entries = append(entries, Entry{
			Fingerprint: f, Target: e.target, Crashes: len(e.crashes), IsUnrepeatable: e.isUnrepeatable,
			IsQuarantined: r.isStopped(e), Since: time.UnixMilli(since),
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}
