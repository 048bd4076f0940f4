package claimer

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/daemon/backoff"
	"siskinspar.example/request/claim"
	"siskinspar.example/request/outcome"
	"siskinspar.example/store"
)

// attempt is one attempt to run a request. revision is the table's revision of its claim, and isContended is set once
// the attempt has failed to write its claim because another attempt wrote first.
type attempt struct {
	claimer     *Claimer
	key         store.Key
	fingerprint string
	token       claim.Token
	revision    uint64
	acquireSlot AcquireSlot
	releaseSlot func()
	isContended bool
}

// acquireSlotAndClaim acquires a slot and the claim. It returns neither response nor failure when the attempt holds
// both, the stored response if an earlier attempt ran the request, or else the failure.
//
// It reads the row before it asks for a slot, so that a resend that waits for its response holds no slot.
func (a *attempt) acquireSlotAndClaim(ctx context.Context) (*claim.Answer, *outcome.Failure) {
	for ctx.Err() == nil {
		found, revision, failure := a.readRow(ctx)
		if failure != nil {
			return nil, failure
		}
		if revision > 0 {
			isFree, answer, failure := a.resolveRow(ctx, found)
			if !isFree {
				return answer, failure
			}
		}
		isHeld, failure := a.tryAcquireSlotAndClaim(ctx, revision)
		if isHeld || failure != nil {
			return nil, failure
		}
		a.isContended = true
	}
	return nil, a.newFailure(outcome.ReasonDeadline)
}

// resolveRow decides what to do about the row of an earlier attempt: it returns true if the row may be replaced, and
// otherwise the stored response or a failure.
func (a *attempt) resolveRow(ctx context.Context, found claim.Row) (bool, *claim.Answer, *outcome.Failure) {
	switch claim.Decide(found, a.token, a.fingerprint, time.Now()) {
	case claim.DecisionReused:
		return false, nil, outcome.NewRefusal(outcome.ReasonKeyReused)
	case claim.DecisionReplay:
		answer, failure := a.replay(ctx, found)
		return false, answer, failure
	case claim.DecisionAsk:
		return a.askHolder(ctx, found)
	}
	return true, nil, nil
}

// tryAcquireSlotAndClaim waits for a slot and writes the claim. If it does not get the claim, or an earlier claim may be
// lost, it frees the slot and returns false.
func (a *attempt) tryAcquireSlotAndClaim(ctx context.Context, expected uint64) (bool, *outcome.Failure) {
	releaseSlot, failure := a.acquireSlot(ctx)
	if failure != nil {
		return false, failure
	}
	isHeld, failure := a.writeClaim(ctx, expected)
	if !isHeld {
		releaseSlot()
		return false, failure
	}
	if a.claimer.isRestoring(time.Now()) {
		releaseSlot()
		a.deleteClaim()
		return false, a.newFailure(outcome.ReasonStore)
	}
	a.releaseSlot = releaseSlot
	return true, nil
}

// newFailure returns a failure that says that the request did not run or, once the attempt has failed to write its
// claim because another attempt wrote first, that the outcome is unknown.
func (a *attempt) newFailure(r outcome.Reason) *outcome.Failure {
	if a.isContended {
		return outcome.NewFailure(outcome.Unknown, r, http.StatusServiceUnavailable)
	}
	return outcome.NewRefusal(r)
}

// writeClaim writes the claim and reports whether this attempt holds it; it does not when another attempt wrote first.
//
// A write whose reply was lost is repeated with the same token. At most one of the writes takes effect, and a conflict
// is resolved by comparing the token in the row.
func (a *attempt) writeClaim(ctx context.Context, expected uint64) (bool, *outcome.Failure) {
	row := claim.Row{Token: a.token, Holder: a.claimer.Self, Fingerprint: a.fingerprint, Expires: time.Now().Add(claim.Lifetime)}
	w, err := row.ConditionalWrite(a.key, expected)
	if err != nil {
		return false, a.newFailure(outcome.ReasonStore)
	}
	for range claimWriteTries {
		err = a.transact(ctx, w, claim.ExpiryWrite(a.key, row.Expires))
		switch {
		case err == nil:
			a.revision = w.Revision
			a.claimer.remember(a.key, row)
			return true, nil
		case store.IsCause(err, store.CauseConflict):
			return a.isOwnRow(ctx)
		case !store.IsCause(err, store.CauseUnknown):
			return false, a.newFailure(outcome.ReasonStore)
		case !backoff.Sleep(ctx, retryInterval):
			return false, a.newFailure(outcome.ReasonStore)
		}
	}
	return false, a.newFailure(outcome.ReasonStore)
}

// isOwnRow reports, after a conflict, whether the row is this attempt's own, written by a try whose reply was lost.
func (a *attempt) isOwnRow(ctx context.Context) (bool, *outcome.Failure) {
	found, revision, failure := a.readRow(ctx)
	if failure != nil || found.Token != a.token {
		return false, failure
	}
	a.revision = revision
	a.claimer.remember(a.key, found)
	return true, nil
}

func (a *attempt) transact(ctx context.Context, writes ...store.Write) error {
	limited, cancel := context.WithTimeout(ctx, a.claimer.Timeout)
	defer cancel()
	return a.claimer.Table.Transact(limited, writes)
}

// readRow reads the row of the key and its revision, which is 0 if there is no row.
func (a *attempt) readRow(ctx context.Context) (claim.Row, uint64, *outcome.Failure) {
	limited, cancel := context.WithTimeout(ctx, a.claimer.Timeout)
	defer cancel()
	row, ok, err := a.claimer.Table.Get(limited, a.key)
	if err != nil {
		return claim.Row{}, 0, a.newFailure(outcome.ReasonStore)
	}
	if !ok {
		return claim.Row{}, 0, nil
	}
	found, err := claim.DecodeRow(row)
	if err != nil {
		return claim.Row{}, 0, a.newFailure(outcome.ReasonStore)
	}
	return found, row.Revision(), nil
}

// askHolder asks the holder of the claim for the state of its attempt. It returns true if that attempt never
// dispatched the request, so that the claim may be replaced. Otherwise it waits for the stored response while one may
// still come, and fails if none does.
func (a *attempt) askHolder(ctx context.Context, found claim.Row) (bool, *claim.Answer, *outcome.Failure) {
	state := a.claimer.HolderClient.ClaimState(ctx, found.Holder, found.Token)
	if state == claim.StateAbandoned {
		return true, nil, nil
	}
	if state == claim.StateFailed {
		return false, nil, newClaimedFailure()
	}
	// An attempt that has ended may still be storing its response, and one that the holder does not know may have
	// stored it, so the row is read again in both cases.
	for backoff.Sleep(ctx, retryInterval) {
		row, _, failure := a.readRow(ctx)
		if failure == nil && row.Answer != nil && row.Token == found.Token {
			answer, refused := a.replay(ctx, row)
			return false, answer, refused
		}
		if state == claim.StateUnknown {
			break
		}
	}
	return false, nil, newClaimedFailure()
}

// newClaimedFailure returns the failure for a request that an earlier attempt may have run and whose response is not
// available.
func newClaimedFailure() *outcome.Failure {
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

// run dispatches the request once and stores its response. A request that certainly did not run gives up its claim.
func (a *attempt) run(ctx context.Context, run Run) (*claim.Answer, *outcome.Failure) {
	if ctx.Err() != nil {
		a.deleteClaim()
		return nil, outcome.NewRefusal(outcome.ReasonCancelled)
	}
	answer, failure := run(ctx)
	switch {
	case failure != nil && failure.Outcome() == outcome.NotRun:
		a.deleteClaim()
		return nil, failure
	case failure != nil:
		a.claimer.endAttempt(a.token, claim.StateFailed)
		return nil, failure
	}
	a.storeResponse(*answer)
	a.claimer.endAttempt(a.token, claim.StateAnswered)
	return answer, nil
}

// deleteClaim deletes the claim of a request that certainly did not run, so that the key is free. If the delete fails,
// this daemon still reports the attempt as abandoned to those that ask.
func (a *attempt) deleteClaim() {
	a.claimer.endAttempt(a.token, claim.StateAbandoned)
	a.claimer.forget(a.key)
	w := store.Write{Key: a.key, IsDelete: true, Condition: store.IfRevision, Expected: a.revision}
	_ = a.transact(context.Background(), w)
}
