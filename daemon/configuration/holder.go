package configuration

import (
	"sync"
	"sync/atomic"

	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// RecentChanges is the number of changes kept in memory for peers that are a little behind.
const RecentChanges = 256

// Holder keeps the state in force; its lock is taken after that of the backend servers and before that of the roster.
type Holder struct {
	// Labels and Recorder are set before use.
	Labels   declaration.Labels
	Recorder *timeline.Recorder

	mu       sync.Mutex
	state    versionlog.State
	recent   []versionlog.Change
	snapshot atomic.Pointer[snapshot.Snapshot]
	floor    declaration.Version
	changed  chan struct{}
}

// Snapshot returns the compiled configuration in force, or nil before the first one.
func (h *Holder) Snapshot() *snapshot.Snapshot { return h.snapshot.Load() }

// Version returns the version in force, or 0.
func (h *Holder) Version() declaration.Version {
	if n := h.snapshot.Load(); n != nil {
		return n.Version()
	}
	return 0
}

// State returns the state in force.
func (h *Holder) State() versionlog.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Changed returns a channel that is closed when another version comes in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// RaiseFloor refuses from now on to put versions below v in force.
func (h *Holder) RaiseFloor(v declaration.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = max(h.floor, v)
}

// Apply puts the changes in force that follow the present version and passes over older ones.
//
// A change that is torn, out of order or doesn't compile is refused whole.
func (h *Holder) Apply(changes []versionlog.Change) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state
	var applied []versionlog.Change
	for _, c := range changes {
		if c.Version <= state.Version() {
			continue
		}
		next, err := state.Apply(c)
		if err != nil {
			return h.refuse(err, c.Version)
		}
		state = next
		applied = append(applied, c)
	}
	if len(applied) == 0 {
		return nil
	}
	if err := h.advance(state, applied); err != nil {
		return h.refuse(err, state.Version())
	}
	h.recent = append(h.recent, applied...)
	if extra := len(h.recent) - RecentChanges; extra > 0 {
		h.recent = append([]versionlog.Change(nil), h.recent[extra:]...)
	}
	return nil
}

// Install puts a whole state in force when it is newer than the present one.
func (h *Holder) Install(s versionlog.State) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Version() == h.state.Version() && h.snapshot.Load() != nil {
		return nil
	}
	if s.Version() < h.state.Version() {
		return versionlog.NewRefusedError(s.Version(), versionlog.ReasonOlder, nil)
	}
	if err := h.install(s); err != nil {
		return h.refuse(err, s.Version())
	}
	h.recent = nil
	return nil
}

func (h *Holder) install(s versionlog.State) error {
	n, err := snapshot.Compile(s.Version(), s.Set(), h.Labels)
	return h.replace(s, n, err)
}

func (h *Holder) advance(s versionlog.State, changes []versionlog.Change) error {
	present := h.snapshot.Load()
	if present == nil {
		return h.install(s)
	}
	var edits []declaration.Edit
	for _, c := range changes {
		edits = append(edits, c.Edits()...)
	}
	n, err := present.Advance(s.Version(), s.Set(), edits, h.Labels)
	return h.replace(s, n, err)
}

// replace swaps the state and the snapshot at once, unless the snapshot failed to compile or is below the floor.
func (h *Holder) replace(s versionlog.State, n *snapshot.Snapshot, err error) error {
	if s.Version() < h.floor {
		return versionlog.NewRefusedError(s.Version(), versionlog.ReasonOlder, nil)
	}
	if err != nil {
		return versionlog.NewRefusedError(s.Version(), versionlog.ReasonContent, err)
	}
	h.state = s
	h.snapshot.Store(n)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	h.Recorder.Record(timeline.Event{Kind: timeline.KindVersionInForce, Version: uint64(s.Version())})
	return nil
}

func (h *Holder) refuse(err error, v declaration.Version) error {
	h.Recorder.Record(timeline.Event{Kind: timeline.KindVersionRefused, Version: uint64(v), Detail: err.Error()})
	return err
}

// ChangesAfter returns the changes that lead from a version to the present one; false means that an image is needed.
func (h *Holder) ChangesAfter(v declaration.Version) ([]versionlog.Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v >= h.state.Version() {
		return nil, true
	}
	for i, c := range h.recent {
		if c.Version == v+1 {
			return append([]versionlog.Change(nil), h.recent[i:]...), true
		}
	}
	return nil, false
}
