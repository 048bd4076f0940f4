package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"siskinspar.example/declaration"
	"siskinspar.example/platform"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
	"siskinspar.example/versionlog/record"
)

const (
	// maximumBatch bounds the submissions that share one version, below the platform's bound on a transaction.
	maximumBatch = 64
	// submissionQueue bounds the submissions that wait for a commit.
	submissionQueue = 256
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

// committer commits the submissions that reach this daemon, several in one version where they are disjoint.
type committer struct {
	node  *Node
	queue chan pending
	group conc.WaitGroup
}

func newCommitter(n *Node) *committer {
	return &committer{node: n, queue: make(chan pending, submissionQueue)}
}

func (n *Node) startCommitter(ctx context.Context) {
	n.committer.group.Go(func() { n.committer.run(ctx) })
}

func (c *committer) wait() { c.group.Wait() }

// Submit commits a submission and returns its result.
func (n *Node) Submit(ctx context.Context, s versionlog.Submission) versionlog.Result {
	if !n.IsReady() {
		return versionlog.NewRefused(eris.New("daemon is not ready"))
	}
	p := pending{submission: s, result: make(chan versionlog.Result, 1)}
	select {
	case n.committer.queue <- p:
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

func (c *committer) run(ctx context.Context) {
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
func (c *committer) collect(first pending) []pending {
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
func (c *committer) commit(ctx context.Context, batch []pending) {
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
		if err != nil && !platform.IsCause(err, platform.CauseConflict) {
			sleep(ctx, jitter(firstBackoff))
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
func (c *committer) settleKnown(ctx context.Context, batch []pending) []pending {
	var open []pending
	for _, p := range batch {
		call, cancel := context.WithTimeout(ctx, c.node.StoreTimeout)
		v, err := c.node.Log.FindRequest(call, p.submission.RequestID)
		cancel()
		c.node.noteStore(err)
		if err == nil && v > 0 {
			p.result <- versionlog.NewAccepted(v)
			continue
		}
		open = append(open, p)
	}
	return open
}

// attempt commits one version; it is settled when every submission has got its result.
func (c *committer) attempt(ctx context.Context, batch []pending) (bool, error) {
	n := c.node
	call, cancel := context.WithTimeout(ctx, n.StoreTimeout)
	defer cancel()
	head, err := c.prepare(call)
	if err != nil {
		return false, err
	}
	submissions := make([]versionlog.Submission, 0, len(batch))
	for _, p := range batch {
		submissions = append(submissions, p.submission)
	}
	state := n.Configuration.State()
	if state.Version() != head.Version {
		return false, platform.NewError("prepare", platform.CauseConflict, nil)
	}
	change, results := versionlog.Plan(state, submissions, time.Now().UTC())
	if len(change.Accepted) > 0 {
		if _, err := n.Log.Commit(call, head, change); err != nil {
			c.noteCommitError(err)
			return false, err
		}
		c.accept(change)
	}
	c.answer(batch, results)
	return true, nil
}

// prepare reads the head and brings this daemon to it.
func (c *committer) prepare(ctx context.Context) (record.Head, error) {
	head, err := c.node.Log.Head(ctx)
	c.node.noteStore(err)
	if err != nil || head.Version <= c.node.Configuration.Version() {
		return head, err
	}
	changes, err := c.node.catchUp(ctx, head.Version)
	if err != nil {
		return head, err
	}
	c.node.publish(changes)
	return head, nil
}

func (c *committer) noteCommitError(err error) {
	if !platform.IsCause(err, platform.CauseConflict) {
		c.node.noteStore(err)
	}
}

func (c *committer) accept(change versionlog.Change) {
	n := c.node
	n.Recorder.Record(timeline.Event{Kind: timeline.KindVersionAccepted, Version: uint64(change.Version), Subject: change.Accepted[0].Operator})
	if err := n.enter([]versionlog.Change{change}); err != nil {
		n.reportRefusal(err)
		return
	}
	n.publish([]versionlog.Change{change})
	if change.Version%record.SnapshotInterval == 0 {
		n.workers.try(func() { n.storeSnapshot(change.Version) })
	}
}

func (n *Node) storeSnapshot(v declaration.Version) {
	ctx, cancel := n.storeContext()
	defer cancel()
	state, err := n.Log.Load(ctx, v)
	if err == nil {
		err = n.Log.PutSnapshot(ctx, state)
	}
	if err == nil {
		_, err = n.Log.Trim(ctx, v)
	}
	if err != nil {
		n.Logger.Warn("control: snapshot not stored", "version", v, "error", err)
	}
}

func (c *committer) answer(batch []pending, results []versionlog.Result) {
	for i, p := range batch {
		if results[i].Err() != nil {
			c.node.Recorder.Record(timeline.Event{
				Kind: timeline.KindSubmissionRefused, Subject: p.submission.Operator, Detail: results[i].Err().Error(),
			})
		}
		p.result <- results[i]
	}
}
