package record

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"siskinspar.example/declaration"
	"siskinspar.example/store"
	"siskinspar.example/versionlog"
)

// The partitions of the version log.
const (
	partitionHead    = "head"
	partitionChange  = "change"
	partitionRequest = "request"
)

const (
	// inlineSize is the largest change in bytes that is kept in its row.
	inlineSize = 48 << 10
	// SnapshotInterval is the number of versions from one snapshot object to the next.
	SnapshotInterval = 64
	// RetainedVersions is the number of versions whose changes are kept for history and rollback.
	RetainedVersions = 4096
	// pageSize is the number of changes read at once.
	pageSize = 64
)

// Head names the newest version.
type Head struct {
	Version declaration.Version `json:"version"`
	Digest  declaration.Digest  `json:"digest"`
}

type changeRow struct {
	Object string             `json:"object,omitempty"`
	Change *versionlog.Change `json:"change,omitempty"`
}

// Log reads and extends the version log; its fields are set before use.
type Log struct {
	Table   store.Table
	Objects store.Objects
}

var headKey = store.Key{Partition: partitionHead, Sort: "head"}

func changeKey(v declaration.Version) store.Key {
	return store.Key{Partition: partitionChange, Sort: sortOf(v)}
}

func requestKey(id versionlog.RequestID) store.Key {
	return store.Key{Partition: partitionRequest, Sort: string(id)}
}

func sortOf(v declaration.Version) string { return fmt.Sprintf("%020d", uint64(v)) }

// Head returns the newest head; its version is 0 before the first change.
func (l *Log) Head(ctx context.Context) (Head, error) {
	row, ok, err := l.Table.Get(ctx, headKey)
	if err != nil || !ok {
		return Head{}, err
	}
	var h Head
	if err := json.Unmarshal(row.Value(), &h); err != nil {
		return Head{}, store.NewError("read head", store.CauseInvalid, err)
	}
	if uint64(h.Version) != row.Revision() {
		return Head{}, store.NewError("read head", store.CauseInvalid, eris.New("revision differs from version"))
	}
	return h, nil
}

// FindRequest returns the version that holds a submission, or 0.
func (l *Log) FindRequest(ctx context.Context, id versionlog.RequestID) (declaration.Version, error) {
	row, ok, err := l.Table.Get(ctx, requestKey(id))
	if err != nil || !ok {
		return 0, err
	}
	return declaration.Version(row.Revision()), nil
}

// Changes returns changes after a version in order, at most one page.
func (l *Log) Changes(ctx context.Context, after declaration.Version) ([]versionlog.Change, error) {
	rows, err := l.Table.Range(ctx, partitionChange, sortOf(after), pageSize)
	if err != nil {
		return nil, err
	}
	changes := make([]versionlog.Change, 0, len(rows))
	for _, row := range rows {
		c, err := l.decodeChange(ctx, row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func (l *Log) decodeChange(ctx context.Context, row store.Row) (versionlog.Change, error) {
	var r changeRow
	if err := json.Unmarshal(row.Value(), &r); err != nil {
		return versionlog.Change{}, store.NewError("read change", store.CauseInvalid, err)
	}
	c := versionlog.Change{}
	switch {
	case r.Change != nil:
		c = *r.Change
	case r.Object != "":
		data, err := l.Objects.Get(ctx, r.Object)
		if err != nil {
			return c, err
		}
		if err := Decode(data, &c); err != nil {
			return c, store.NewError("read change", store.CauseInvalid, err)
		}
	}
	if uint64(c.Version) != row.Revision() {
		return c, store.NewError("read change", store.CauseInvalid, eris.New("row holds another version"))
	}
	return c, nil
}

// Commit appends a change if the head still precedes it.
//
// A *store.Error with CauseConflict means that another change came first,
// one with CauseUnknown that FindRequest has to tell.
func (l *Log) Commit(ctx context.Context, before Head, c versionlog.Change) (Head, error) {
	body, err := l.encodeChange(ctx, c)
	if err != nil {
		return before, err
	}
	next := Head{Version: c.Version, Digest: c.Digest}
	writes, err := commitWrites(before, next, c, body)
	if err != nil {
		return before, err
	}
	if err := l.Table.Transact(ctx, writes); err != nil {
		return before, err
	}
	return next, nil
}

func (l *Log) encodeChange(ctx context.Context, c versionlog.Change) ([]byte, error) {
	body, err := json.Marshal(changeRow{Change: &c})
	if err != nil {
		return nil, eris.Wrap(err, "encode change")
	}
	if len(body) <= inlineSize {
		return body, nil
	}
	packed, err := Encode(c)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("change/%s-%s", sortOf(c.Version), c.Digest)
	if err := l.Objects.Put(ctx, name, packed); err != nil {
		return nil, store.NewError("put change", store.CauseUnavailable, err)
	}
	body, err = json.Marshal(changeRow{Object: name})
	return body, eris.Wrap(err, "encode change")
}

func commitWrites(before, next Head, c versionlog.Change, body []byte) ([]store.Write, error) {
	head, err := json.Marshal(next)
	if err != nil {
		return nil, eris.Wrap(err, "encode head")
	}
	headWrite := store.Write{Key: headKey, Revision: uint64(next.Version), Value: head, Condition: store.IfRevision, Expected: uint64(before.Version)}
	if before.Version == 0 {
		headWrite.Condition = store.IfAbsent
	}
	writes := []store.Write{
		headWrite,
		{Key: changeKey(c.Version), Revision: uint64(c.Version), Value: body, Condition: store.IfAbsent},
	}
	for _, a := range c.Accepted {
		writes = append(writes, store.Write{
			Key: requestKey(a.RequestID), Revision: uint64(c.Version), Value: []byte(a.Operator), Condition: store.IfAbsent,
		})
	}
	return writes, nil
}
