package owner

import (
	"net/http"
	"strconv"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/request/forward"
	"siskinspar.example/request/outcome"
	"siskinspar.example/request/quarantine"
)

// The headers that describe a call from an entry daemon to an owner, besides those of package outcome.
const (
	headerPriority     = "Siskinspar-Priority"
	headerProtected    = "Siskinspar-Protected"
	headerUnrepeatable = "Siskinspar-Unrepeatable"
)

// Call describes a request that an entry daemon forwards to an owner. Intent, Priority, IsProtected and IsUnrepeatable
// come from the intent that the request matched, Backend is the name of the chosen backend server, Timeout is the time
// left until the deadline, and Fingerprint identifies the request in the quarantine.
type Call struct {
	Intent         string
	Backend        string
	Priority       declaration.Priority
	IsProtected    bool
	IsUnrepeatable bool
	Timeout        time.Duration
	Fingerprint    quarantine.Fingerprint
}

// Write sets the headers that carry the description from the entry daemon to the owner.
func (c Call) Write(h http.Header) {
	h.Set(outcome.HeaderIntent, c.Intent)
	h.Set(outcome.HeaderBackend, c.Backend)
	h.Set(headerPriority, string(c.Priority))
	h.Set(headerProtected, strconv.FormatBool(c.IsProtected))
	h.Set(headerUnrepeatable, strconv.FormatBool(c.IsUnrepeatable))
	h.Set(outcome.HeaderFingerprint, string(c.Fingerprint))
	forward.SetTimeout(h, c.Timeout)
}

// readCall parses the description of a call. A missing or malformed unrepeatable flag counts as true, so that such
// a call does not run twice.
func readCall(h http.Header) Call {
	isProtected, _ := strconv.ParseBool(h.Get(headerProtected))
	isUnrepeatable, err := strconv.ParseBool(h.Get(headerUnrepeatable))
	return Call{
		Intent:         h.Get(outcome.HeaderIntent),
		Backend:        h.Get(outcome.HeaderBackend),
		Priority:       declaration.Priority(h.Get(headerPriority)),
		IsProtected:    isProtected,
		IsUnrepeatable: isUnrepeatable || err != nil,
		Timeout:        forward.Timeout(h, declaration.MaximumTimeout),
		Fingerprint:    quarantine.Fingerprint(h.Get(outcome.HeaderFingerprint)),
	}
}
