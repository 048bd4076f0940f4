package record

import (
	"context"
	"fmt"

	"siskinspar.example/declaration"
	"siskinspar.example/store"
	"siskinspar.example/versionlog"
)

func snapshotName(v declaration.Version) string { return fmt.Sprintf("snapshot/%s", sortKey(v)) }

// PutSnapshot stores the whole state as an object named by its version; repeating it is harmless.
//
// The object is the encoded versionlog.Image of the state. It is not a
// snapshot.Snapshot, which holds the compiled routes of one daemon.
func (l *Log) PutSnapshot(ctx context.Context, s versionlog.State) error {
	data, err := Encode(s.Image())
	if err != nil {
		return err
	}
	return l.Objects.Put(ctx, snapshotName(s.Version()), data)
}

// Load returns the state of version upTo, which must be committed and still retained.
//
// It reads the newest usable snapshot at or below that version and applies the
// changes that follow.
func (l *Log) Load(ctx context.Context, upTo declaration.Version) (versionlog.State, error) {
	s, err := l.loadSnapshot(ctx, upTo)
	if err != nil {
		return s, err
	}
	return l.Advance(ctx, s, upTo)
}

// Advance returns the state of version upTo, built from an earlier state and the changes that follow it.
//
// A *versionlog.RefusedError means that the log lacks a change or that a change
// is invalid; the returned state is then the last valid one. When the log lacks a
// change, the error has version upTo; the missing version is the one that follows
// the returned state.
func (l *Log) Advance(ctx context.Context, s versionlog.State, upTo declaration.Version) (versionlog.State, error) {
	for s.Version() < upTo {
		changes, err := l.Changes(ctx, s.Version())
		if err != nil {
			return s, err
		}
		if len(changes) == 0 {
			return s, versionlog.NewRefusedError(upTo, versionlog.ReasonOrder, nil)
		}
		for _, c := range changes {
			if s.Version() >= upTo {
				break
			}
			if s, err = s.Apply(c); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

// loadSnapshot returns the newest usable snapshot at or below version upTo.
//
// A snapshot that is missing or invalid is skipped, but CauseUnavailable is
// returned as an error. When none of the last RetainedVersions is usable, the
// result is the empty state, and the caller reads the log from its start.
func (l *Log) loadSnapshot(ctx context.Context, upTo declaration.Version) (versionlog.State, error) {
	v := upTo - upTo%SnapshotInterval
	for range RetainedVersions / SnapshotInterval {
		if v == 0 {
			break
		}
		s, err := l.readSnapshot(ctx, v)
		if err == nil {
			return s, nil
		}
		if store.IsCause(err, store.CauseUnavailable) {
			return versionlog.State{}, err
		}
		v -= SnapshotInterval
	}
	return versionlog.State{}, nil
}

// readSnapshot returns the state of the stored snapshot of version v.
//
// When the object holds another version, the error is a *versionlog.RefusedError
// with ReasonOrder and the version that the object holds.
func (l *Log) readSnapshot(ctx context.Context, v declaration.Version) (versionlog.State, error) {
	data, err := l.Objects.Get(ctx, snapshotName(v))
	if err != nil {
		return versionlog.State{}, err
	}
	var m versionlog.Image
	if err := Decode(data, &m); err != nil {
		return versionlog.State{}, store.NewError("read snapshot", store.CauseInvalid, err)
	}
	s, err := versionlog.Restore(m)
	if err != nil {
		return versionlog.State{}, err
	}
	if s.Version() != v {
		return versionlog.State{}, versionlog.NewRefusedError(s.Version(), versionlog.ReasonOrder, nil)
	}
	return s, nil
}

// Trim deletes the change and request rows of versions that are no longer retained and returns the number of
// versions deleted, at most pageSize.
//
// It deletes nothing when the snapshot that replaces those versions can't be read.
func (l *Log) Trim(ctx context.Context, newest declaration.Version) (int, error) {
	if newest <= RetainedVersions {
		return 0, nil
	}
	oldest := newest - RetainedVersions
	oldest -= oldest % SnapshotInterval
	if _, err := l.readSnapshot(ctx, oldest); err != nil {
		return 0, err
	}
	rows, err := l.Table.Range(ctx, partitionChange, "", pageSize)
	if err != nil {
		return 0, err
	}
	trimmed := 0
	for _, row := range rows {
		if row.Revision() > uint64(oldest) {
			break
		}
		if err := l.trimRow(ctx, row); err != nil {
			return trimmed, err
		}
		trimmed++
	}
	return trimmed, nil
}

// trimRow deletes a change row and its request rows; when the change can't be read, only its own row is deleted.
func (l *Log) trimRow(ctx context.Context, row store.Row) error {
	writes := []store.Write{{Key: row.Key(), IsDelete: true}}
	if c, err := l.decodeChange(ctx, row); err == nil {
		for _, a := range c.Accepted {
			writes = append(writes, store.Write{Key: requestKey(a.RequestID), IsDelete: true})
		}
	}
	return l.Table.Transact(ctx, writes)
}
