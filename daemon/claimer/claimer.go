package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"siskinspar.example/request/claim"
	"siskinspar.example/request/outcome"
	"siskinspar.example/store"
)

const (
	// claimWriteTries is the greatest number of tries to write one claim when the table's replies are lost.
	claimWriteTries = 4
	// responseStoreTries is the greatest number of tries for each write that stores a response.
	responseStoreTries = 6
	// retryInterval is the wait before a write or a read of a claim is repeated, and the first wait between the tries
	// to store a response.
	retryInterval = 100 * time.Millisecond
	// maximumStoreWait is the longest time that a caller waits for its response to be stored.
	maximumStoreWait = 2 * time.Second
)

// HolderClient asks the daemons that hold claims for the states of their attempts.
type HolderClient interface {
	// ClaimState waits until the attempt at the holder or the context has ended, and returns the state of the attempt.
	ClaimState(ctx context.Context, holder string, t claim.Token) claim.State
}

// Run sends a request to the backend server and returns the whole response, or the failure.
type Run func(ctx context.Context) (*claim.Answer, *outcome.Failure)

// Request holds what identifies an unrepeatable request: the name of its intent, the caller's idempotency key, and the
// method, target URI and body, whose fingerprint must be the same each time that the key is used.
type Request struct {
	Intent string
	Key    string
	Method string
	Target string
	Body   []byte
}

// Claimer runs requests under claims; its exported fields are set before use.
type Claimer struct {
	// Self is the name of this instance, by which other daemons find the holder of a claim.
	Self         string
	Table        store.Table
	Objects      store.Objects
	HolderClient HolderClient
	// Timeout is the timeout of one call to the platform.
	Timeout time.Duration
	// Era is the newest era of the store that this daemon knows of.
	Era *store.Era

	mu       sync.Mutex
	recent   recentClaims
	registry *claim.Registry
	running  map[claim.Token]chan struct{}
}

// AcquireSlot waits for a slot of the backend server and returns the function that frees it, or the refusal.
type AcquireSlot func(ctx context.Context) (func(), *outcome.Failure)

// Do runs the request unless an earlier attempt ran it, and returns the response of the one attempt that ran. Its
// failures say whether the request did not run or the outcome is unknown, as when the holder of an earlier claim
// cannot say how its attempt ended.
func (c *Claimer) Do(ctx context.Context, request Request, acquireSlot AcquireSlot, run Run) (*claim.Answer, *outcome.Failure) {
	if len(request.Key) == 0 || len(request.Key) > claim.MaximumKeyLength {
		return nil, outcome.NewRefusal(outcome.ReasonMissingKey)
	}
	a := &attempt{
		claimer:     c,
		acquireSlot: acquireSlot,
		key:         claim.Key(request.Intent, request.Key),
		fingerprint: claim.Fingerprint(request.Method, request.Target, request.Body),
		token:       claim.Token(uuid.NewString()),
	}
	c.beginAttempt(a.token)
	defer c.endAttempt(a.token, claim.StateAbandoned)
	if answer, failure := a.acquireSlotAndClaim(ctx); answer != nil || failure != nil {
		return answer, failure
	}
	defer a.releaseSlot()
	return a.run(ctx, run)
}

func (c *Claimer) beginAttempt(t claim.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry == nil {
		c.registry = claim.NewRegistry()
		c.running = map[claim.Token]chan struct{}{}
	}
	c.registry.Begin(time.Now(), t)
	c.running[t] = make(chan struct{})
}

// endAttempt records the final state of an attempt and wakes those that wait for it; only the first call for an
// attempt has an effect.
func (c *Claimer) endAttempt(t claim.Token, s claim.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.End(time.Now(), t, s)
	if done, ok := c.running[t]; ok {
		close(done)
		delete(c.running, t)
	}
}

// State waits until an attempt of this daemon or the context has ended, and returns the state of the attempt.
func (c *Claimer) State(ctx context.Context, t claim.Token) claim.State {
	c.mu.Lock()
	if c.registry == nil {
		c.mu.Unlock()
		return claim.StateUnknown
	}
	done, isRunning := c.running[t]
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
