package claimer

import (
	"context"
	"time"

	"siskinspar.example/request/claim"
	"siskinspar.example/store"
)

// store keeps the answer for resends; the caller waits for it no longer than the limit, the writes go on.
func (a *attempt) store(answer claim.Answer) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		a.persist(answer)
	}()
	timer := time.NewTimer(storeLimit)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
	}
}

func (a *attempt) persist(answer claim.Answer) {
	if len(answer.Body) > claim.InlineAnswerSize {
		answer.Object = "claim/" + string(a.token)
		if !a.repeat(func(ctx context.Context) error { return a.claimer.Objects.Put(ctx, answer.Object, answer.Body) }) {
			return
		}
		answer.Body = nil
	}
	row := claim.Row{
		Token: a.token, Holder: a.claimer.Self, Fingerprint: a.fingerprint, Expires: time.Now().Add(claim.Lifetime), Answer: &answer,
	}
	w, err := row.Write(a.key, a.revision)
	if err != nil {
		return
	}
	a.repeat(func(ctx context.Context) error {
		err := a.claimer.Table.Transact(ctx, []store.Write{w})
		if store.IsCause(err, store.CauseConflict) {
			// An earlier write of this answer took effect although its own answer was lost.
			return nil
		}
		return err
	})
}

// repeat tries a write a few times with growing waits and reports whether it succeeded.
func (a *attempt) repeat(write func(ctx context.Context) error) bool {
	wait := pause
	for range storeAttempts {
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
