package operatorapi

import (
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/request/quarantine"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// Announcement registers a backend server with the daemon beside it.
//
// The backend server repeats it before its time to live ends, or the daemon removes it.
type Announcement struct {
	Name string `json:"name"`
	// Address is the IP number and port of the backend server.
	Address string             `json:"address"`
	Labels  declaration.Labels `json:"labels"`
	// Slots is the number of requests that the backend server can run at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts; 0 stands for Slots.
	Connections int `json:"connections"`
	// TimeToLive is how long the announcement is valid, in seconds; 0 stands for the daemon's default.
	TimeToLive int `json:"timeToLive"`
	// WarmUp is the length of the warm-up in milliseconds.
	WarmUp int `json:"warmUp"`
	// HealthPath is the URL path for health probes; without it the backend server isn't probed.
	HealthPath string `json:"healthPath"`
	// LoadPath is the URL path of the backend server's load report; the daemon does not read it.
	LoadPath string `json:"loadPath"`
	// IsDraining asks the daemon to send no new requests to the backend server.
	IsDraining bool `json:"isDraining"`
}

// Status describes one daemon, the backend servers beside it and the members that it knows.
type Status struct {
	Instance       string              `json:"instance"`
	DataCentre     string              `json:"dataCentre"`
	Version        declaration.Version `json:"version"`
	Digest         declaration.Digest  `json:"digest"`
	IsReady        bool                `json:"isReady"`
	IsDraining     bool                `json:"isDraining"`
	IsRelay        bool                `json:"isRelay"`
	IsStoreUp      bool                `json:"isStoreUp"`
	Members        []MemberStatus      `json:"members"`
	BackendServers []BackendStatus     `json:"backendServers"`
	Routes         int                 `json:"routes"`
}

// MemberStatus describes a member according to the roster of the answering daemon; Operators is the address of its
// operator listener.
type MemberStatus struct {
	Instance       membership.ID              `json:"instance"`
	DataCentre     membership.DataCentre      `json:"dataCentre"`
	Status         string                     `json:"status"`
	Operators      string                     `json:"operators"`
	BackendServers []membership.BackendServer `json:"backendServers"`
}

// BackendStatus describes a backend server beside the answering daemon; Running and Waiting count its requests.
type BackendStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	IsHealthy  bool   `json:"isHealthy"`
	IsDraining bool   `json:"isDraining"`
}

// Declared is one declaration of a version with the submission that last changed it.
type Declared struct {
	Key     declaration.Key   `json:"key"`
	Content []byte            `json:"content"`
	Origin  versionlog.Origin `json:"origin"`
}

// Declarations holds all declarations of a version, and the origins of the deleted ones.
type Declarations struct {
	Version  declaration.Version       `json:"version"`
	Declared []Declared                `json:"declared"`
	Deleted  []versionlog.DeletedEntry `json:"deleted"`
}

// SubmissionResult is the response to a submission or rollback.
//
// Reason and Conflicts say why it was not accepted; Warnings name accepted selectors that match nothing at present.
type SubmissionResult struct {
	Disposition versionlog.Disposition `json:"disposition"`
	Version     declaration.Version    `json:"version"`
	Reason      string                 `json:"reason,omitempty"`
	Conflicts   []versionlog.Conflict  `json:"conflicts,omitempty"`
	Warnings    []string               `json:"warnings,omitempty"`
}

// HistoryEntry describes one accepted submission and the version in which it was accepted.
type HistoryEntry struct {
	Version   declaration.Version  `json:"version"`
	Time      time.Time            `json:"time"`
	Operator  string               `json:"operator"`
	Message   string               `json:"message"`
	RequestID versionlog.RequestID `json:"requestID"`
	Changed   []declaration.Key    `json:"changed"`
	Accepted  int                  `json:"accepted"`
	Digest    declaration.Digest   `json:"digest"`
}

// Convergence counts the daemons that have a version in force, and lists some of those that have not or can't be
// reached.
type Convergence struct {
	Version     declaration.Version `json:"version"`
	InForce     int                 `json:"inForce"`
	Lagging     []membership.ID     `json:"lagging"`
	Unreachable []membership.ID     `json:"unreachable"`
}

// IsComplete reports whether every daemon that was reached has the version in force, and at least one was.
func (c Convergence) IsComplete() bool { return len(c.Lagging) == 0 && c.InForce > 0 }

// Timeline holds events in causal order, and the instances that did not answer and whose events are missing.
type Timeline struct {
	Events      []timeline.Event `json:"events"`
	Unreachable []membership.ID  `json:"unreachable"`
}

// Problem is the body of a response with an error status, unless that body is a SubmissionResult.
type Problem struct {
	Reason string `json:"reason"`
}

// Rollback asks for a new version with the declarations of the older one that Version names.
type Rollback struct {
	Version   declaration.Version  `json:"version"`
	RequestID versionlog.RequestID `json:"requestID"`
	Operator  string               `json:"operator"`
}

// Release asks to let the quarantined request with this fingerprint run again at all daemons.
type Release struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
}

// Drain asks to start or end the drain of all backend servers beside a daemon.
type Drain struct {
	IsDraining bool `json:"isDraining"`
}
