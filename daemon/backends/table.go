package backends

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/request/admission"
	"siskinspar.example/timeline"
)

// The limits of announcements.
const (
	// MaximumBackends is the greatest number of backend servers beside one daemon.
	MaximumBackends = 16
	// MaximumSlots is the greatest number of slots of one backend server.
	MaximumSlots = 10000
	// maximumTimeToLive and defaultTimeToLive are in seconds; the default replaces a time to live of 0.
	maximumTimeToLive = 300
	defaultTimeToLive = 10
)

// Table holds the backend servers beside one daemon. Its lock is taken before any other lock, such as that of a gate.
type Table struct {
	// QueueLength, Recorder, PublishServers and ProtectedShare are set before use.
	// QueueLength is the greatest number of waiting requests for each backend server.
	QueueLength int
	Recorder    *timeline.Recorder
	// PublishServers passes the healthy backend servers, in order of name, to the other daemons.
	// It is called with the table's lock held.
	PublishServers func([]membership.BackendServer)
	// ProtectedShare returns the share of the slots, from 0 to 1, that is protected at a backend server with these labels.
	ProtectedShare func(declaration.Labels) float64

	mu         sync.Mutex
	backends   map[string]*Backend
	isDraining bool
	published  []membership.BackendServer
}

// Announce adds or renews a backend server, or returns why the announcement is refused. An announcement with a new
// address replaces the server of that name.
func (t *Table) Announce(a operatorapi.Announcement, now time.Time) error {
	if err := checkAnnouncement(&a); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.backends[a.Name]
	switch {
	case !ok && len(t.backends) >= MaximumBackends:
		return eris.Errorf("more than %d backend servers beside one daemon: %q refused", MaximumBackends, a.Name)
	case !ok || b.announcement.Address != a.Address:
		b = t.add(a)
	}
	b.expires = now.Add(time.Duration(a.TimeToLive) * time.Second)
	b.announcement = a
	b.failedProbes = 0
	b.isHealthy = true
	t.applyDrain(b)
	b.gate.SetLimits(t.limits(a))
	t.publish()
	return nil
}

func checkAnnouncement(a *operatorapi.Announcement) error {
	if a.Name == "" || len(a.Name) > declaration.MaximumNameLength {
		return eris.Errorf("name must have 1 to 128 characters, not %d", len(a.Name))
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return eris.Errorf("address %q must be an IP number with a port", a.Address)
	}
	if a.Slots <= 0 || a.Slots > MaximumSlots {
		return eris.Errorf("slots must be from 1 to %d, not %d", MaximumSlots, a.Slots)
	}
	if a.Connections < 0 || a.WarmUp < 0 || a.TimeToLive < 0 || a.TimeToLive > maximumTimeToLive {
		return eris.Errorf("connections %d and warmUp %d must not be below zero, timeToLive %d must be from 0 to %d seconds",
			a.Connections, a.WarmUp, a.TimeToLive, maximumTimeToLive)
	}
	a.TimeToLive = cmp.Or(a.TimeToLive, defaultTimeToLive)
	a.Connections = cmp.Or(a.Connections, a.Slots)
	return nil
}

func (t *Table) add(a operatorapi.Announcement) *Backend {
	if t.backends == nil {
		t.backends = map[string]*Backend{}
	}
	if old, ok := t.backends[a.Name]; ok {
		old.gate.Drain()
		old.close()
	}
	b := newBackend(a, t.limits(a))
	t.backends[a.Name] = b
	t.Recorder.Record(timeline.Event{Kind: timeline.KindBackendAnnounced, Subject: a.Name, Detail: a.Address})
	return b
}

func (t *Table) limits(a operatorapi.Announcement) admission.Limits {
	share := t.ProtectedShare(a.Labels)
	return admission.Limits{
		Slots:          a.Slots,
		Queue:          t.QueueLength,
		ProtectedSlots: int(math.Ceil(share * float64(a.Slots))),
		WarmUp:         time.Duration(a.WarmUp) * time.Millisecond,
	}
}

func (t *Table) applyDrain(b *Backend) {
	shouldDrain := t.isDraining || b.announcement.IsDraining
	if shouldDrain == b.isDraining {
		return
	}
	b.isDraining = shouldDrain
	if shouldDrain {
		b.gate.Drain()
		t.Recorder.Record(timeline.Event{Kind: timeline.KindDraining, Subject: b.Name()})
		return
	}
	b.gate.Resume()
}

// publish publishes the healthy backend servers if they differ from those published last. The caller holds the lock.
func (t *Table) publish() {
	servers := make([]membership.BackendServer, 0, len(t.backends))
	for _, b := range t.backends {
		if !b.isHealthy {
			continue
		}
		servers = append(servers, membership.BackendServer{
			Name:       b.Name(),
			Labels:     membership.NewLabels(b.announcement.Labels),
			Slots:      b.announcement.Slots,
			IsDraining: b.isDraining,
		})
	}
	slices.SortFunc(servers, func(a, b membership.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	if slices.EqualFunc(servers, t.published, isSameServer) {
		return
	}
	t.published = servers
	t.PublishServers(servers)
}

func isSameServer(a, b membership.BackendServer) bool {
	return a.Name == b.Name && a.Slots == b.Slots && a.IsDraining == b.IsDraining && slices.Equal(a.Labels, b.Labels)
}

// Remove removes a backend server that has withdrawn its announcement, and refuses the requests that wait for it.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(name)
	t.publish()
}

// remove removes a backend server whose announcement has expired or was withdrawn; both are recorded as
// KindBackendExpired. The caller holds the lock.
func (t *Table) remove(name string) {
	b, ok := t.backends[name]
	if !ok {
		return
	}
	b.gate.Drain()
	b.close()
	delete(t.backends, name)
	t.Recorder.Record(timeline.Event{Kind: timeline.KindBackendExpired, Subject: name})
}

// Tick removes the backend servers whose announcement has expired, and ticks the gates of the others: slots open by
// warm-up and late requests are refused.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, b := range t.backends {
		if now.After(b.expires) {
			t.remove(name)
			continue
		}
		b.gate.Tick()
	}
	t.publish()
}

// Refresh recomputes the limits of all gates after a change of the configuration, since the protected share may differ.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.backends {
		b.gate.SetLimits(t.limits(b.announcement))
	}
}

// Find returns the backend server with a name, or false if there is none.
func (t *Table) Find(name string) (*Backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.backends[name]
	return b, ok
}

// All returns the backend servers in order of name.
func (t *Table) All() []*Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Backend, 0, len(t.backends))
	for _, b := range t.backends {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *Backend) int { return cmp.Compare(a.Name(), b.Name()) })
	return all
}

// SetDraining starts or ends the drain of all backend servers beside this daemon. A server whose announcement asks for
// a drain goes on draining.
func (t *Table) SetDraining(isDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isDraining = isDraining
	for _, b := range t.backends {
		t.applyDrain(b)
	}
	t.publish()
}

// maximumFailedProbes is the number of failed probes in a row at which a backend server is no longer published.
const maximumFailedProbes = 3

// RecordProbe records the result of a health probe. A probe is only a hint, so one success publishes the server again.
func (t *Table) RecordProbe(name string, isOK bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.backends[name]
	if !ok {
		return
	}
	if isOK {
		b.failedProbes = 0
		b.isHealthy = true
	} else {
		b.failedProbes++
		b.isHealthy = b.failedProbes < maximumFailedProbes
	}
	t.publish()
}

// RecordCrash stops publishing a crashed backend server until a probe succeeds or it announces itself again.
func (t *Table) RecordCrash(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.backends[name]; ok {
		b.failedProbes = maximumFailedProbes
		b.isHealthy = false
	}
	t.publish()
}

// Probe is one health check to perform.
type Probe struct {
	name string
	url  string
}

// Name returns the name of the backend server to check.
func (p Probe) Name() string { return p.name }

// URL returns the URL of the backend server's health endpoint.
func (p Probe) URL() string { return p.url }

// Probes returns one health check for each backend server that announced a health endpoint.
func (t *Table) Probes() []Probe {
	t.mu.Lock()
	defer t.mu.Unlock()
	var probes []Probe
	for _, b := range t.backends {
		if path := b.announcement.HealthPath; path != "" {
			probes = append(probes, Probe{name: b.name, url: "http://" + b.address + path})
		}
	}
	return probes
}

// Status returns the state of each backend server for operators, in order of name.
func (t *Table) Status() []operatorapi.BackendStatus {
	var list []operatorapi.BackendStatus
	for _, b := range t.All() {
		running, waiting := b.gate.Load()
		t.mu.Lock()
		list = append(list, operatorapi.BackendStatus{
			Name: b.Name(), Address: b.Address(), Slots: b.announcement.Slots, Running: running, Waiting: waiting,
			IsHealthy: b.isHealthy, IsDraining: b.isDraining,
		})
		t.mu.Unlock()
	}
	return list
}
