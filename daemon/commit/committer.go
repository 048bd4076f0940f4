package commit

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/daemon/link"
	"siskinspar.example/daemon/storage"
	"siskinspar.example/declaration"
	"siskinspar.example/store"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
	"siskinspar.example/versionlog/record"
)

const (
	// maximumBatch bounds the submissions that share one version, below the platform's bound on a transaction.
	maximumBatch = 64
	// submissionQueue bounds the submissions that wait for a commit.
	submissionQueue = 256
	// retryPause is the mean wait before a commit is tried again after the store failed.
	retryPause = 200 * time.Millisecond
	// commitAttempts bounds how often one batch is planned anew after another daemon came first.
	commitAttempts = 20
)

// UnsettledError reports a submission whose fate the store did not tell; sending the same request id again settles it.
type UnsettledError struct {
	id  versionlog.RequestID
	err error
}

// Error names the request id to send again.
func (e *UnsettledError) Error() string {
	return "outcome not known, send the same request id again: " + string(e.id) + ": " + e.err.Error()
}

// Unwrap returns the underlying error.
func (e *UnsettledError) Unwrap() error { return e.err }

type pending struct {
	submission versionlog.Submission
	result     chan versionlog.Result
}

// Distributor puts versions in force, here and at the other daemons.
type Distributor interface {
	// Enter puts changes in force on this daemon.
	Enter(changes []versionlog.Change) error
	// Publish spreads changes to the other daemons.
	Publish(changes []versionlog.Change)
	// PublishLocally spreads changes that came from the store within the own data centre.
	PublishLocally(changes []versionlog.Change)
	// CatchUp reads from the store what leads to a version.
	CatchUp(ctx context.Context, target declaration.Version) ([]versionlog.Change, error)
	// ReportRefusal logs a version that could not be put in force.
	ReportRefusal(err error)
}

// Committer commits the submissions that reach this daemon, several in one version where they are disjoint.
//
// Its exported fields are set before Start.
type Committer struct {
	*link.Link
	Storage     *storage.Storage
	Distributor Distributor

	queue chan pending
	done  chan struct{}
}

// Start commits until the context ends.
func (c *Committer) Start(ctx context.Context) {
	c.queue = make(chan pending, submissionQueue)
	c.done = make(chan struct{})
	go c.run(ctx)
}

// Done returns a channel that is closed once the last commit has ended.
func (c *Committer) Done() <-chan struct{} { return c.done }

// Submit commits a submission and returns its result.
func (c *Committer) Submit(ctx context.Context, s versionlog.Submission) versionlog.Result {
	p := pending{submission: s, result: make(chan versionlog.Result, 1)}
	select {
	case c.queue <- p:
	default:
		return versionlog.NewRefused(eris.New("too many submissions are waiting"))
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
			c.commit(ctx, c.collect(first))
		}
	}
}

// collect takes the submissions that arrived while the last commit was on its way.
func (c *Committer) collect(first pending) []pending {
	batch := []pending{first}
	for len(batch) < maximumBatch {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit plans and commits a batch until each of its submissions is settled.
func (c *Committer) commit(ctx context.Context, batch []pending) {
	var last error
	for range commitAttempts {
		batch = c.settleKnown(ctx, batch)
		if len(batch) == 0 {
			return
		}
		settled, err := c.attempt(ctx, batch)
		if settled {
			return
		}
		last = err
		if err != nil && !store.IsCause(err, store.CauseConflict) {
			backoff.Sleep(ctx, backoff.Jitter(retryPause))
		}
		if ctx.Err() != nil {
			break
		}
	}
	for _, p := range batch {
		p.result <- versionlog.NewUnsettled(&UnsettledError{id: p.submission.RequestID, err: last})
	}
}

// settleKnown answers the submissions whose request id the store already holds and returns the others.
func (c *Committer) settleKnown(ctx context.Context, batch []pending) []pending {
	var open []pending
	for _, p := range batch {
		call, cancel := context.WithTimeout(ctx, c.Storage.Timeout)
		v, err := c.Storage.Log.FindRequest(call, p.submission.RequestID)
		cancel()
		c.Storage.Note(err)
		if err == nil && v > 0 {
			p.result <- versionlog.NewAccepted(v)
			continue
		}
		open = append(open, p)
	}
	return open
}

// attempt commits one version; it is settled when every submission has got its result.
func (c *Committer) attempt(ctx context.Context, batch []pending) (bool, error) {
	call, cancel := context.WithTimeout(ctx, c.Storage.Timeout)
	defer cancel()
	head, err := c.prepare(call)
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
		if _, err := c.Storage.Log.Commit(call, head, change); err != nil {
			c.noteCommitError(err)
			return false, err
		}
		c.accept(change)
	}
	c.answer(batch, results)
	return true, nil
}

// prepare reads the head and brings this daemon to it.
func (c *Committer) prepare(ctx context.Context) (record.Head, error) {
	head, err := c.Storage.Log.Head(ctx)
	c.Storage.Note(err)
	if err != nil || head.Version <= c.Configuration.Version() {
		return head, err
	}
	changes, err := c.Distributor.CatchUp(ctx, head.Version)
	if err != nil {
		return head, err
	}
	c.Distributor.PublishLocally(changes)
	return head, nil
}

func (c *Committer) noteCommitError(err error) {
	if !store.IsCause(err, store.CauseConflict) {
		c.Storage.Note(err)
	}
}

func (c *Committer) accept(change versionlog.Change) {
	c.Recorder.Record(timeline.Event{Kind: timeline.KindVersionAccepted, Version: uint64(change.Version), Subject: change.Accepted[0].Operator})
	if err := c.Distributor.Enter([]versionlog.Change{change}); err != nil {
		c.Distributor.ReportRefusal(err)
		return
	}
	c.Distributor.Publish([]versionlog.Change{change})
	if change.Version%record.SnapshotInterval == 0 {
		c.Workers.Try(func() { c.storeSnapshot(change.Version) })
	}
}

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
		c.Logger.Warn("commit: snapshot not stored", "version", v, "error", err)
	}
}

func (c *Committer) answer(batch []pending, results []versionlog.Result) {
	for i, p := range batch {
		if results[i].Err() != nil {
			c.Recorder.Record(timeline.Event{
				Kind: timeline.KindSubmissionRefused, Subject: p.submission.Operator, Detail: results[i].Err().Error(),
			})
		}
		p.result <- results[i]
	}
}
