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

// The partitions of the table that hold the version log.
//
// partitionHead holds one row with the newest version, partitionChange one row
// for each version, and partitionRequest one row for each accepted submission.
const (
	partitionHead    = "head"
	partitionChange  = "change"
	partitionRequest = "request"
)

const (
	// maximumInlineSize is the largest encoded change, in bytes, that is stored in its row; a larger one
	// becomes an object. It is below store.MaximumValueSize.
	maximumInlineSize = 48 << 10
	// SnapshotInterval is the number of versions between two snapshot objects.
	SnapshotInterval = 64
	// RetainedVersions is the number of newest versions whose changes Trim keeps for history and rollback.
	RetainedVersions = 4096
	// pageSize is the largest number of change rows read by one call. It must not be below SnapshotInterval: CatchUp of
	// daemon/spread reads a single page when it is at most SnapshotInterval versions behind, and Trim, which is called
	// once for each snapshot, must delete as many versions as were added since the one before. The history of
	// daemon/operator reads one page for its newest 64 versions too.
	pageSize = 64
)

// Head identifies the newest version and the digest of its declarations.
type Head struct {
	Version declaration.Version `json:"version"`
	Digest  declaration.Digest  `json:"digest"`
}

// changeRow is the value of a row in partitionChange: the change itself, or the name of the object that holds it.
type changeRow struct {
	Object string             `json:"object,omitempty"`
	Change *versionlog.Change `json:"change,omitempty"`
}

// Log reads and extends the version log; both fields must be set before its first use.
type Log struct {
	Table   store.Table
	Objects store.Objects
}

var headKey = store.Key{Partition: partitionHead, Sort: "head"}

func changeKey(v declaration.Version) store.Key {
	return store.Key{Partition: partitionChange, Sort: sortKey(v)}
}

func requestKey(id versionlog.RequestID) store.Key {
	return store.Key{Partition: partitionRequest, Sort: string(id)}
}

// sortKey pads a version with zeros to 20 digits, so that the order of the text is that of the versions.
func sortKey(v declaration.Version) string { return fmt.Sprintf("%020d", uint64(v)) }

// Head returns the newest version and its digest; the version is 0 before the first change.
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
		return Head{}, store.NewError("read head", store.CauseInvalid, eris.Errorf("head holds version %d, but its row has revision %d", h.Version, row.Revision()))
	}
	return h, nil
}

// FindRequest returns the version that holds the submission with a request id, or 0 when there is none.
func (l *Log) FindRequest(ctx context.Context, id versionlog.RequestID) (declaration.Version, error) {
	row, ok, err := l.Table.Get(ctx, requestKey(id))
	if err != nil || !ok {
		return 0, err
	}
	return declaration.Version(row.Revision()), nil
}

// Changes returns the changes that follow version after, oldest first and at most pageSize of them.
func (l *Log) Changes(ctx context.Context, after declaration.Version) ([]versionlog.Change, error) {
	rows, err := l.Table.Range(ctx, partitionChange, sortKey(after), pageSize)
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

// decodeChange returns the change of a row and reads its object when the change is not stored in the row.
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
		return c, store.NewError("read change", store.CauseInvalid, eris.Errorf("row of version %d holds the change of version %d", row.Revision(), c.Version))
	}
	return c, nil
}

// Commit appends a change and returns the new head, provided that the stored head is still previous.
//
// A *store.Error with CauseConflict means that another change was committed
// first. One with CauseUnknown means that the write may have taken effect;
// FindRequest shows whether it did.
func (l *Log) Commit(ctx context.Context, previous Head, c versionlog.Change) (Head, error) {
	body, err := l.encodeChange(ctx, c)
	if err != nil {
		return previous, err
	}
	next := Head{Version: c.Version, Digest: c.Digest}
	writes, err := commitWrites(previous, next, c, body)
	if err != nil {
		return previous, err
	}
	if err := l.Table.Transact(ctx, writes); err != nil {
		return previous, err
	}
	return next, nil
}

// encodeChange returns the row value of a change and stores a change that is too large for a row as an object.
func (l *Log) encodeChange(ctx context.Context, c versionlog.Change) ([]byte, error) {
	body, err := json.Marshal(changeRow{Change: &c})
	if err != nil {
		return nil, eris.Wrap(err, "encode change")
	}
	if len(body) <= maximumInlineSize {
		return body, nil
	}
	compressed, err := Encode(c)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("change/%s-%s", sortKey(c.Version), c.Digest)
	if err := l.Objects.Put(ctx, name, compressed); err != nil {
		return nil, store.NewError("put change", store.CauseUnavailable, err)
	}
	body, err = json.Marshal(changeRow{Object: name})
	return body, eris.Wrap(err, "encode change")
}

// commitWrites returns the transaction that replaces the head and adds the rows of the change and of its requests.
func commitWrites(previous, next Head, c versionlog.Change, body []byte) ([]store.Write, error) {
	head, err := json.Marshal(next)
	if err != nil {
		return nil, eris.Wrap(err, "encode head")
	}
	headWrite := store.Write{Key: headKey, Revision: uint64(next.Version), Value: head, Condition: store.IfRevision, Expected: uint64(previous.Version)}
	if previous.Version == 0 {
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
