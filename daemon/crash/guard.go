package crash

import (
	"sync"
	"time"

	"siskinspar.example/request/quarantine"
	"siskinspar.example/sidecar/upstream"
	"siskinspar.example/timeline"
)

// crashWindow is the time from the first broken connection to a backend server in which further ones count as the
// same crash.
const crashWindow = time.Second

// Broadcaster sends notices to the other daemons; it is the control.Node, which uses its spread.Spreader.
type Broadcaster interface {
	// BroadcastNotice sends a notice to all other daemons.
	BroadcastNotice(n quarantine.Notice)
}

// Guard holds one daemon's view of the crashes and of the quarantined requests; its exported fields are set before
// use. Instance is the identity of this daemon in the names of crashes.
type Guard struct {
	Instance    string
	Recorder    *timeline.Recorder
	Broadcaster Broadcaster

	mu       sync.Mutex
	registry *quarantine.Registry
	crashes  map[string]time.Time
}

// Request holds what the guard records of a request; Intent is the name of the request's intent.
type Request struct {
	Fingerprint    quarantine.Fingerprint
	Intent         string
	IsUnrepeatable bool
}

// IsQuarantined reports whether the request must not run, since backend servers crashed while it ran.
func (g *Guard) IsQuarantined(request Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry != nil && g.registry.IsQuarantined(request.Fingerprint)
}

// ClearIfSuspected clears, at all daemons, a request that ran during a crash and has now got a response.
func (g *Guard) ClearIfSuspected(request Request) {
	g.mu.Lock()
	isSuspected := g.registry != nil && g.registry.IsSuspected(request.Fingerprint)
	g.mu.Unlock()
	if isSuspected {
		g.broadcast(quarantine.Notice{Fingerprint: request.Fingerprint, At: time.Now().UnixMilli()})
	}
}

// DetectCrash reports whether a backend server crashed while the request ran, and if so broadcasts a notice of the
// crash and the request. It is called after a connection to the address broke and probes whether the server still
// listens.
func (g *Guard) DetectCrash(request Request, backend, address string) bool {
	if !upstream.IsNotListening(address) {
		return false
	}
	at, isFirst := g.crashTime(backend)
	id := g.Instance + "/" + backend + "/" + at.UTC().Format(time.RFC3339Nano)
	if isFirst {
		g.Recorder.Record(timeline.Event{Kind: timeline.KindBackendCrashed, Subject: backend, Detail: address})
	}
	g.broadcast(quarantine.Notice{
		Fingerprint: request.Fingerprint, Crash: id, At: at.UnixMilli(), IsUnrepeatable: request.IsUnrepeatable, Target: request.Intent,
	})
	return true
}

// crashTime returns the time of the backend server's current crash, and true if this call is the first to see it.
func (g *Guard) crashTime(backend string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes == nil {
		g.crashes = map[string]time.Time{}
	}
	now := time.Now()
	if at, ok := g.crashes[backend]; ok && now.Sub(at) < crashWindow {
		return at, false
	}
	g.crashes[backend] = now
	return now, true
}

// Release clears a request, so that it may run again at this and all other daemons.
func (g *Guard) Release(f quarantine.Fingerprint) {
	g.broadcast(quarantine.Notice{Fingerprint: f, At: time.Now().UnixMilli()})
}

// Entries returns the requests that ran during crashes, in order of fingerprint.
func (g *Guard) Entries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry == nil {
		return nil
	}
	return g.registry.Entries()
}

func (g *Guard) broadcast(n quarantine.Notice) {
	if g.Receive(n) {
		g.Broadcaster.BroadcastNotice(n)
	}
}

// Receive merges a notice of this or another daemon, records a change of quarantine in the timeline, and reports
// whether the notice was new.
func (g *Guard) Receive(n quarantine.Notice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry == nil {
		g.registry = quarantine.NewRegistry()
	}
	wasQuarantined := g.registry.IsQuarantined(n.Fingerprint)
	isNew := g.registry.Merge(time.Now(), n)
	if isQuarantined := g.registry.IsQuarantined(n.Fingerprint); isQuarantined != wasQuarantined {
		kind := timeline.KindRequestReleased
		if isQuarantined {
			kind = timeline.KindRequestQuarantined
		}
		g.Recorder.Record(timeline.Event{Kind: kind, Subject: string(n.Fingerprint), Detail: n.Target})
	}
	return isNew
}
