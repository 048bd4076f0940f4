package operatorapi

import (
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/request/quarantine"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// Announcement is what a backend server tells the daemon beside it, repeated before its time to live ends.
type Announcement struct {
	Name    string             `json:"name"`
	Address string             `json:"address"`
	Labels  declaration.Labels `json:"labels"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// TimeToLive is given in seconds.
	TimeToLive int `json:"timeToLive"`
	// WarmUp is given in milliseconds.
	WarmUp     int    `json:"warmUp"`
	HealthPath string `json:"healthPath"`
	LoadPath   string `json:"loadPath"`
	IsDraining bool   `json:"isDraining"`
}

// Status describes one daemon.
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

// MemberStatus describes a member as this daemon sees it.
type MemberStatus struct {
	Instance       membership.ID              `json:"instance"`
	DataCentre     membership.DataCentre      `json:"dataCentre"`
	Status         string                     `json:"status"`
	Operators      string                     `json:"operators"`
	BackendServers []membership.BackendServer `json:"backendServers"`
}

// BackendStatus describes a backend server beside this daemon.
type BackendStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	IsHealthy  bool   `json:"isHealthy"`
	IsDraining bool   `json:"isDraining"`
}

// Declared is one declaration in force with its origin.
type Declared struct {
	Key     declaration.Key   `json:"key"`
	Content []byte            `json:"content"`
	Origin  versionlog.Origin `json:"origin"`
}

// Declarations are all declarations of a version, and the origins of deleted ones.
type Declarations struct {
	Version  declaration.Version       `json:"version"`
	Declared []Declared                `json:"declared"`
	Deleted  []versionlog.DeletedEntry `json:"deleted"`
}

// SubmissionResult answers a submission.
type SubmissionResult struct {
	Disposition versionlog.Disposition `json:"disposition"`
	Version     declaration.Version    `json:"version"`
	Reason      string                 `json:"reason,omitempty"`
	Conflicts   []versionlog.Conflict  `json:"conflicts,omitempty"`
	Warnings    []string               `json:"warnings,omitempty"`
}

// HistoryEntry describes one accepted version.
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

// Convergence tells where a version is in force.
type Convergence struct {
	Version     declaration.Version `json:"version"`
	InForce     int                 `json:"inForce"`
	Lagging     []membership.ID     `json:"lagging"`
	Unreachable []membership.ID     `json:"unreachable"`
}

// IsComplete reports whether every reachable daemon has the version in force.
func (c Convergence) IsComplete() bool { return len(c.Lagging) == 0 && c.InForce > 0 }

// Timeline holds events in causal order and the instances that could not be asked.
type Timeline struct {
	Events      []timeline.Event `json:"events"`
	Unreachable []membership.ID  `json:"unreachable"`
}

// Problem is the body of every answer with an error status.
type Problem struct {
	Reason string `json:"reason"`
}

// Rollback asks for a new version with the content of an old one.
type Rollback struct {
	Version   declaration.Version  `json:"version"`
	RequestID versionlog.RequestID `json:"requestID"`
	Operator  string               `json:"operator"`
}

// Release lets a quarantined request run again.
type Release struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
}

// Drain starts or ends the drain of the backend servers beside a daemon.
type Drain struct {
	IsDraining bool `json:"isDraining"`
}
