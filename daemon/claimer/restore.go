package claimer

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"siskinspar.example/request/claim"
	"siskinspar.example/store"
)

const (
	// recentLifetime is how long a claim is kept in memory, so that it can be written again if the store loses it.
	recentLifetime = 2 * time.Minute
	// maximumRecentBody is the largest body of a response that is kept with its claim, in bytes.
	maximumRecentBody = 4 << 10
	// restoreTime is how long, after the store has come back, other daemons may take to learn of it and to write their
	// claims again.
	restoreTime = 3 * time.Second
)

// recentClaim is the row of a claim of this daemon, and when it was written.
type recentClaim struct {
	row claim.Row
	at  time.Time
}

// recentClaims holds the claims that this daemon has written within recentLifetime. The zero value is empty.
type recentClaims struct {
	claims map[store.Key]recentClaim
	// pruned is when old claims were last removed.
	pruned time.Time
}

// put adds or replaces a claim. It removes old ones, at most once in recentLifetime.
func (r *recentClaims) put(now time.Time, key store.Key, row claim.Row) {
	if r.claims == nil {
		r.claims = map[store.Key]recentClaim{}
	}
	if now.Sub(r.pruned) > recentLifetime {
		maps.DeleteFunc(r.claims, func(_ store.Key, c recentClaim) bool { return now.Sub(c.at) > recentLifetime })
		r.pruned = now
	}
	r.claims[key] = recentClaim{row: row, at: now}
}

// RunRestores writes the recent claims of this daemon again each time that the store comes back from an older copy, until
// the context ends.
func (c *Claimer) RunRestores(ctx context.Context, logger *slog.Logger) {
	era := c.Era.Newest()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Era.After(era):
		}
		// The first era that the daemon learns of says nothing of a return.
		isReturn := era > 0
		era = c.Era.Newest()
		if isReturn {
			c.restore(ctx, logger)
		}
	}
}

// restore writes the recent claims again that the store does not hold.
func (c *Claimer) restore(ctx context.Context, logger *slog.Logger) {
	c.mu.Lock()
	claims := maps.Clone(c.recent.claims)
	c.mu.Unlock()
	restored, failed := 0, 0
	for key, r := range claims {
		switch err := c.restoreClaim(ctx, key, r.row); {
		case err == nil:
			restored++
		case !store.IsCause(err, store.CauseConflict):
			failed++
			logger.Warn("claimer: could not write a claim again", "error", err)
		}
	}
	logger.Info("claimer: store came back from an older copy", "claims", len(claims), "restored", restored, "failed", failed)
}

// restoreClaim writes a claim if the store has none for its key, or has it without its response. It returns an error
// with store.CauseConflict if the store holds the claim.
func (c *Claimer) restoreClaim(ctx context.Context, key store.Key, row claim.Row) error {
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	w, err := row.ConditionalWrite(key, 0)
	if err != nil {
		return err
	}
	err = c.Table.Transact(limited, []store.Write{w, claim.ExpiryWrite(key, row.Expires)})
	if !store.IsCause(err, store.CauseConflict) || row.Answer == nil {
		return err
	}
	found, ok, err := c.Table.Get(limited, key)
	if err != nil || !ok {
		return err
	}
	present, err := claim.DecodeRow(found)
	if err != nil {
		return err
	}
	if present.Token != row.Token || present.Answer != nil {
		return store.NewError("restore claim", store.CauseConflict, nil)
	}
	if w, err = row.ConditionalWrite(key, found.Revision()); err != nil {
		return err
	}
	return c.Table.Transact(limited, []store.Write{w})
}

// isRestoring reports whether a claim that another daemon has written may be lost and not yet written again.
func (c *Claimer) isRestoring(now time.Time) bool {
	raised := c.Era.RaisedAt()
	return !raised.IsZero() && now.Sub(raised) < restoreTime
}

// remember keeps the row of a claim for recentLifetime, without the response if that is large.
func (c *Claimer) remember(key store.Key, row claim.Row) {
	if row.Answer != nil && len(row.Answer.Body) > maximumRecentBody {
		row.Answer = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.put(time.Now(), key, row)
}

// forget drops a claim that this daemon has deleted.
func (c *Claimer) forget(key store.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.recent.claims, key)
}
