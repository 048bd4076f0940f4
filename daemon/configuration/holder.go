package configuration

import (
	"sync"
	"sync/atomic"

	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// RecentChanges is the maximum number of changes kept in memory for peers that are a few versions behind. Peers that
// are further behind need the whole state.
const RecentChanges = 256

// Holder holds the configuration in force, as the state of the version log and as the snapshot compiled from it.
//
// Lock order: its lock is taken after that of the backend servers and before that of the roster.
type Holder struct {
	// Labels and Recorder are set before use.
	Labels   declaration.Labels
	Recorder *timeline.Recorder

	mu    sync.Mutex
	state versionlog.State
	// recent holds the last changes that lead to state, oldest first.
	recent []versionlog.Change
	// snapshot is read without the lock, and written under it.
	snapshot atomic.Pointer[snapshot.Snapshot]
	// floor is the lowest version that may be put in force. A lower one is refused with versionlog.ReasonOlder even
	// while no version is in force.
	floor declaration.Version
	// changed is closed and reset to nil when another version comes into force; it is nil while nobody waits.
	changed chan struct{}
}

// Snapshot returns the compiled configuration in force, or nil before the first one.
func (h *Holder) Snapshot() *snapshot.Snapshot { return h.snapshot.Load() }

// Version returns the version in force, or 0 before the first one.
func (h *Holder) Version() declaration.Version {
	if compiled := h.snapshot.Load(); compiled != nil {
		return compiled.Version()
	}
	return 0
}

// State returns the state in force, which is empty before the first one.
func (h *Holder) State() versionlog.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Changed returns a channel that is closed when another version comes into force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// RaiseFloor makes the holder refuse versions below v, with versionlog.ReasonOlder, from now on. It does not change the
// version in force, and a lower v than before has no effect.
func (h *Holder) RaiseFloor(v declaration.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = max(h.floor, v)
}

// Apply puts the changes in force that follow the current version, all at once, and skips older ones.
//
// When one of them has a wrong digest, is out of order or doesn't compile, or the result is below the floor, Apply
// records a refusal, returns its error and applies none.
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
			return h.recordRefusal(err, c.Version)
		}
		state = next
		applied = append(applied, c)
	}
	if len(applied) == 0 {
		return nil
	}
	if err := h.advance(state, applied); err != nil {
		return h.recordRefusal(err, state.Version())
	}
	h.recent = append(h.recent, applied...)
	if excess := len(h.recent) - RecentChanges; excess > 0 {
		h.recent = append([]versionlog.Change(nil), h.recent[excess:]...)
	}
	return nil
}

// Install puts a whole state in force when it is newer than the current one, and does nothing when it has the same
// version. It returns an error when the state is older, is below the floor or doesn't compile.
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
		return h.recordRefusal(err, s.Version())
	}
	h.recent = nil
	return nil
}

// install compiles a whole state and puts it in force.
func (h *Holder) install(s versionlog.State) error {
	compiled, err := snapshot.Compile(s.Version(), s.Set(), h.Labels)
	return h.replace(s, compiled, err)
}

// advance derives the snapshot of a state from the current snapshot and the edits of the changes, and puts the state
// in force.
func (h *Holder) advance(s versionlog.State, changes []versionlog.Change) error {
	current := h.snapshot.Load()
	if current == nil {
		return h.install(s)
	}
	var edits []declaration.Edit
	for _, c := range changes {
		edits = append(edits, c.Edits()...)
	}
	compiled, err := current.Advance(s.Version(), s.Set(), edits, h.Labels)
	return h.replace(s, compiled, err)
}

// replace puts a state and its snapshot in force. It refuses a state below the floor with versionlog.ReasonOlder,
// although there may be no version in force that is newer, and with ReasonContent a state that didn't compile; err is
// the error of compiling it.
func (h *Holder) replace(s versionlog.State, compiled *snapshot.Snapshot, err error) error {
	if s.Version() < h.floor {
		return versionlog.NewRefusedError(s.Version(), versionlog.ReasonOlder, nil)
	}
	if err != nil {
		return versionlog.NewRefusedError(s.Version(), versionlog.ReasonContent, err)
	}
	h.state = s
	h.snapshot.Store(compiled)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	h.Recorder.Record(timeline.Event{Kind: timeline.KindVersionInForce, Version: uint64(s.Version())})
	return nil
}

// recordRefusal records in the timeline that version v was refused, and returns err.
func (h *Holder) recordRefusal(err error, v declaration.Version) error {
	h.Recorder.Record(timeline.Event{Kind: timeline.KindVersionRefused, Version: uint64(v), Detail: err.Error()})
	return err
}

// ChangesAfter returns the changes that lead from version v to the current one, and none when v is not older. It
// returns false when these changes are not in memory, so that a peer at v needs the whole state.
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
