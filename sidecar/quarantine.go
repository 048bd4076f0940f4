package sidecar

import (
	"sync"
	"time"

	"siskinspar.example/request/quarantine"
	"siskinspar.example/sidecar/message"
)

// Quarantine records which requests crash backend servers, as seen by this and by other daemons, and quarantines those
// that crashed several. Requests are identified by their fingerprint. The zero value is ready for use, and it is safe
// for concurrent use.
type Quarantine struct {
	mu       sync.Mutex
	registry *quarantine.Registry
	// recent are the latest reports, at most maximumReports, the oldest first.
	recent []report
}

// report is a crash of a backend server while it ran a request or, if serverID is empty, the clearance of a request
// that was answered.
type report struct {
	fingerprint string
	// serverID is the ID of the backend server that crashed.
	serverID string
	at       time.Time
}

const (
	// reportLifetime is how long a report is sent to other daemons.
	reportLifetime = 30 * time.Second
	// maximumReports bounds the reports in one probe.
	maximumReports = 32
	// crashLimit is the number of crashed backend servers at which a request is quarantined.
	crashLimit = 2
)

// IsQuarantined implements entry.Quarantine: it reports whether the request has crashed at least crashLimit backend
// servers since its last clearance, of those crashes that the registry still keeps.
func (q *Quarantine) IsQuarantined(fingerprint string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry != nil && q.registry.IsQuarantined(quarantine.Fingerprint(fingerprint))
}

// RecordCrash implements entry.Quarantine: it records that a backend server crashed while it ran the request.
func (q *Quarantine) RecordCrash(fingerprint, serverID string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(time.Now(), report{fingerprint: fingerprint, serverID: serverID, at: time.Now()})
}

// RecordAnswer implements entry.Quarantine: it clears a suspected request, which was answered without a crash.
func (q *Quarantine) RecordAnswer(fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry == nil || !q.registry.IsSuspected(quarantine.Fingerprint(fingerprint)) {
		return
	}
	now := time.Now()
	q.add(now, report{fingerprint: fingerprint, at: now})
}

// Merge adds the reports that another daemon sent; their ages are relative to the given time.
func (q *Quarantine) Merge(now time.Time, crashes []message.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range crashes {
		q.add(now, report{fingerprint: c.Fingerprint, serverID: c.Instance, at: now.Add(-c.Age)})
	}
}

// add merges a report into the registry and keeps it for other daemons if it is new.
func (q *Quarantine) add(now time.Time, r report) {
	if q.registry == nil {
		q.registry = quarantine.NewRegistry()
		q.registry.CrashLimit = crashLimit
	}
	isNew := q.registry.Merge(now, quarantine.Notice{Fingerprint: quarantine.Fingerprint(r.fingerprint), Crash: r.serverID, At: r.at.UnixMilli()})
	if !isNew {
		return
	}
	q.recent = append(q.recent, r)
	if extra := len(q.recent) - maximumReports; extra > 0 {
		q.recent = q.recent[extra:]
	}
}

// Recent returns the reports of the last reportLifetime for other daemons, with their ages at the given time.
func (q *Quarantine) Recent(now time.Time) []message.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	var reports []message.Crash
	for _, r := range q.recent {
		if age := now.Sub(r.at); age < reportLifetime {
			reports = append(reports, message.Crash{Fingerprint: r.fingerprint, Instance: r.serverID, Age: age})
		}
	}
	return reports
}
