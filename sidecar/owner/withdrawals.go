package owner

import "time"

// withdrawalLifetime is how long a withdrawal is kept for a reservation or call that comes after it. It is far longer
// than two messages on one connection are apart.
const withdrawalLifetime = 2 * time.Second

// withdrawals are the latest withdrawals of requests that had not come by then. The messages of one connection are
// handled concurrently, so a withdrawal may be handled before the reservation that it withdraws.
type withdrawals struct {
	at map[callKey]time.Time
	// order holds the keys in the order of their times.
	order []callKey
}

// add keeps the withdrawal of a request.
func (w *withdrawals) add(now time.Time, k callKey) {
	if w.at == nil {
		w.at = map[callKey]time.Time{}
	}
	for len(w.order) > 0 && now.Sub(w.at[w.order[0]]) > withdrawalLifetime {
		delete(w.at, w.order[0])
		w.order = w.order[1:]
	}
	if _, ok := w.at[k]; ok {
		return
	}
	w.at[k] = now
	w.order = append(w.order, k)
}

// has reports whether a request was withdrawn.
func (w *withdrawals) has(k callKey) bool {
	_, ok := w.at[k]
	return ok
}
