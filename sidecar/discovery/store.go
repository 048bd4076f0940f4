package discovery

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone is returned by Store.Feed when the store no longer holds the changes after the given version.
var ErrHistoryGone = eris.New("the store no longer holds the changes after the given version")

// Row is one key and its value in a table of the store.
type Row struct {
	Key   string
	Value []byte
	// Version is that of the store when the row was last written.
	Version uint64
	// IsRemoved is true if the row was deleted.
	IsRemoved bool
}

// Page is the result of a List or Feed: rows, and the version of the store at which they were read.
type Page struct {
	Rows    []Row
	Version uint64
	// Odd says of each row that can't be read why it was left out of Rows.
	Odd []error
	// Era is the era of the store, as defined at store.Era; versions of different eras can't be compared.
	Era uint64
	// Now is the time of the store, or zero if it does not state it.
	Now time.Time
}

// Store is the part of the platform's store client that discovery uses.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Feed returns the rows of a table that changed after a version. If there are none, it waits for up to wait and
	// then returns an empty page. On ErrHistoryGone the caller has to List the table again.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Put writes a row unconditionally, replacing any value that it holds, and returns the era in which it was written.
	Put(ctx context.Context, table, key string, value []byte) (era uint64, err error)
}
