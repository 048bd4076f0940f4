package claimer

import (
	"context"
	"time"

	"siskinspar.example/request/claim"
	"siskinspar.example/store"
)

// storeResponse stores the response for resends. The caller waits at most maximumStoreWait, while
// the writes go on in the background.
func (a *attempt) storeResponse(answer claim.Answer) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		a.writeResponse(answer)
	}()
	timer := time.NewTimer(maximumStoreWait)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
	}
}

func (a *attempt) writeResponse(answer claim.Answer) {
	if len(answer.Body) > claim.MaximumInlineAnswerSize {
		answer.Object = "claim/" + string(a.token)
		if !a.retryWrite(func(ctx context.Context) error { return a.claimer.Objects.Put(ctx, answer.Object, answer.Body) }) {
			return
		}
		answer.Body = nil
	}
	row := claim.Row{
		Token: a.token, Holder: a.claimer.Self, Fingerprint: a.fingerprint, Expires: time.Now().Add(claim.Lifetime), Answer: &answer,
	}
	w, err := row.ConditionalWrite(a.key, a.revision)
	if err != nil {
		return
	}
	a.claimer.remember(a.key, row)
	a.retryWrite(func(ctx context.Context) error {
		err := a.claimer.Table.Transact(ctx, []store.Write{w})
		if store.IsCause(err, store.CauseConflict) {
			// An earlier try took effect although the table's reply to it was lost.
			return nil
		}
		return err
	})
}

// retryWrite tries a write up to responseStoreTries times with exponential backoff and reports whether it succeeded.
func (a *attempt) retryWrite(write func(ctx context.Context) error) bool {
	wait := retryInterval
	for range responseStoreTries {
		ctx, cancel := context.WithTimeout(context.Background(), a.claimer.Timeout)
		err := write(ctx)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(wait)
		wait *= 2
	}
	return false
}
