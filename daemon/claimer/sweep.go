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
	// sweepPeriod is the mean time between two sweeps by one daemon; each sweep covers one partition.
	sweepPeriod = 10 * time.Minute
	// sweepSize is the greatest number of expiry rows that one sweep reads.
	sweepSize = 100
)

// RunSweeps deletes expired claims until the context ends, since the platform's table does not expire rows by itself.
// Each sweep covers one partition, chosen at random.
func (c *Claimer) RunSweeps(ctx context.Context, logger *slog.Logger) {
	for backoff.Sleep(ctx, sweepPeriod/2+rand.N(sweepPeriod)) {
		partition := rand.IntN(claim.Partitions())
		if err := c.Sweep(ctx, time.Now(), partition); err != nil {
			logger.Warn("claimer: could not delete expired claims", "partition", partition, "error", err)
		}
	}
}

// Sweep deletes the expired claims of one partition, at most sweepSize of them. It stops at the first error of the
// platform's table and returns it.
func (c *Claimer) Sweep(ctx context.Context, now time.Time, partition int) error {
	limited, cancel := context.WithTimeout(ctx, sweepSize*c.Timeout)
	defer cancel()
	rows, err := c.Table.Range(limited, claim.ExpiryPartition(partition), "", sweepSize)
	if err != nil {
		return err
	}
	for _, r := range rows {
		claimKey, isDue := claim.ParseExpiry(r.Key(), now)
		if !isDue {
			return nil
		}
		if err := c.removeExpired(limited, now, r.Key(), claimKey); err != nil {
			return err
		}
	}
	return nil
}

// removeExpired deletes an expiry row, and its claim unless the claim was renewed.
func (c *Claimer) removeExpired(ctx context.Context, now time.Time, expiryKey, claimKey store.Key) error {
	writes := []store.Write{{Key: expiryKey, IsDelete: true}}
	row, ok, err := c.Table.Get(ctx, claimKey)
	if err != nil {
		return err
	}
	if ok {
		found, err := claim.DecodeRow(row)
		if err != nil {
			return err
		}
		if !now.Before(found.Expires) {
			writes = append(writes, store.Write{Key: claimKey, IsDelete: true, Condition: store.IfRevision, Expected: row.Revision()})
		}
	}
	return c.Table.Transact(ctx, writes)
}
