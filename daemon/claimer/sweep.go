package claimer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/request/claim"
	"siskinspar.example/store"
)

const (
	// sweepPeriod is the mean time from one sweep of a partition by a daemon to the next.
	sweepPeriod = 10 * time.Minute
	// sweepSize is the number of expiry rows that one sweep looks at.
	sweepSize = 100
)

// RunSweeps removes expired claims until the context ends, one partition at a time; the store lets nothing expire by itself.
func (c *Claimer) RunSweeps(ctx context.Context, l *slog.Logger) {
	for backoff.Sleep(ctx, sweepPeriod/2+rand.N(sweepPeriod)) {
		n := rand.IntN(claim.Partitions())
		if err := c.Sweep(ctx, time.Now(), n); err != nil {
			l.Warn("claimer: sweep failed", "partition", n, "error", err)
		}
	}
}

// Sweep removes the expired claims of one partition.
func (c *Claimer) Sweep(ctx context.Context, now time.Time, partition int) error {
	limited, cancel := context.WithTimeout(ctx, sweepSize*c.Timeout)
	defer cancel()
	rows, err := c.Table.Range(limited, claim.ExpiryPartition(partition), "", sweepSize)
	if err != nil {
		return err
	}
	for _, r := range rows {
		key, isDue := claim.Expired(r.Key(), now)
		if !isDue {
			return nil
		}
		if err := c.remove(limited, now, r.Key(), key); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes an expiry row, with its claim unless that was renewed.
func (c *Claimer) remove(ctx context.Context, now time.Time, expiry, key store.Key) error {
	writes := []store.Write{{Key: expiry, IsDelete: true}}
	row, ok, err := c.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	if ok {
		found, err := claim.Read(row)
		if err != nil {
			return err
		}
		if !now.Before(found.Expires) {
			writes = append(writes, store.Write{Key: key, IsDelete: true, Condition: store.IfRevision, Expected: row.Revision()})
		}
	}
	return c.Table.Transact(ctx, writes)
}
