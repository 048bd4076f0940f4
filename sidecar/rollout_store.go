package sidecar

import (
	"bytes"
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/rollout"
)

const (
	// rolloutsTable is the table of the store with the steps of roll-outs. The key of a row is the name of the service.
	rolloutsTable = "rollouts"
	// rolloutStoreTimeout limits one call of the store for a roll-out.
	rolloutStoreTimeout = 2 * time.Second
	// rolloutRetryPause is the pause after a call that failed. The completed step has a margin of a few seconds.
	rolloutRetryPause = 250 * time.Millisecond
)

// rolloutRow is what a daemon knows of the rows of one service at the store. Only the goroutine that syncs the service
// uses it while isSyncing is true; rollouts.mu guards isSyncing, retryAt and isFailing.
type rolloutRow struct {
	// service is the key of the row of the steps; it does not change.
	service   string
	isSyncing bool
	retryAt   time.Time
	// isFailing is true from a call that failed until one that does not; only the first one is logged.
	isFailing bool

	// isRead is true if version and content are those of the row of the steps, as of era.
	isRead  bool
	era     uint64
	version uint64
	content rollout.Rollout
	// statusVersion is the version of the row for the operator, as far as it is known, and told the step that it shows.
	statusVersion uint64
	// isStatusInDoubt is true after a write of that row that failed, and may have been done.
	isStatusInDoubt bool
	told            rollout.Step
}

// syncAll starts to bring the rows of each service up to date, unless that is going on.
func (r *rollouts) syncAll(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.book.Courses() {
		service := c.Rollout().Order.Service()
		row, ok := r.rows[service]
		if !ok {
			row = &rolloutRow{service: service}
			r.rows[service] = row
		}
		if row.isSyncing || now.Before(row.retryAt) || !r.isSyncDue(now, c, row) {
			continue
		}
		row.isSyncing = true
		go r.sync(ctx, c, row)
	}
}

// isSyncDue reports whether the rows of a roll-out have to be read or written; the caller holds the lock.
func (r *rollouts) isSyncDue(now time.Time, c *rollout.Course, row *rolloutRow) bool {
	known := c.Rollout()
	if !row.isRead || row.era < r.sidecar.storeEra.Newest() || !known.IsStored || row.told != known.Step {
		return true
	}
	_, isDue := c.Next(now, r.sidecar.members.Len()+1)
	return isDue
}

// sync brings the rows of a roll-out up to date with as many calls as that takes.
func (r *rollouts) sync(ctx context.Context, c *rollout.Course, row *rolloutRow) {
	err := r.readRow(ctx, c, row)
	if err == nil {
		err = r.writeStep(ctx, c, row)
	}
	if err == nil {
		err = r.writeStatus(ctx, c, row)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	row.isSyncing = false
	if err == nil && row.isFailing {
		r.sidecar.Logger.Info("rollout: store answers again", "service", row.service, "step", c.Rollout().Step.Number)
	}
	wasFailing := row.isFailing
	row.isFailing = err != nil
	if err == nil || ctx.Err() != nil {
		return
	}
	row.retryAt = time.Now().Add(rolloutRetryPause)
	metrics.GetOrRegisterCounter("rollout.store-failed", r.sidecar.registry).Inc(1)
	if !wasFailing {
		r.sidecar.Logger.Warn("rollout: store call failed, the step waits", "service", row.service, "step", c.Rollout().Step.Number, "error", err)
	}
}

// readRow reads the row of the steps, unless it is known in the newest era.
func (r *rollouts) readRow(ctx context.Context, c *rollout.Course, row *rolloutRow) error {
	if row.isRead && row.era >= r.sidecar.storeEra.Newest() {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	page, err := r.sidecar.Platform.Store.List(limited, rolloutsTable)
	if err != nil {
		return err
	}
	r.sidecar.storeEra.Record(page.Era)
	r.sidecar.logOddRows(rolloutsTable, page)
	found := discovery.Row{Key: row.service}
	for _, f := range page.Rows {
		if f.Key == row.service {
			found = f
		}
	}
	r.mu.Lock()
	if now := time.Now(); !page.Now.IsZero() {
		r.clock = page.Now.Sub(now)
	}
	r.mu.Unlock()
	row.isRead, row.era, row.told = true, max(page.Era, r.sidecar.storeEra.Newest()), rollout.Step{}
	r.adopt(c, row, found)
	return nil
}

// adopt takes over the row of the steps as it is at the store.
func (r *rollouts) adopt(c *rollout.Course, row *rolloutRow, found discovery.Row) {
	row.version, row.content = found.Version, rollout.Rollout{}
	if found.Version == 0 {
		return
	}
	content, begun, err := rollout.Decode(found.Value)
	if err != nil {
		r.sidecar.Logger.Warn("rollout: row left out", "table", rolloutsTable, "key", found.Key, "error", err)
		return
	}
	row.content = content
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if content.Order.IsNewer(c.Rollout().Order) && r.book.Learn(now, content, now.Sub(begun.Add(-r.clock)), 0) {
		r.begin(now, content.Order)
	}
	if !content.Order.IsSame(c.Rollout().Order) {
		return
	}
	c.Begin(begun.Add(-r.clock))
	if c.Apply(now, content) {
		r.logStep(now, "rollout: step of the store", c)
		r.sidecar.prober.ProbeAll()
	}
}

// wanted returns the roll-out that the row of the steps should hold, and the value of the row. It is false if the row
// holds it, or while there is no step.
func (r *rollouts) wanted(c *rollout.Course, row *rolloutRow) (next rollout.Rollout, value []byte, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	next = c.Rollout()
	if following, isDue := c.Next(now, r.sidecar.members.Len()+1); isDue {
		next = following
	}
	// The row of a newer order is not overwritten, and a roll-out that another order has replaced is written no more.
	if row.content.Order.IsNewer(next.Order) || r.book.Course(next.Order.Service()) != c {
		return next, nil, false, nil
	}
	if next.Step.Number == 0 || row.content.Order.IsSame(next.Order) && row.content.Step == next.Step {
		return next, nil, false, nil
	}
	begun := now.Add(r.clock - c.Elapsed(now))
	value, err = rollout.Encode(next, begun, r.sidecar.Settings.Daemons)
	return next, value, err == nil, err
}

// writeStep writes the row of the steps if it is not as wanted, and puts a new step in force once it is written.
func (r *rollouts) writeStep(ctx context.Context, c *rollout.Course, row *rolloutRow) error {
	next, value, ok, err := r.wanted(c, row)
	if err != nil {
		return err
	}
	if !ok && (next.Step.Number == 0 || !row.content.Order.IsSame(next.Order)) {
		return nil
	}
	if ok {
		limited, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
		defer cancel()
		started := time.Now()
		current, isSwapped, err := r.sidecar.Platform.Store.Swap(limited, rolloutsTable, next.Order.Service(), value, row.version)
		if err != nil {
			// The row may have been written; what is there is read again.
			row.isRead = false
			return err
		}
		if !isSwapped {
			// Another daemon has written it, or an earlier attempt of this one; the next look decides anew.
			r.adopt(c, row, current)
			return nil
		}
		row.version, row.content = current.Version, next
		r.mu.Lock()
		c.RecordStoreTime(time.Since(started))
		r.mu.Unlock()
	}
	next.IsStored = true
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if c.Apply(now, next) {
		r.logStep(now, "rollout: next step", c)
	}
	if ok {
		c.Confirm(now)
		r.sidecar.prober.ProbeAll()
	}
	return nil
}

// writeStatus tells the operator of the state, once the step is on the store.
func (r *rollouts) writeStatus(ctx context.Context, c *rollout.Course, row *rolloutRow) error {
	r.mu.Lock()
	known := c.Rollout()
	isTold := known.Step.Number == 0 || !known.IsStored || row.told == known.Step
	if row.told.Number > 0 && row.told.State == known.Step.State {
		row.told, isTold = known.Step, true
	}
	r.mu.Unlock()
	if isTold || !row.content.Order.IsSame(known.Order) || row.content.Step != known.Step {
		return nil
	}
	table, key, value, err := r.sidecar.Platform.Rollouts.EncodeStatus(known)
	if err != nil {
		return err
	}
	current, isSwapped, err := r.swapStatus(ctx, row, table, key, value)
	row.isStatusInDoubt = err != nil
	if err != nil {
		return err
	}
	row.statusVersion = current.Version
	if isSwapped || bytes.Equal(current.Value, value) {
		r.mu.Lock()
		defer r.mu.Unlock()
		row.told = known.Step
		return nil
	}
	// Another daemon may have gone on: the row of the steps is read again before the operator's is overwritten.
	r.mu.Lock()
	defer r.mu.Unlock()
	row.isRead = false
	return nil
}

// swapStatus writes the row for the operator. If the write before is in doubt, it reads the row first, and returns it if it
// is as wanted.
func (r *rollouts) swapStatus(ctx context.Context, row *rolloutRow, table, key string, value []byte) (current discovery.Row, isSwapped bool, err error) {
	limited, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	if row.isStatusInDoubt {
		page, err := r.sidecar.Platform.Store.List(limited, table)
		if err != nil {
			return discovery.Row{}, false, err
		}
		for _, found := range page.Rows {
			if found.Key != key {
				continue
			}
			if bytes.Equal(found.Value, value) {
				return found, true, nil
			}
			row.statusVersion = found.Version
		}
	}
	return r.sidecar.Platform.Store.Swap(limited, table, key, value, row.statusVersion)
}
