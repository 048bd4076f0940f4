package store

import (
	"context"
)

// MaximumWrites bounds the writes of one transaction.
const MaximumWrites = 100

// MaximumValueSize bounds the value of one row in bytes.
const MaximumValueSize = 60 << 10

// Key addresses a row by partition and sort key.
type Key struct {
	Partition string
	Sort      string
}

// Row is one stored row.
type Row struct {
	key      Key
	revision uint64
	value    []byte
}

// NewRow returns a row as read from a table.
func NewRow(k Key, revision uint64, value []byte) Row {
	return Row{key: k, revision: revision, value: value}
}

// Key returns the address of the row.
func (r Row) Key() Key { return r.key }

// Revision returns the number that conditions compare.
func (r Row) Revision() uint64 { return r.revision }

// Value returns the stored bytes.
func (r Row) Value() []byte { return r.value }

// Condition says what must hold of a row for a write to take effect.
type Condition int

// The conditions of a write.
const (
	// Always writes whatever the row holds.
	Always Condition = iota
	// IfAbsent writes only when the row does not exist.
	IfAbsent
	// IfRevision writes only when the row has the expected revision.
	IfRevision
)

// Write is one conditional write of a transaction.
type Write struct {
	Key       Key
	Revision  uint64
	Value     []byte
	Condition Condition
	Expected  uint64
	IsDelete  bool
}

// Table is the transactional table; every read is strongly consistent.
//
// Errors are *Error values.
type Table interface {
	// Get returns the row and whether it exists.
	Get(ctx context.Context, k Key) (Row, bool, error)
	// Range returns up to limit rows of a partition in order of sort key, after the given one.
	Range(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Transact applies all writes or none.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
//
// Errors are *Error values.
type Objects interface {
	// Get returns the whole object.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the whole object under its name.
	Put(ctx context.Context, name string, data []byte) error
}
