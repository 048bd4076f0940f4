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
	// repeatableCrashes and unrepeatableCrashes are the numbers of crashes at which a request is quarantined.
	repeatableCrashes   = 2
	unrepeatableCrashes = 1
	// maximumRecords is the largest number of requests with a record; notices for further requests are ignored.
	maximumRecords = 10000
)

// Fingerprint identifies a request by a hash of its content.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request. The body is empty if the request is streamed, so that streamed
// requests with the same method and target share a fingerprint.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\n" + target + "\n")
	_, _ = d.Write(body)
	return Fingerprint(fmt.Sprintf("%016x", d.Sum64()))
}

// Notice reports that a request was in flight at a backend server that crashed, or that the request is cleared.
type Notice struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Crash identifies the crash, so that each one counts once; it is empty in a clearance.
	Crash string
	// At is the time of the crash or clearance in milliseconds since 1970; a clearance covers all crashes up to it.
	At int64
	// IsUnrepeatable tells that the request must run at most once.
	IsUnrepeatable bool
	// Target is the name of the request's intent, for display to operators; the field goes out on the wire under this
	// name. It is empty in a clearance.
	Target string
}

// IsClearance reports whether the notice is a clearance.
func (n Notice) IsClearance() bool { return n.Crash == "" }

// Entry describes a request that was in flight during crashes, for operators.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Target is the name of the request's intent.
	Target string `json:"target"`
	// Crashes is the number of crashes that count.
	Crashes        int  `json:"crashes"`
	IsUnrepeatable bool `json:"isUnrepeatable"`
	IsQuarantined  bool `json:"isQuarantined"`
	// Since is the time of the latest crash.
	Since time.Time `json:"since"`
}

// record holds the crashes of one request.
type record struct {
	// crashes holds the time of each crash in milliseconds since 1970.
	crashes map[string]int64
	// cleared is the time of the latest clearance in milliseconds since 1970.
	cleared        int64
	isUnrepeatable bool
	target         string
}

// Registry holds the crashes that one daemon knows of. It is not safe for concurrent use.
type Registry struct {
	// CrashLimit is the number of crashes at which any request is quarantined.
	//
	// At 0, unrepeatableCrashes applies to unrepeatable requests and repeatableCrashes to others.
	CrashLimit int

	records map[Fingerprint]*record
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{records: map[Fingerprint]*record{}} }

// Merge adds a notice and reports whether it changed the registry.
//
// It does not if the crash is known or covered by a clearance, if a clearance is not later than the last one, or
// if the request is new and maximumRecords are held.
func (r *Registry) Merge(now time.Time, n Notice) bool {
	r.expire(now)
	e, ok := r.records[n.Fingerprint]
	if !ok {
		if len(r.records) >= maximumRecords {
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

// clear removes the crashes up to the given time and reports whether the clearance was new.
func (e *record) clear(at int64) bool {
	if at <= e.cleared {
		return false
	}
	e.cleared = at
	for crash, crashTime := range e.crashes {
		if crashTime <= at {
			delete(e.crashes, crash)
		}
	}
	return true
}

// expire removes crashes older than Lifetime, and records without crashes whose clearance is older.
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

// IsSuspected reports whether the request was in flight during a crash and has not been cleared since.
func (r *Registry) IsSuspected(f Fingerprint) bool {
	e, ok := r.records[f]
	return ok && len(e.crashes) > 0
}

// IsQuarantined reports whether the request has reached its number of crashes and must not run.
func (r *Registry) IsQuarantined(f Fingerprint) bool {
	e, ok := r.records[f]
	return ok && r.hasReachedLimit(e)
}

func (r *Registry) hasReachedLimit(e *record) bool {
	if r.CrashLimit > 0 {
		return len(e.crashes) >= r.CrashLimit
	}
	if e.isUnrepeatable {
		return len(e.crashes) >= unrepeatableCrashes
	}
	return len(e.crashes) >= repeatableCrashes
}

// Entries returns the requests that were in flight during crashes, sorted by fingerprint.
func (r *Registry) Entries() []Entry {
	var entries []Entry
	for f, e := range r.records {
		if len(e.crashes) == 0 {
			continue
		}
		latest := int64(0)
		for _, at := range e.crashes {
			latest = max(latest, at)
		}
		entries = append(entries, Entry{
			Fingerprint: f, Target: e.target, Crashes: len(e.crashes), IsUnrepeatable: e.isUnrepeatable,
			IsQuarantined: r.hasReachedLimit(e), Since: time.UnixMilli(latest),
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}
