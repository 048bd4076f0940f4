package claimer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/request/claim"
	"siskinspar.example/request/outcome"
	"siskinspar.example/store"
)

const (
	// writeAttempts bounds the writes of one claim whose answers are lost.
	writeAttempts = 4
	// storeAttempts bounds the writes of one answer.
	storeAttempts = 6
	// pause is the wait before a write or a look is repeated.
	pause = 100 * time.Millisecond
	// storeLimit bounds the time for which a caller waits for its answer to be stored.
	storeLimit = 2 * time.Second
)

// Holders asks the daemon that holds a claim what became of its attempt.
type Holders interface {
	// Ask waits until the attempt has ended, or the context does, and returns its state.
	Ask(ctx context.Context, holder string, t claim.Token) claim.State
}

// Run sends a request to the backend server and returns the whole answer, or the failure.
type Run func(ctx context.Context) (*claim.Answer, *outcome.Failure)

// Request is an unrepeatable request.
type Request struct {
	Intent string
	Key    string
	Method string
	Target string
	Body   []byte
}

// Claimer runs requests under claims; its exported fields are set before use.
type Claimer struct {
	Self    string
	Table   store.Table
	Objects store.Objects
	Holders Holders
	// Timeout bounds one call to the platform.
	Timeout time.Duration

	mu       sync.Mutex
	registry *claim.Registry
	ended    map[claim.Token]chan struct{}
}

// Enter waits for a slot of the backend server and returns the function that frees it.
type Enter func(ctx context.Context) (func(), *outcome.Failure)

// Do runs the request unless it has run before, and returns its one answer.
func (c *Claimer) Do(ctx context.Context, q Request, enter Enter, run Run) (*claim.Answer, *outcome.Failure) {
	if len(q.Key) == 0 || len(q.Key) > claim.MaximumKeyLength {
		return nil, outcome.NewRefusal(outcome.ReasonMissingKey)
	}
	a := &attempt{
		claimer:     c,
		enter:       enter,
		key:         claim.Key(q.Intent, q.Key),
		fingerprint: claim.Fingerprint(q.Method, q.Target, q.Body),
		token:       claim.Token(uuid.NewString()),
	}
	c.begin(a.token)
	defer c.end(a.token, claim.StateAbandoned)
	if answer, failure := a.acquire(ctx); answer != nil || failure != nil {
		return answer, failure
	}
	defer a.release()
	return a.run(ctx, run)
}

func (c *Claimer) begin(t claim.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry == nil {
		c.registry = claim.NewRegistry()
		c.ended = map[claim.Token]chan struct{}{}
	}
	c.registry.Begin(time.Now(), t)
	c.ended[t] = make(chan struct{})
}

// end notes the end of an attempt, the first time that it is called for it.
func (c *Claimer) end(t claim.Token, s claim.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.End(time.Now(), t, s)
	if done, ok := c.ended[t]; ok {
		close(done)
		delete(c.ended, t)
	}
}

// State waits until an attempt of this daemon has ended, or the context does, and returns its state.
func (c *Claimer) State(ctx context.Context, t claim.Token) claim.State {
	c.mu.Lock()
	if c.registry == nil {
		c.mu.Unlock()
		return claim.StateUnknown
	}
	done, isRunning := c.ended[t]
	c.mu.Unlock()
	if isRunning {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Find(t)
}

// attempt is one try to run a request.
type attempt struct {
	claimer     *Claimer
	key         store.Key
	fingerprint string
	token       claim.Token
	revision    uint64
	enter       Enter
	release     func()
	isContended bool
}

// acquire returns nothing when the attempt holds the claim and a slot, the stored answer when there is one, or
// the failure.
//
// It looks for a row first, so that a resend that waits for its answer holds no slot.
func (a *attempt) acquire(ctx context.Context) (*claim.Answer, *outcome.Failure) {
	for ctx.Err() == nil {
		found, revision, failure := a.look(ctx)
		if failure != nil {
			return nil, failure
		}
		if revision > 0 {
			isFree, answer, failure := a.settle(ctx, found)
			if !isFree {
				return answer, failure
			}
		}
		isHeld, failure := a.take(ctx, revision)
		if isHeld || failure != nil {
			return nil, failure
		}
		a.isContended = true
	}
	return nil, a.refusal(outcome.ReasonDeadline)
}

// settle answers from a row in the way, or reports that the row may be replaced.
func (a *attempt) settle(ctx context.Context, found claim.Row) (bool, *claim.Answer, *outcome.Failure) {
	switch claim.Decide(found, a.token, a.fingerprint, time.Now()) {
	case claim.VerdictReused:
		return false, nil, outcome.NewRefusal(outcome.ReasonKeyReused)
	case claim.VerdictReplay:
		answer, failure := a.replay(ctx, found)
		return false, answer, failure
	case claim.VerdictAsk:
		return a.ask(ctx, found)
	}
	return true, nil, nil
}

// take waits for a slot and writes the claim; without the claim the slot is freed again.
func (a *attempt) take(ctx context.Context, expected uint64) (bool, *outcome.Failure) {
	release, failure := a.enter(ctx)
	if failure != nil {
		return false, failure
	}
	isHeld, failure := a.write(ctx, expected)
	if !isHeld {
		release()
		return false, failure
	}
	a.release = release
	return true, nil
}

// refusal tells that this attempt did not run, or that it is not known when another attempt was seen.
func (a *attempt) refusal(r outcome.Reason) *outcome.Failure {
	if a.isContended {
		return outcome.NewFailure(outcome.Unknown, r, http.StatusServiceUnavailable)
	}
	return outcome.NewRefusal(r)
}

// write tries to write the claim; it is not held when another row is in the way.
//
// A write without answer is repeated with the same token, since either the first or the second takes effect.
func (a *attempt) write(ctx context.Context, expected uint64) (bool, *outcome.Failure) {
	row := claim.Row{Token: a.token, Holder: a.claimer.Self, Fingerprint: a.fingerprint, Expires: time.Now().Add(claim.Lifetime)}
	w, err := row.Write(a.key, expected)
	if err != nil {
		return false, a.refusal(outcome.ReasonStore)
	}
	for range writeAttempts {
		err = a.transact(ctx, w, claim.ExpiryWrite(a.key, row.Expires))
		switch {
		case err == nil:
			a.revision = w.Revision
			return true, nil
		case store.IsCause(err, store.CauseConflict):
			return a.isOwn(ctx)
		case !store.IsCause(err, store.CauseUnknown):
			return false, a.refusal(outcome.ReasonStore)
		case !backoff.Sleep(ctx, pause):
			return false, a.refusal(outcome.ReasonStore)
		}
	}
	return false, a.refusal(outcome.ReasonStore)
}

// isOwn tells a row of another attempt from this attempt's own, whose write had lost its answer.
func (a *attempt) isOwn(ctx context.Context) (bool, *outcome.Failure) {
	found, revision, failure := a.look(ctx)
	if failure != nil || found.Token != a.token {
		return false, failure
	}
	a.revision = revision
	return true, nil
}

func (a *attempt) transact(ctx context.Context, writes ...store.Write) error {
	limited, cancel := context.WithTimeout(ctx, a.claimer.Timeout)
	defer cancel()
	return a.claimer.Table.Transact(limited, writes)
}

// look reads the row of the key; its revision is 0 when there is none.
func (a *attempt) look(ctx context.Context) (claim.Row, uint64, *outcome.Failure) {
	limited, cancel := context.WithTimeout(ctx, a.claimer.Timeout)
	defer cancel()
	row, ok, err := a.claimer.Table.Get(limited, a.key)
	if err != nil {
		return claim.Row{}, 0, a.refusal(outcome.ReasonStore)
	}
	if !ok {
		return claim.Row{}, 0, nil
	}
	found, err := claim.Read(row)
	if err != nil {
		return claim.Row{}, 0, a.refusal(outcome.ReasonStore)
	}
	return found, row.Revision(), nil
}

// ask learns from the holder whether its attempt is free to be taken over, and otherwise waits for the answer.
func (a *attempt) ask(ctx context.Context, found claim.Row) (bool, *claim.Answer, *outcome.Failure) {
	state := a.claimer.Holders.Ask(ctx, found.Holder, found.Token)
	if state == claim.StateAbandoned {
		return true, nil, nil
	}
	if state == claim.StateFailed {
		return false, nil, unsettled()
	}
	// The answer of an ended attempt is being stored, and that of an unknown one may be; both are looked for.
	for backoff.Sleep(ctx, pause) {
		row, _, failure := a.look(ctx)
		if failure == nil && row.Answer != nil && row.Token == found.Token {
			answer, refused := a.replay(ctx, row)
			return false, answer, refused
		}
		if state == claim.StateUnknown {
			break
		}
	}
	return false, nil, unsettled()
}

// unsettled tells that an earlier attempt may have run the request and that its answer is not to be had.
func unsettled() *outcome.Failure {
	return outcome.NewFailure(outcome.Unknown, outcome.ReasonClaimed, http.StatusConflict)
}

func (a *attempt) replay(ctx context.Context, row claim.Row) (*claim.Answer, *outcome.Failure) {
	answer := *row.Answer
	if answer.Object == "" {
		return &answer, nil
	}
	limited, cancel := context.WithTimeout(ctx, a.claimer.Timeout)
	defer cancel()
	body, err := a.claimer.Objects.Get(limited, answer.Object)
	if err != nil {
		return nil, outcome.NewFailure(outcome.Unknown, outcome.ReasonStore, http.StatusServiceUnavailable)
	}
	answer.Body = body
	return &answer, nil
}

// run dispatches the request once and stores its answer.
func (a *attempt) run(ctx context.Context, run Run) (*claim.Answer, *outcome.Failure) {
	if ctx.Err() != nil {
		a.withdraw()
		return nil, outcome.NewRefusal(outcome.ReasonCancelled)
	}
	answer, failure := run(ctx)
	switch {
	case failure != nil && failure.Outcome() == outcome.NotRun:
		a.withdraw()
		return nil, failure
	case failure != nil:
		a.claimer.end(a.token, claim.StateFailed)
		return nil, failure
	}
	a.store(*answer)
	a.claimer.end(a.token, claim.StateAnswered)
	return answer, nil
}

// withdraw takes the claim back after a proven failure to dispatch; should that fail, this daemon still tells others.
func (a *attempt) withdraw() {
	a.claimer.end(a.token, claim.StateAbandoned)
	w := store.Write{Key: a.key, IsDelete: true, Condition: store.IfRevision, Expected: a.revision}
	_ = a.transact(context.Background(), w)
}
