package commit

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/daemon/shared"
	"siskinspar.example/daemon/storage"
	"siskinspar.example/declaration"
	"siskinspar.example/store"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
	"siskinspar.example/versionlog/record"
)

const (
	// maximumBatchSize limits the submissions committed in one version; it is below the platform's limit on a transaction.
	maximumBatchSize = 64
	// queueCapacity limits the submissions that wait for a commit; Submit refuses further ones.
	queueCapacity = 256
	// retryDelay is the mean delay, before jitter, until a commit is retried after the store failed.
	retryDelay = 200 * time.Millisecond
	// commitAttempts limits how often one batch is planned and committed, such as after another daemon committed first.
	commitAttempts = 20
)

// UnsettledError reports a submission that may or may not have been committed. A retry with the same request id is
// idempotent and returns the outcome.
type UnsettledError struct {
	id  versionlog.RequestID
	err error
}

// Error returns the message with the request id to retry with and the underlying error.
func (e *UnsettledError) Error() string {
	return "outcome unknown, retry with the same request id: " + string(e.id) + ": " + e.err.Error()
}

// Unwrap returns the error that hid the outcome, such as a failure of the store or the end of the caller's context.
func (e *UnsettledError) Unwrap() error { return e.err }

// pendingSubmission is a queued submission; Submit receives its result from the channel.
type pendingSubmission struct {
	submission versionlog.Submission
	result     chan versionlog.Result
}

// Distributor puts versions in force on this daemon and sends them to the other daemons; it is the spread.Spreader.
type Distributor interface {
	// ApplyAfterHold puts changes in force on this daemon, after it asked other members of its data centre to remember
	// their version.
	ApplyAfterHold(changes []versionlog.Change) error
	// Publish sends changes that this daemon committed to the daemons of all data centres.
	Publish(changes []versionlog.Change)
	// PublishLocally sends changes that were read from the store to the daemons of the own data centre.
	PublishLocally(changes []versionlog.Change)
	// CatchUp reads the changes after the version in force, at least up to target, from the store, puts them in force and
	// returns them.
	// It returns no changes when it installed a whole state instead.
	CatchUp(ctx context.Context, target declaration.Version) ([]versionlog.Change, error)
	// RestoreLog commits the versions in force again that follow the head of the log, which the store has lost, and returns
	// the new head.
	RestoreLog(ctx context.Context, head record.Head) (record.Head, error)
	// ReportRefusal logs the error of a version that could not be put in force.
	ReportRefusal(err error)
}

// Committer commits the submissions sent to this daemon, in one goroutine and in batches: submissions of a batch that
// don't conflict share one version.
//
// Its exported fields are set before Start.
type Committer struct {
	*shared.State
	Storage     *storage.Storage
	Distributor Distributor

	queue chan pendingSubmission
	done  chan struct{}
}

// Start starts the goroutine that commits queued submissions until the context ends.
func (c *Committer) Start(ctx context.Context) {
	c.queue = make(chan pendingSubmission, queueCapacity)
	c.done = make(chan struct{})
	go c.run(ctx)
}

// Done returns a channel that is closed once the context of Start and the last commit have ended.
func (c *Committer) Done() <-chan struct{} { return c.done }

// Submit queues a submission, waits for its commit and returns the result. The submission is refused when the queue is
// full; when ctx ends first, the result is unsettled and carries an UnsettledError.
func (c *Committer) Submit(ctx context.Context, s versionlog.Submission) versionlog.Result {
	p := pendingSubmission{submission: s, result: make(chan versionlog.Result, 1)}
	select {
	case c.queue <- p:
	default:
		return versionlog.NewRefused(eris.Errorf("submission queue is full: %d submissions are waiting", queueCapacity))
	}
	select {
	case r := <-p.result:
		return r
	case <-ctx.Done():
		return versionlog.NewUnsettled(&UnsettledError{id: s.RequestID, err: ctx.Err()})
	}
}

func (c *Committer) run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			c.commit(ctx, c.collectBatch(first))
		}
	}
}

// collectBatch returns the first submission and those that were queued during the previous commit.
func (c *Committer) collectBatch(first pendingSubmission) []pendingSubmission {
	batch := []pendingSubmission{first}
	for len(batch) < maximumBatchSize {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit retries a batch until each submission has a result. The submissions that are left after commitAttempts or at
// the end of ctx get an unsettled result.
func (c *Committer) commit(ctx context.Context, batch []pendingSubmission) {
	var lastErr error
	for range commitAttempts {
		batch = c.answerCommitted(ctx, batch)
		if len(batch) == 0 {
			return
		}
		settled, err := c.commitOnce(ctx, batch)
		if settled {
			return
		}
		lastErr = err
		if err != nil && !store.IsCause(err, store.CauseConflict) {
			backoff.Sleep(ctx, backoff.Jitter(retryDelay))
		}
		if ctx.Err() != nil {
			break
		}
	}
	for _, p := range batch {
		p.result <- versionlog.NewUnsettled(&UnsettledError{id: p.submission.RequestID, err: lastErr})
	}
}

// answerCommitted accepts the submissions whose request id is already in the version log, and returns the others.
func (c *Committer) answerCommitted(ctx context.Context, batch []pendingSubmission) []pendingSubmission {
	var uncommitted []pendingSubmission
	for _, p := range batch {
		callCtx, cancel := context.WithTimeout(ctx, c.Storage.Timeout)
		v, err := c.Storage.Log.FindRequest(callCtx, p.submission.RequestID)
		cancel()
		c.Storage.RecordResult(err)
		if err == nil && v > 0 {
			p.result <- versionlog.NewAccepted(v)
			continue
		}
		uncommitted = append(uncommitted, p)
	}
	return uncommitted
}

// commitOnce plans the batch as one version and commits it. It returns true once every submission has its result.
//
// It returns a conflict when this daemon is not at the head of the log, or when another daemon commits first.
func (c *Committer) commitOnce(ctx context.Context, batch []pendingSubmission) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.Storage.Timeout)
	defer cancel()
	head, err := c.syncToHead(callCtx)
	if err != nil {
		return false, err
	}
	submissions := make([]versionlog.Submission, 0, len(batch))
	for _, p := range batch {
		submissions = append(submissions, p.submission)
	}
	state := c.Configuration.State()
	if state.Version() != head.Version {
		return false, store.NewError("prepare", store.CauseConflict, nil)
	}
	change, results := versionlog.Plan(state, submissions, time.Now().UTC())
	if len(change.Accepted) > 0 {
		if _, err := c.Storage.Log.Commit(callCtx, head, change); err != nil {
			c.recordCommitError(err)
			return false, err
		}
		c.applyCommitted(change)
	}
	c.sendResults(batch, results)
	return true, nil
}

// syncToHead reads the head of the version log, puts the missing changes in force on this daemon and sends them to its
// data centre. Versions that the log has lost are committed again. It returns the head.
func (c *Committer) syncToHead(ctx context.Context) (record.Head, error) {
	inForce := c.Configuration.Version()
	head, err := c.Storage.Log.Head(ctx)
	c.Storage.RecordResult(err)
	switch {
	case err != nil:
		return head, err
	case head.Version < inForce:
		return c.Distributor.RestoreLog(ctx, head)
	case head.Version <= c.Configuration.Version():
		return head, nil
	}
	changes, err := c.Distributor.CatchUp(ctx, head.Version)
	if err != nil {
		return head, err
	}
	c.Distributor.PublishLocally(changes)
	return head, nil
}

// recordCommitError counts an error as a failed call to the store, unless it is a conflict, which the store answered.
func (c *Committer) recordCommitError(err error) {
	if !store.IsCause(err, store.CauseConflict) {
		c.Storage.RecordResult(err)
	}
}

// applyCommitted puts a committed change in force, publishes it, and stores a snapshot every SnapshotInterval versions.
func (c *Committer) applyCommitted(change versionlog.Change) {
	c.Recorder.Record(timeline.Event{Kind: timeline.KindVersionAccepted, Version: uint64(change.Version), Subject: change.Accepted[0].Operator})
	if err := c.Distributor.ApplyAfterHold([]versionlog.Change{change}); err != nil {
		c.Distributor.ReportRefusal(err)
		return
	}
	c.Distributor.Publish([]versionlog.Change{change})
	if change.Version%record.SnapshotInterval == 0 {
		c.Workers.Try(func() { c.storeSnapshot(change.Version) })
	}
}

// storeSnapshot stores the state at a version as a snapshot, and then trims the versions that are no longer retained.
func (c *Committer) storeSnapshot(v declaration.Version) {
	ctx, cancel := c.Storage.Context()
	defer cancel()
	state, err := c.Storage.Log.Load(ctx, v)
	if err == nil {
		err = c.Storage.Log.PutSnapshot(ctx, state)
	}
	if err == nil {
		_, err = c.Storage.Log.Trim(ctx, v)
	}
	if err != nil {
		c.Logger.Warn("commit: can't store a snapshot or trim the version log", "version", v, "error", err)
	}
}

// sendResults sends each submission its result, and records the refused ones in the timeline.
func (c *Committer) sendResults(batch []pendingSubmission, results []versionlog.Result) {
	for i, p := range batch {
		if results[i].Err() != nil {
			c.Recorder.Record(timeline.Event{
				Kind: timeline.KindSubmissionRefused, Subject: p.submission.Operator, Detail: results[i].Err().Error(),
			})
		}
		p.result <- results[i]
	}
}
