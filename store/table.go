package store

import (
	"context"
)

// MaximumWrites is the largest number of writes in one transaction.
const MaximumWrites = 100

// MaximumValueSize is the largest value of one row, in bytes.
const MaximumValueSize = 60 << 10

// Key identifies a row by its partition and its sort key within that partition.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row as read from a table.
type Row struct {
	key      Key
	revision uint64
	value    []byte
}

// NewRow returns a row with its key, revision and value.
func NewRow(k Key, revision uint64, value []byte) Row {
	return Row{key: k, revision: revision, value: value}
}

// Key returns the key of the row.
func (r Row) Key() Key { return r.key }

// Revision returns the number that the writer gave the row and that IfRevision compares.
func (r Row) Revision() uint64 { return r.revision }

// Value returns the stored bytes.
func (r Row) Value() []byte { return r.value }

// Condition is what the present row must satisfy for a write to take effect.
type Condition int

// The conditions of a write.
const (
	// Always writes whether or not the row exists.
	Always Condition = iota
	// IfAbsent writes only when the row does not exist.
	IfAbsent
	// IfRevision writes only when the row exists with the revision Write.Expected.
	IfRevision
)

// Write is one conditional write of a transaction.
//
// It stores Value with Revision, or deletes the row when IsDelete is set.
// Expected is compared only under IfRevision.
type Write struct {
	Key       Key
	Revision  uint64
	Value     []byte
	Condition Condition
	Expected  uint64
	IsDelete  bool
}

// Table is a transactional table with strongly consistent reads.
//
// Errors are *Error values.
type Table interface {
	// Get returns the row with key k and whether it exists.
	Get(ctx context.Context, k Key) (Row, bool, error)
	// Range returns at most limit rows of a partition whose sort keys follow after, in order of sort key.
	Range(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Transact applies all writes, or none when the condition of one of them does not hold.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is an object store with whole-object reads and writes.
//
// Errors are *Error values.
type Objects interface {
	// Get returns the content of the object with the given name.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores an object under a name and replaces one of that name.
	Put(ctx context.Context, name string, data []byte) error
}
