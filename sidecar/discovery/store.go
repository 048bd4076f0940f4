package discovery

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone reports that the store no longer holds the changes that were asked for.
var ErrHistoryGone = eris.New("the store has dropped its history")

// Row is a row of the store.
type Row struct {
	Key   string
	Value []byte
	// IsRemoved is true for a row that was deleted.
	IsRemoved bool
}

// Page is a set of rows with the version of the store that they show.
type Page struct {
	Rows    []Row
	Version uint64
}

// Store is the part of the platform's store that discovery needs.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Feed waits for changes of a table after a version; ErrHistoryGone means that List has to be called.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Put writes a row whatever it holds.
	Put(ctx context.Context, table, key string, value []byte) error
}
