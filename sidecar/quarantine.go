package sidecar

import (
	"sync"
	"time"

	"siskinspar.example/request/quarantine"
	"siskinspar.example/sidecar/message"
)

// Quarantine knows the requests that crash backend servers, here and at other daemons; it is safe for concurrent use.
type Quarantine struct {
	mu       sync.Mutex
	registry *quarantine.Registry
	recent   []crash
}

type crash struct {
	fingerprint string
	instance    string
	at          time.Time
}

const (
	// tellTime is how long other daemons are told of a crash.
	tellTime = 30 * time.Second
	// maximumTold bounds the crashes in one probe.
	maximumTold = 32
	// stoppingCrashes is the number of backend servers that one request may crash.
	stoppingCrashes = 2
)

// IsStopped implements entry.Quarantine.
func (q *Quarantine) IsStopped(fingerprint string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry != nil && q.registry.IsQuarantined(quarantine.Fingerprint(fingerprint))
}

// NoteCrash implements entry.Quarantine.
func (q *Quarantine) NoteCrash(fingerprint, instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.note(time.Now(), crash{fingerprint: fingerprint, instance: instance, at: time.Now()})
}

// NoteAnswer implements entry.Quarantine.
func (q *Quarantine) NoteAnswer(fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry == nil || !q.registry.IsSuspected(quarantine.Fingerprint(fingerprint)) {
		return
	}
	now := time.Now()
	q.note(now, crash{fingerprint: fingerprint, at: now})
}

// Merge takes in the crashes that another daemon tells of.
func (q *Quarantine) Merge(now time.Time, crashes []message.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range crashes {
		q.note(now, crash{fingerprint: c.Fingerprint, instance: c.Instance, at: now.Add(-c.Age)})
	}
}

func (q *Quarantine) note(now time.Time, c crash) {
	if q.registry == nil {
		q.registry = quarantine.NewRegistry()
		q.registry.Crashes = stoppingCrashes
	}
	isNew := q.registry.Merge(now, quarantine.Notice{Fingerprint: quarantine.Fingerprint(c.fingerprint), Crash: c.instance, At: c.at.UnixMilli()})
	if !isNew {
		return
	}
	q.recent = append(q.recent, c)
	if extra := len(q.recent) - maximumTold; extra > 0 {
		q.recent = q.recent[extra:]
	}
}

// Recent returns the crashes that other daemons have to know of.
func (q *Quarantine) Recent(now time.Time) []message.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	var told []message.Crash
	for _, c := range q.recent {
		if age := now.Sub(c.at); age < tellTime {
			told = append(told, message.Crash{Fingerprint: c.fingerprint, Instance: c.instance, Age: age})
		}
	}
	return told
}
