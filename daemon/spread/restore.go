package spread

import (
	"context"

	"github.com/rotisserie/eris"

	"siskinspar.example/store"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog/record"
)

// RestoreLog commits the versions after the head of the version log again, from memory, and returns the new head. The log
// lacks versions that are in force only if the store has come back from an older copy.
//
// Any number of daemons may do so at once: each version is committed as it was, on the condition that the one before it
// is the head. It returns an error if the log holds other versions than those that are in force, if these are no longer
// in memory, or if another daemon commits first.
func (s *Spreader) RestoreLog(ctx context.Context, head record.Head) (record.Head, error) {
	changes, ok := s.Configuration.ChangesAfter(head.Version)
	if !ok {
		return head, eris.Errorf("the version log ends at %d, and the changes up to version %d are not in memory", head.Version, s.Configuration.Version())
	}
	state, err := s.Storage.Log.Load(ctx, head.Version)
	if err != nil {
		return head, err
	}
	for _, c := range changes {
		if state, err = state.Apply(c); err != nil {
			return head, eris.Wrapf(err, "the version log does not lead to version %d, which is in force", c.Version)
		}
		if head, err = s.Storage.Log.Commit(ctx, head, c); err != nil {
			return head, err
		}
		s.Recorder.Record(timeline.Event{Kind: timeline.KindVersionRestored, Version: uint64(c.Version)})
		s.Logger.Warn("spread: version that the store had lost is committed again", "version", c.Version)
	}
	return head, nil
}

// reportUnrestored logs why versions could not be committed again, unless another daemon was first.
func (s *Spreader) reportUnrestored(err error) {
	if !store.IsCause(err, store.CauseConflict) {
		s.Logger.Warn("spread: versions that the store has lost can't be committed again", "error", err)
	}
}
