package outcome

import "net/http"

// Outcome is whether a request ran at a backend server; its text is sent in HeaderOutcome.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that the backend server answered and the answer is whole; an answer that breaks off ends with an aborted
	// connection.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request was sent to a backend server.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run: it was or may have been sent and no whole answer arrived.
	Unknown Outcome = "unknown"
)

// Reason is why a request was refused or failed; its text is sent in HeaderReason to callers and other daemons.
type Reason string

// The reasons for a refusal or failure.
const (
	// ReasonNoRoute means that no intent matches the request.
	ReasonNoRoute Reason = "no route"
	// ReasonNotReady means that the daemon has no configuration yet or is not serving.
	ReasonNotReady Reason = "no configuration in force"
	// ReasonNoBackend means that no backend server is left to try, or that the daemon lacks the chosen one.
	ReasonNoBackend Reason = "no backend server"
	// ReasonDraining means that the backend server is draining.
	ReasonDraining Reason = "draining"
	// ReasonQueueFull means that the queue of the backend server is full.
	ReasonQueueFull Reason = "queue full"
	// ReasonDeadline means that the deadline passed, or would pass before an answer.
	ReasonDeadline Reason = "deadline passed"
	// ReasonDisplaced means that a request of higher priority took the place in a full queue.
	ReasonDisplaced Reason = "displaced by a higher priority"
	// ReasonLimit means that the daemon's share of the limit of the intent is used up.
	ReasonLimit Reason = "limit reached"
	// ReasonMissingKey means that an unrepeatable request has no idempotency key, or one that is too long.
	ReasonMissingKey Reason = "idempotency key missing"
	// ReasonKeyReused means that the idempotency key was used for a request with other content.
	ReasonKeyReused Reason = "idempotency key reused with another request"
	// ReasonClaimed means that another attempt may have run the request and its answer is not available.
	ReasonClaimed Reason = "claimed by another attempt"
	// ReasonStore means that a claim or an answer could not be read from or written to the store.
	ReasonStore Reason = "store unavailable"
	// ReasonQuarantined means that the request is quarantined since it was in flight during crashes.
	ReasonQuarantined Reason = "quarantined after crashes"
	// ReasonTooLarge means that the body of an unrepeatable request is too large.
	ReasonTooLarge Reason = "request too large"
	// ReasonUnreachable means that no connection to the daemon or the backend server was made.
	ReasonUnreachable Reason = "backend server unreachable"
	// ReasonBackendFailure means that no whole answer arrived over an established connection.
	ReasonBackendFailure Reason = "backend server failed"
	// ReasonCancelled means that the caller cancelled the request or its body could not be read.
	ReasonCancelled Reason = "cancelled by the caller"
	// ReasonCrashed means that the backend server crashed while the request was in flight.
	ReasonCrashed Reason = "backend server crashed"
)

// The headers that the mesh reads from callers, sets on responses or uses between its daemons.
const (
	// HeaderOutcome holds the Outcome.
	HeaderOutcome = "Siskinspar-Outcome"
	// HeaderVersion holds the version of the configuration that routed the request, on responses to the caller.
	HeaderVersion = "Siskinspar-Version"
	// HeaderReason holds the Reason of a failure.
	HeaderReason = "Siskinspar-Reason"
	// HeaderTimeout holds the time until the deadline of a request, in milliseconds.
	HeaderTimeout = "Siskinspar-Timeout-Ms"
	// HeaderIntent holds the name of the intent that matched, on requests between daemons.
	HeaderIntent = "Siskinspar-Intent"
	// HeaderBackend holds the name of the backend server that was chosen, on requests between daemons.
	HeaderBackend = "Siskinspar-Backend"
	// HeaderFingerprint holds the fingerprint by which requests are quarantined, on requests between daemons.
	HeaderFingerprint = "Siskinspar-Fingerprint"
	// HeaderLoad holds the running and waiting requests of a backend server divided by its slots, on responses between
	// daemons.
	HeaderLoad = "Siskinspar-Load"
	// HeaderAttempt with the value InnerLayer means that an outer layer of the mesh retries, so that inner ones must not.
	HeaderAttempt = "Siskinspar-Attempt"
	// HeaderKey holds the caller's idempotency key of an unrepeatable request.
	HeaderKey = "Idempotency-Key"
)

// Failure is the error of a request without a whole answer from a backend server.
type Failure struct {
	outcome Outcome
	reason  Reason
	status  int
}

// NewFailure returns a failure with the given HTTP status for the response.
func NewFailure(o Outcome, r Reason, status int) *Failure {
	return &Failure{outcome: o, reason: r, status: status}
}

// NewRefusal returns a failure with the outcome NotRun and the default HTTP status of the reason.
func NewRefusal(r Reason) *Failure {
	return &Failure{outcome: NotRun, reason: r, status: defaultStatus(r)}
}

// defaultStatus returns the default HTTP status of a refusal, 503 for the reasons that don't have their own.
func defaultStatus(r Reason) int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonMissingKey:
		return http.StatusBadRequest
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonClaimed:
		return http.StatusConflict
	case ReasonLimit:
		return http.StatusTooManyRequests
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// Outcome returns whether the request ran: NotRun or Unknown.
func (f *Failure) Outcome() Outcome { return f.outcome }

// Reason returns why the request was refused or failed.
func (f *Failure) Reason() Reason { return f.reason }

// Status returns the HTTP status of the response.
func (f *Failure) Status() int { return f.status }

// Error returns the outcome and the reason, separated by a colon.
func (f *Failure) Error() string { return string(f.outcome) + ": " + string(f.reason) }

// WriteTo writes the failure as the whole response, with Retry-After: 1 second for the status 503 or 429.
func (f *Failure) WriteTo(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, string(f.outcome))
	w.Header().Set(HeaderReason, string(f.reason))
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, f.Error(), f.status)
}

// ParseFailure returns the failure in a response of another daemon; any outcome but NotRun is read as Unknown.
func ParseFailure(status int, h http.Header) *Failure {
	o := Outcome(h.Get(HeaderOutcome))
	if o != NotRun {
		o = Unknown
	}
	return &Failure{outcome: o, reason: Reason(h.Get(HeaderReason)), status: status}
}

// InnerLayer is the value of HeaderAttempt on requests to backend servers.
//
// A backend server that passes the header on with its own calls keeps them from being retried by the mesh as well.
const InnerLayer = "inner"
